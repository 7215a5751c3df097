//! A job that its client resends.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use schedule::{JobSpec, Outcome};

#[test]
fn first_stopped() {
    let mut sim = Simulation::new(3, 1, &[32, 32]);
    sim.run(20);
    sim.submit(0, job(1, 2, 14, 400), 400);
    sim.run(50);
    // The second submission must not run beside the first.
    sim.submit(0, job(1, 2, 14, 400), 400);
    sim.run(1_400);
    assert_eq!(sim.violations, Vec::<String>::new());
    let ended: Vec<_> = sim.outcomes.iter().map(|(_, _, o)| *o).collect();
    assert_eq!(ended, [Outcome::Completed]);
}

#[test]
fn orphans_stopped() {
    let mut sim = Simulation::new(6, 2, &[32, 32]);
    sim.run(20);
    sim.submit(0, job(1, 2, 14, 900), 900);
    sim.run(50);
    // A new owner stops runs that it did not start, although their lease is
    // renewed.
    sim.paused[0] = true;
    sim.take_minions(1);
    sim.run(150);
    let running: usize = sim.minions.values().map(|m| m.running().len()).sum();
    assert_eq!(running, 0);
}

#[test]
fn mute_minion() {
    let mut sim = Simulation::new(8, 1, &[32]);
    sim.run(20);
    let spec = JobSpec {
        timeout: Millis(20_000),
        ..job(1, 2, 14, 9_000)
    };
    sim.submit(0, spec, 9_000);
    sim.run(50);
    // Orders arrive but no answer comes back. The lease must lapse, as no run
    // there is certain to be stopped.
    sim.faults.lost_answers = 1.0;
    sim.run(2_500);
    let running: usize = sim.minions.values().map(|m| m.running().len()).sum();
    assert_eq!(running, 0);
}

#[test]
fn other_owner() {
    let mut sim = Simulation::new(4, 2, &[32, 32]);
    sim.run(20);
    sim.submit(0, job(1, 2, 14, 900), 900);
    sim.run(50);
    // The first owner is paused, and the client turns to another VM.
    sim.paused[0] = true;
    sim.take_minions(1);
    sim.run(1_300);
    sim.submit(1, job(1, 2, 14, 900), 900);
    sim.run(500);
    // The resumed owner learns at once that the other one owns the minions.
    sim.paused[0] = false;
    let time = sim.time();
    sim.owners[0].abandon(time);
    sim.run(1_500);
    assert_eq!(sim.violations, Vec::<String>::new());
    let last = sim.outcomes.iter().map(|(_, _, o)| *o);
    assert!(
        last.clone().any(|o| o == Outcome::Completed),
        "{:?}",
        last.collect::<Vec<_>>()
    );
}
