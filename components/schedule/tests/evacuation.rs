//! Evacuation of the shard's domain: nothing starts while it lasts, and no job
//! waits for its end.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use proptest::prelude::*;
use schedule::{Admission, GivenBack, JobId, Outcome, Step, Transfer};

const GIVEN_BACK: Outcome = Outcome::Refused {
    retry: Millis(1_000),
};

/// Begins or ends the evacuation of the first owner's shard.
fn evacuate(sim: &mut Simulation, evacuated: bool) -> GivenBack {
    let time = sim.time();
    let given_back = sim.owners[0].set_evacuated(evacuated, time);
    sim.perform(0);
    given_back
}

/// Returns the outcomes of a job.
fn outcomes(sim: &Simulation, number: u64) -> Vec<Outcome> {
    let id: JobId = format!("{number:016x}").parse().unwrap();
    let ours = sim.outcomes.iter().filter(|(_, job, _)| *job == id);
    ours.map(|(_, _, outcome)| *outcome).collect()
}

/// Returns a simulation whose two minions are held and have room for two tasks
/// of 14 cores each.
fn held_pair() -> Simulation {
    let mut sim = Simulation::new(1, 1, &[32, 32]);
    sim.run(50);
    sim
}

/// Fails if a job is admitted, or another VM is told of room, in a domain that is
/// being evacuated.
#[test]
fn refused_while_evacuated() {
    let mut sim = held_pair();
    evacuate(&mut sim, true);
    let admission = sim.submit(0, job(1, 2, 14, 60), 60);
    let retry = Millis(1_000);
    assert_eq!(admission, Admission::Refused { retry });
    let load = sim.owners[0].load(sim.time());
    assert_eq!((load.minions, load.cores, load.free), (0, 0.0, 0.0));
    sim.run(500);
    assert_eq!(sim.starts, 0);
}

/// Fails if an evacuation ends runs in progress or loses their ends.
#[test]
fn runs_end() {
    let mut sim = held_pair();
    sim.submit(0, job(1, 4, 14, 300), 300);
    sim.run(50);
    assert_eq!(evacuate(&mut sim, true), GivenBack::default());
    sim.run(2_000);
    assert_eq!(outcomes(&sim, 1), [Outcome::Completed]);
    assert_eq!(sim.starts, 4);
}

/// Fails if a waiting job is kept until its deadline, or is reported as
/// possibly run.
#[test]
fn waiting_given_back() {
    let mut sim = held_pair();
    sim.submit(0, job(1, 4, 14, 300), 300);
    sim.submit(0, job(2, 2, 14, 300), 300);
    sim.run(50);
    let given_back = evacuate(&mut sim, true);
    assert_eq!(outcomes(&sim, 2), [GIVEN_BACK]);
    let (waiting, started) = (1, 0);
    assert_eq!(given_back, GivenBack { waiting, started });
    sim.run(1_000);
    assert_eq!(outcomes(&sim, 1), [Outcome::Completed]);
    assert_eq!(sim.starts, 4);
}

/// Fails if a job with some tasks started waits for room that it does not get,
/// if its runs go on beside those of its rerun, or if it is reported as not run.
#[test]
fn partly_started() {
    let mut sim = held_pair();
    sim.submit(0, job(1, 6, 14, 700), 700);
    sim.run(50);
    let given_back = evacuate(&mut sim, true);
    assert_eq!(outcomes(&sim, 1), [Outcome::Lost]);
    let (waiting, started) = (0, 1);
    assert_eq!(given_back, GivenBack { waiting, started });
    sim.run(100);
    assert!(sim.minions.values().all(|m| m.running().is_empty()));
    assert_eq!(sim.starts, 4);
}

/// Fails if the second step of a job whose first one runs is started, or waits.
#[test]
fn later_step() {
    let mut sim = held_pair();
    let mut spec = job(1, 2, 14, 100);
    spec.steps.push(Step {
        after: vec![0],
        ..spec.steps[0].clone()
    });
    sim.submit(0, spec, 100);
    sim.run(20);
    evacuate(&mut sim, true);
    assert_eq!(outcomes(&sim, 1), [Outcome::Lost]);
    sim.run(500);
    assert_eq!(sim.starts, 2);
}

/// Fails if a task whose run ended without a result during the evacuation is
/// started again, or its job waits until its deadline.
#[test]
fn run_lost_later() {
    let mut sim = held_pair();
    sim.submit(0, job(1, 4, 14, 600), 600);
    sim.run(50);
    evacuate(&mut sim, true);
    let id = sim.minions.keys().next().unwrap().clone();
    let now = sim.now;
    sim.minions.get_mut(&id).unwrap().restart(now);
    sim.run(200);
    assert_eq!(outcomes(&sim, 1), [Outcome::Lost]);
    assert_eq!(sim.starts, 4);
}

/// Fails if work is taken only some time after the end of the evacuation.
#[test]
fn end_of_evacuation() {
    let mut sim = held_pair();
    evacuate(&mut sim, true);
    sim.run(3_000);
    evacuate(&mut sim, false);
    assert_eq!(sim.owners[0].load(sim.time()).minions, 2);
    let admission = sim.submit(0, job(1, 4, 14, 60), 60);
    assert_eq!(admission, Admission::Taken);
    sim.run(200);
    assert_eq!(outcomes(&sim, 1), [Outcome::Completed]);
}

/// Fails if jobs that are being handed over are given back too: they would end
/// here and go on at the next owner. If the handover fails they are given back.
#[test]
fn during_handover() {
    let mut sim = held_pair();
    sim.submit(0, job(1, 4, 14, 300), 300);
    sim.submit(0, job(2, 2, 14, 300), 300);
    sim.run(50);
    sim.owners[0].freeze(true);
    assert_eq!(evacuate(&mut sim, true), GivenBack::default());
    sim.run(50);
    assert_eq!(outcomes(&sim, 2), []);
    sim.owners[0].freeze(false);
    sim.run(50);
    assert_eq!(outcomes(&sim, 2), [GIVEN_BACK]);
}

/// Fails if the next owner of an evacuated shard starts tasks of a job that was
/// handed over, or stops its runs.
#[test]
fn next_owner() {
    let mut sim = Simulation::new(2, 2, &[32, 32]);
    sim.run(50);
    sim.submit(0, job(1, 4, 14, 500), 500);
    sim.submit(0, job(2, 2, 14, 500), 500);
    sim.run(50);
    let time = sim.time();
    sim.owners[0].freeze(true);
    let state: Transfer = sim.owners[0].export(time);
    let mut token = sim.next_token();
    sim.owners[1].import(time, state, || {
        token.0 += 1;
        token
    });
    let given_back = sim.owners[1].set_evacuated(true, time);
    assert_eq!(given_back.waiting, 1);
    sim.perform(1);
    assert_eq!(outcomes(&sim, 2), [GIVEN_BACK]);
    assert!(sim.owners[1].knows(&"0000000000000001".parse().unwrap()));
    assert!(sim.owners[1].take_actions().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Fails if lost or late messages around the begin and the end of an
    /// evacuation start a task in between, run one twice at once, or leave a job
    /// without its outcome.
    #[test]
    fn random_moments(
        seed in 0..1_000_u64,
        begin in 100..600_u64,
        span in 50..900_u64,
        lost in 0..20_u8,
    ) {
        let mut sim = Simulation::new(seed, 1, &[32, 48, 32]);
        sim.faults.lost_orders = f64::from(lost) / 100.0;
        sim.faults.lost_answers = f64::from(lost) / 100.0;
        sim.run(50);
        let mut admitted = 0;
        for number in 0..150 {
            let at = number * 10;
            if at / 10 == begin / 10 {
                evacuate(&mut sim, true);
            }
            if at / 10 == (begin + span) / 10 {
                evacuate(&mut sim, false);
            }
            let evacuated = sim.owners[0].is_evacuated();
            let (tasks, run) = (1 + (number % 6) as u16, 20 + sim.pick(150));
            let taken = sim.submit(0, job(number, tasks, 14, 90), run) == Admission::Taken;
            prop_assert!(!(taken && evacuated));
            admitted += usize::from(taken);
            let before = sim.starts;
            sim.run(10);
            // Orders sent before the evacuation arrive within its first steps.
            prop_assert!(!evacuated || at < begin + 20 || sim.starts == before);
        }
        sim.faults = common::Faults::default();
        sim.run(4_000);
        prop_assert_eq!(sim.outcomes.len(), admitted);
        prop_assert_eq!(&sim.violations, &Vec::<String>::new());
    }
}
