//! A job that its client sends again.

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
    assert_eq!(world.broken, Vec::<String>::new());
    let ended: Vec<_> = world.outcomes.iter().map(|(_, _, o)| *o).collect();
    assert_eq!(ended, [Outcome::Completed]);
}

#[test]
fn orphans_stopped() {
    let mut world = World::new(6, 2, &[32, 32]);
    world.run(20);
    world.submit(0, job(1, 2, 14, 900), 900);
    world.run(50);
    // A new owner stops what it did not start, though its leases renew.
    world.frozen[0] = true;
    world.own(1);
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
    // Orders arrive and no answer comes back: the lease must lapse, as nothing
    // there can be stopped for certain.
    world.faults.mute = 1.0;
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
    // The first owner falls asleep, and the client turns to another VM.
    world.frozen[0] = true;
    world.own(1);
    world.run(1_300);
    world.submit(1, job(1, 2, 14, 900), 900);
    world.run(500);
    // It hears at once that the other one owns the minions.
    world.frozen[0] = false;
    let time = world.time();
    world.owners[0].abandon(time);
    world.run(1_500);
    assert_eq!(world.broken, Vec::<String>::new());
    let last = world.outcomes.iter().map(|(_, _, o)| *o);
    assert!(
        last.clone().any(|o| o == Outcome::Completed),
        "{:?}",
        last.collect::<Vec<_>>()
    );
}
