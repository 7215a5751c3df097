//! Admission, refusals and placement under the loads of the sites' heavy days
//! (docs/bench/load.md).

mod common;

use common::load::{JobKind, KINDS, LoadGenerator, Submitted, by_width, fraction};
use schedule::Outcome;

/// Seeds of each load; the checks apply to the jobs of all seeds together.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Time during which jobs are submitted, in milliseconds.
const LOAD_MS: u64 = 20_000;

/// Smallest fraction of jobs that must complete while all of them fit.
const MIN_SERVED: f64 = 0.95;

/// Runs a load with each seed and returns all jobs submitted after the first
/// `from` ms, after checking that there was no violation.
fn run_load(factor: f64, from: u64, change: impl Fn(&mut LoadGenerator)) -> Vec<Submitted> {
    let mut all = Vec::new();
    for seed in SEEDS {
        let mut load = LoadGenerator::new(seed, factor);
        load.run(from);
        let start = load.sim.now;
        change(&mut load);
        load.finish();
        assert_eq!(load.sim.violations, Vec::<String>::new());
        all.extend(load.submitted.into_iter().filter(|a| a.at >= start));
    }
    all
}

fn of_queue<'a>(all: &'a [Submitted], queue: &str) -> Vec<&'a Submitted> {
    all.iter().filter(|a| a.spec.queue == queue).collect()
}

fn print_figures(name: &str, all: &[Submitted]) {
    for kind in KINDS {
        let jobs = of_queue(all, kind.queue);
        let widths = by_width(&jobs);
        let widths = widths.map(|w| fraction(&w, Submitted::served));
        eprintln!(
            "{name}, {}: {} asked, {:.3} in time, {:.3} served, {:.3} refused; widest first {widths:.3?}",
            kind.queue,
            jobs.len(),
            fraction(&jobs, Submitted::in_time),
            fraction(&jobs, Submitted::served),
            fraction(&jobs, Submitted::refused),
        );
    }
}

#[test]
fn steady_load() {
    // All jobs fit, so they must complete.
    let all = run_load(0.7, 1_000, |load| load.run(LOAD_MS));
    print_figures("70%", &all);
    let jobs: Vec<_> = all.iter().collect();
    assert!(fraction(&jobs, Submitted::served) >= MIN_SERVED);
}

#[test]
fn wide_jobs() {
    // At 130% load the widest tenth of the jobs of a kind and the next fifth
    // must complete at least 0.8 times as often as the kind.
    let all = run_load(1.3, 1_000, |load| load.run(3 * LOAD_MS));
    print_figures("130%", &all);
    for kind in KINDS {
        let jobs = of_queue(&all, kind.queue);
        let served = fraction(&jobs, Submitted::served);
        let [widest, next, _] = by_width(&jobs);
        for group in [widest, next] {
            let group = fraction(&group, Submitted::served);
            assert!(group >= 0.8 * served, "{}: {group} of {served}", kind.queue);
        }
    }
}

#[test]
fn no_kind_starved() {
    // No kind may complete less than half as often as all jobs.
    let all = run_load(1.3, 1_000, |load| load.run(LOAD_MS));
    let jobs: Vec<_> = all.iter().collect();
    let served = fraction(&jobs, Submitted::served);
    for kind in KINDS {
        let kind_served = fraction(&of_queue(&all, kind.queue), Submitted::served);
        assert!(kind_served >= 0.5 * served, "{}: {kind_served}", kind.queue);
    }
}

/// In KNOWN-RED.txt.
#[test]
#[ignore = "KNOWN-RED: taken jobs are refused later when others go ahead of them"]
fn refused_at_once() {
    // Of the refusals at 150% load, 99 of 100 must come within 20 ms.
    let all = run_load(1.5, 1_000, |load| load.run(LOAD_MS));
    print_figures("150%", &all);
    let refused: Vec<_> = all.iter().filter(|a| a.refused()).collect();
    let at_once = fraction(&refused, |a| a.end.is_some_and(|(at, _)| at - a.at <= 20));
    assert!(at_once >= 0.99, "{at_once} of {}", refused.len());
}

#[test]
fn slowed_minions() {
    // Three of sixteen minions take six times as long for 7 s. The others hold
    // 88% of the capacity for the load, so few jobs may be lost.
    let all = run_load(0.7, 3_000, |load| {
        set_slowness(load, 6.0);
        load.run(7_000);
        set_slowness(load, 1.0);
        load.run(3_000);
    });
    print_figures("slowed", &all);
    let jobs: Vec<_> = all.iter().collect();
    assert!(fraction(&jobs, Submitted::served) >= 0.9);
}

fn set_slowness(load: &mut LoadGenerator, factor: f64) {
    for minion in load.sim.minions.values_mut().take(3) {
        minion.slowness = factor;
    }
}

#[test]
fn failing_minions() {
    // Two minions fail every run at its end; each may cost ten jobs.
    let all = run_load(0.7, 3_000, |load| {
        for minion in load.sim.minions.values_mut().take(2) {
            minion.fail_all = true;
        }
        load.run(10_000);
    });
    let failed = |a: &&Submitted| matches!(a.end, Some((_, Outcome::Failed)));
    let failed = all.iter().filter(failed).count();
    eprintln!("failing: {failed} of {} failed", all.len());
    assert!(failed <= 2 * 10 * SEEDS.len());
}

#[test]
fn hopeless_jobs() {
    // About every fifth job has tasks that last longer than its caller waits.
    // These must be refused at once, and the other jobs must complete as if
    // they had not come.
    let hopeless = JobKind {
        queue: "hopeless",
        run_ms: 30_000.0,
        ..KINDS[2]
    };
    let all = run_load(0.7, 1_000, |load| {
        for _ in 0..400 {
            load.submit_with_short_timeout(&hopeless);
            load.run(25);
        }
    });
    let jobs = of_queue(&all, "hopeless");
    assert!(fraction(&jobs, |a| a.end.is_some_and(|(at, _)| at == a.at)) >= 0.99);
    let others: Vec<_> = all.iter().filter(|a| a.spec.queue != "hopeless").collect();
    assert!(fraction(&others, Submitted::served) >= MIN_SERVED);
}

#[test]
fn half_gone() {
    // Half of the minions vanish without notice. The other half must stay in
    // use, and jobs beyond its capacity are refused.
    let all = run_load(0.7, 3_000, |load| {
        let gone: Vec<_> = load.sim.minions.keys().take(8).cloned().collect();
        load.sim.minions.retain(|id, _| !gone.contains(id));
        load.sim.gone.extend(gone);
        load.run(10_000);
    });
    print_figures("half gone", &all);
    let jobs: Vec<_> = all.iter().collect();
    // The remaining capacity is 0.5, for a load of 0.7.
    assert!(fraction(&jobs, Submitted::served) >= 0.5);
}
