//! A job that its client resends.

mod common;

use common::{World, job};
use kernel::Millis;
use schedule::{JobSpec, Outcome};

#[test]
fn first_stopped() {
    let mut world = World::new(3, 1, &[32, 32]);
    world.run(20);
    world.submit(0, job(1, 2, 14, 400), 400);
    world.run(50);
    // The second submission must not run beside the first.
    world.submit(0, job(1, 2, 14, 400), 400);
    world.run(1_400);
    assert_eq!(world.violations, Vec::<String>::new());
    let ended: Vec<_> = world.outcomes.iter().map(|(_, _, o)| *o).collect();
    assert_eq!(ended, [Outcome::Completed]);
}

#[test]
fn orphans_stopped() {
    let mut world = World::new(6, 2, &[32, 32]);
    world.run(20);
    world.submit(0, job(1, 2, 14, 900), 900);
    world.run(50);
    // A new owner stops runs that it did not start, although their lease is
    // renewed.
    world.paused[0] = true;
    world.take_minions(1);
    world.run(150);
    let running: usize = world.minions.values().map(|m| m.running().len()).sum();
    assert_eq!(running, 0);
}

#[test]
fn mute_minion() {
    let mut world = World::new(8, 1, &[32]);
    world.run(20);
    let patient = JobSpec {
        patience: Millis(20_000),
        ..job(1, 2, 14, 9_000)
    };
    world.submit(0, patient, 9_000);
    world.run(50);
    // Orders arrive but no answer comes back. The lease must lapse, as no run
    // there is certain to be stopped.
    world.faults.lost_answers = 1.0;
    world.run(2_500);
    let running: usize = world.minions.values().map(|m| m.running().len()).sum();
    assert_eq!(running, 0);
}

#[test]
fn other_owner() {
    let mut world = World::new(4, 2, &[32, 32]);
    world.run(20);
    world.submit(0, job(1, 2, 14, 900), 900);
    world.run(50);
    // The first owner is paused, and the client turns to another VM.
    world.paused[0] = true;
    world.take_minions(1);
    world.run(1_300);
    world.submit(1, job(1, 2, 14, 900), 900);
    world.run(500);
    // The resumed owner learns at once that the other one owns the minions.
    world.paused[0] = false;
    let time = world.time();
    world.owners[0].abandon(time);
    world.run(1_500);
    assert_eq!(world.violations, Vec::<String>::new());
    let last = world.outcomes.iter().map(|(_, _, o)| *o);
    assert!(
        last.clone().any(|o| o == Outcome::Completed),
        "{:?}",
        last.collect::<Vec<_>>()
    );
}
