//! Fleets whose kinds of minions differ in speed. A fleet of fast minions with as
//! many cores gives the part of the jobs that can be served in time at all: tasks
//! that take seven times as long are late anywhere.

mod common;

use common::load::{Submitted, fraction};
use common::wave::{FleetKind, JOBS, WaveLoad};
use schedule::Outcome;

/// Seeds of each load; the checks apply to the jobs of all seeds together.
const SEEDS: [u64; 2] = [1, 2];

/// Time in milliseconds before jobs count, in which the owner learns run times.
const LEARN_MS: u64 = 10_000;

/// Time during which jobs count: more than a period of the wave.
const LOAD_MS: u64 = 21_000;

/// Time in milliseconds for which an owner keeps the shard, in the test with
/// handovers.
const KEEP_MS: u64 = 4_000;

/// Number of minions of the site whose load is submitted: that of 42 is a third of
/// what the fleet of two speeds can work.
const SERVED: f64 = 42.0;

/// Two thirds of the minions are small and slow.
const TWO_SPEEDS: [FleetKind; 2] = [
    FleetKind {
        label: "a",
        count: 32,
        cores: 16,
        speed: 0.7,
    },
    FleetKind {
        label: "b",
        count: 16,
        cores: 24,
        speed: 1.7,
    },
];

const THREE_SPEEDS: [FleetKind; 3] = [
    FleetKind {
        label: "a",
        count: 16,
        cores: 16,
        speed: 0.4,
    },
    FleetKind {
        label: "b",
        count: 16,
        cores: 16,
        speed: 1.0,
    },
    FleetKind {
        label: "c",
        count: 16,
        cores: 24,
        speed: 2.5,
    },
];

/// Returns the same minions with the speed of the fastest kind.
fn all_fast<const N: usize>(kinds: [FleetKind; N]) -> [FleetKind; N] {
    let fastest = kinds.iter().map(|k| k.speed).fold(0.0, f64::max);
    kinds.map(|kind| FleetKind {
        speed: fastest,
        ..kind
    })
}

/// Runs the load with each seed and returns the jobs submitted after the owner
/// has learnt run times. `burst` is the factor on long jobs in the wave's upper
/// half, for 5 s.
fn run_load(kinds: &[FleetKind], served: f64, burst: f64) -> Vec<Submitted> {
    run_with_handovers(kinds, served, burst, LEARN_MS + LOAD_MS)
}

/// Runs the load as [`run_load`], with a handover each `keep_ms`.
fn run_with_handovers(
    kinds: &[FleetKind],
    served: f64,
    burst: f64,
    keep_ms: u64,
) -> Vec<Submitted> {
    let mut all = Vec::new();
    for seed in SEEDS {
        let mut load = WaveLoad::new(seed, kinds, served);
        let start = load.sim.now + LEARN_MS;
        for passed in 0..LEARN_MS + LOAD_MS {
            // The load starts at 1 s: the wave's second crest is at 21.25 s.
            let in_burst = (18_000..23_000).contains(&passed);
            load.long_factor = if in_burst { burst } else { 1.0 };
            if passed > 0 && passed.is_multiple_of(keep_ms) {
                load.sim.hand_over(0);
            }
            load.run(1);
        }
        load.finish();
        assert_eq!(load.sim.violations, Vec::<String>::new());
        all.extend(load.submitted.into_iter().filter(|a| a.at >= start));
    }
    all
}

fn of_queue<'a>(all: &'a [Submitted], queue: &str) -> Vec<&'a Submitted> {
    all.iter().filter(|a| a.spec.queue == queue).collect()
}

fn in_time(all: &[Submitted], queue: &str) -> f64 {
    fraction(&of_queue(all, queue), Submitted::in_time)
}

fn print_figures(name: &str, all: &[Submitted]) {
    for kind in JOBS {
        let jobs = of_queue(all, kind.queue);
        eprintln!(
            "{name}, {}: {} asked, {:.3} in time, {:.3} served, {:.3} refused, {:.3} expired",
            kind.queue,
            jobs.len(),
            fraction(&jobs, Submitted::in_time),
            fraction(&jobs, Submitted::served),
            fraction(&jobs, Submitted::refused),
            fraction(&jobs, |a| matches!(a.end, Some((_, Outcome::Expired)))),
        );
    }
}

#[test]
fn long_jobs_late() {
    // Guards against long jobs on slow minions while fast ones are idle, also when
    // the shard often gets a new owner: of the long jobs that fast minions alone
    // serve in time, less than 5% may be late.
    let all = run_with_handovers(&TWO_SPEEDS, SERVED, 1.0, KEEP_MS);
    print_figures("speeds 0.7 and 1.7", &all);
    let fast = run_load(&all_fast(TWO_SPEEDS), SERVED, 1.0);
    print_figures("speed 1.7", &fast);
    let (uneven, even) = (in_time(&all, "long"), in_time(&fast, "long"));
    assert!(uneven >= 0.95 * even, "{uneven} of {even}");
}

#[test]
fn small_jobs_late() {
    // Guards against small jobs on minions that are too slow for them: of those
    // that fast minions alone serve in time, less than 3% may be late.
    let all = run_load(&THREE_SPEEDS, SERVED, 1.0);
    print_figures("speeds 0.4, 1.0 and 2.5", &all);
    let fast = run_load(&all_fast(THREE_SPEEDS), SERVED, 1.0);
    print_figures("speed 2.5", &fast);
    let (uneven, even) = (in_time(&all, "small"), in_time(&fast, "small"));
    assert!(uneven >= 0.97 * even, "{uneven} of {even}");
}

#[test]
fn long_burst() {
    // Guards against a burst of long jobs, on the crest of the wave, that starves
    // another kind of job. The load is 1.7 times that of the other tests.
    let all = run_load(&TWO_SPEEDS, 72.0, 2.2);
    print_figures("burst", &all);
    for kind in JOBS {
        let served = fraction(&of_queue(&all, kind.queue), Submitted::served);
        assert!(served >= 0.5, "{}: {served}", kind.queue);
    }
}

#[test]
fn few_fast_minions() {
    // Guards against fast room that goes to tasks which end in time anywhere: with
    // one fast minion in nine, long jobs must not fare worse than small ones, whose
    // slack is larger for their run time, by more than a third.
    let kinds = [
        FleetKind {
            count: 32,
            ..TWO_SPEEDS[0]
        },
        FleetKind {
            count: 4,
            ..TWO_SPEEDS[1]
        },
    ];
    let all = run_load(&kinds, 18.0, 1.0);
    print_figures("few fast minions", &all);
    let (long, small) = (in_time(&all, "long"), in_time(&all, "small"));
    assert!(long >= small * 2.0 / 3.0, "{long} and {small}");
}
