//! No task has two runs at once and no minion is over its capacity, whatever
//! happens to orders, answers, minions and owners.

mod common;

use common::{Faults, Simulation, job};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use schedule::{JobSpec, Outcome};

/// Number of cases of each test; more can be run by hand.
const CASES: u32 = 6;

/// Seed of the generated cases, fixed so that every CI run plays the same ones.
const SEED: u64 = 1;

/// Time after losing its VM after which a client resends a job, in
/// milliseconds.
const RESEND_MS: u64 = 1_300;

/// Simulates 12 s of jobs of all sizes under faults. Jobs whose outcome is
/// `Lost` are resent, to the other owner if there are two.
fn run_faults(seed: u64, owners: usize, faults: Faults, pauses: bool) -> Simulation {
    let mut sim = Simulation::new(seed, owners, &[32, 32, 48, 32]);
    sim.faults = faults;
    sim.run(50);
    let mut resend: Vec<(u64, JobSpec, u64)> = Vec::new();
    let mut submitted: Vec<(JobSpec, u64)> = Vec::new();
    let mut answered = 0;
    let mut number = 0;
    let mut active = 0;
    let mut resume_at = 0;
    while sim.now < 12_000 {
        sim.step();
        if sim.chance(0.012) {
            number += 1;
            let tasks = 1 + sim.pick(6) as u16;
            let size = 11 + sim.pick(9) as u32;
            let run_ms = 40 + sim.pick(900);
            let spec = job(number, tasks, size, run_ms);
            submitted.push((spec.clone(), run_ms));
            sim.submit(active, spec, run_ms);
        }
        let due: Vec<_> = resend.extract_if(.., |(at, ..)| *at <= sim.now).collect();
        for (_, spec, run_ms) in due {
            sim.submit(active, spec, run_ms);
        }
        for (at, id, outcome) in sim.outcomes.split_off(answered) {
            sim.outcomes.push((at, id.clone(), outcome));
            answered += 1;
            if outcome == Outcome::Lost {
                let original = submitted.iter().find(|(s, _)| s.id == id).unwrap().clone();
                resend.push((sim.now + RESEND_MS, original.0, original.1));
            }
        }
        if pauses && resume_at == 0 && sim.chance(0.0005) {
            // The active owner is paused and its callers turn to the other one.
            sim.paused[active] = true;
            resume_at = sim.now + 1_000 + sim.pick(2_500);
            let previous = active;
            active = (active + 1) % owners;
            let now = sim.now;
            for (spec, run_ms) in submitted.iter().rev().take(12) {
                let ended = sim.outcomes.iter().any(|(_, id, _)| *id == spec.id);
                if !ended {
                    resend.push((now + RESEND_MS, spec.clone(), *run_ms));
                }
            }
            if previous != active {
                sim.take_minions(active);
            }
        }
        if resume_at > 0 && sim.now >= resume_at {
            // The resumed owner learns at once that the other one owns the
            // minions.
            let previous = (active + owners - 1) % owners;
            sim.paused[previous] = false;
            resume_at = 0;
            if previous != active {
                let time = sim.time();
                sim.owners[previous].abandon(time);
            }
        }
        if sim.chance(0.0002) {
            let index = sim.pick(4);
            let id = format!("m-{index:02}").parse().unwrap();
            let now = sim.now;
            sim.minions.get_mut(&id).unwrap().restart(now);
            sim.order_log.push(format!("{now}: restarted {id}"));
            let info = sim.minions[&id].info.clone();
            let fence = sim.next_token();
            sim.owners[active].register(info, fence);
        }
    }
    sim
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, rng_seed: RngSeed::Fixed(SEED), max_shrink_iters: 0, ..ProptestConfig::default() })]

    #[test]
    fn no_faults(seed in any::<u64>()) {
        let sim = run_faults(seed, 1, Faults::default(), false);
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        prop_assert!(sim.outcomes.iter().any(|(_, _, o)| *o == Outcome::Completed));
    }

    #[test]
    fn lossy_orders(seed in any::<u64>()) {
        let faults = Faults { lost_orders: 0.03, lost_answers: 0.03, late_orders: 0.05, ..Faults::default() };
        let sim = run_faults(seed, 1, faults, false);
        trace(&sim);
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    }

    #[test]
    fn sleeping_owner(seed in any::<u64>()) {
        let faults = Faults { lost_orders: 0.02, lost_answers: 0.02, late_orders: 0.05, ..Faults::default() };
        let sim = run_faults(seed, 2, faults, true);
        trace(&sim);
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    }
}

/// Prints the orders for the task of the first violation.
fn trace(sim: &Simulation) {
    let Some(first) = sim.violations.first() else {
        return;
    };
    eprintln!("{first}");
    let task = first.split(' ').nth(1).unwrap_or("");
    for line in sim.order_log.iter().filter(|l| l.contains(task)) {
        eprintln!("{line}");
    }
}
