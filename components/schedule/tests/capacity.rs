//! Minions whose capacity shrinks and grows again while they run.

mod common;

use common::wave::{FleetKind, WaveLoad};
use common::{Simulation, cores, job, minion};
use kernel::{Fence, Millis, MinionId, Sequence, Timestamp};
use schedule::{
    Action, Admission, LeaseTime, Listing, MinionInfo, ScheduleConfig, Scheduler, Transfer,
};

/// Returns a later entry of the minion with another number of cores.
fn resized(info: &MinionInfo, size: u32) -> MinionInfo {
    let mut info = info.clone();
    info.capacity.cpu = cores(size).cpu;
    info.sequence = Sequence(info.sequence.0 + 1);
    info
}

fn starts(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions();
    let starts = actions.iter().filter(|a| matches!(a, Action::Start(_)));
    starts.count()
}

/// Lets a scheduler hold a minion that runs nothing.
fn hold(scheduler: &mut Scheduler, id: &MinionId, fence: Fence) {
    let list = Listing {
        clock: LeaseTime(1_000),
        born: 1,
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.listed(id, fence, list, Timestamp(20_000));
}

#[test]
fn shrinks_and_grows() {
    let mut sim = Simulation::new(1, 1, &[64; 4]);
    sim.run(50);
    for number in 0..200 {
        if number % 50 == 20 {
            for minion in sim.minions.values_mut() {
                let size = if minion.info.capacity == cores(64) {
                    16
                } else {
                    64
                };
                minion.info = resized(&minion.info, size);
            }
            // The rule counts a shrunk capacity some seconds after it was
            // reported; runs from before may go on.
            sim.run(1_000);
            sim.violations.clear();
        }
        sim.submit(0, job(number, 2, 14, 100), 100);
        sim.run(30);
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against an older entry in a new owner's register, which may replace the
/// one that came with the handover and bring back a capacity that has shrunk.
#[test]
fn stale_entry() {
    let mut former = Scheduler::new(ScheduleConfig::default());
    let first = minion("m-00", 32);
    let now = Timestamp(10_000);
    former.register(first.clone(), Fence(1));
    former.register(resized(&first, 16), Fence(1));
    let state: Transfer = former.export(now);
    let mut next = Scheduler::new(ScheduleConfig::default());
    next.import(now, state, || Fence(2));
    next.register(first.clone(), Fence(3));
    hold(&mut next, &first.id, Fence(2));
    next.submit(Timestamp(30_000), job(1, 2, 14, 200));
    assert_eq!(starts(&mut next), 1);
    // A later entry of the same process counts, and one of a later process with
    // lower numbers.
    next.register(resized(&resized(&first, 32), 32), Fence(3));
    next.tick(Timestamp(40_000));
    assert_eq!(starts(&mut next), 1);
    let mut reborn = resized(&first, 16);
    reborn.born = 2;
    assert!(next.register(reborn, Fence(4)));
}

/// Guards against a shrunk minion that counts as another kind, of which no run
/// times are known.
#[test]
fn same_kind() {
    let kind = |label, speed| FleetKind {
        label,
        count: 12,
        cores: 32,
        speed,
    };
    let mut load = WaveLoad::new(1, &[kind("a", 1.0), kind("b", 0.5)], 8.0);
    load.run(20_000);
    // One of the slow kind, whose run times are not the usual ones.
    let id = load.sim.minions.keys().last().cloned().unwrap();
    let expected = |load: &WaveLoad| load.sim.owners[0].expected_on(&id, "long", Millis(760));
    let before = expected(&load).unwrap();
    assert!(before > Millis(1_200), "{before}");
    let info = resized(&load.sim.minions[&id].info, 16);
    let fence = load.sim.next_token();
    load.sim.owners[0].register(info, fence);
    assert_eq!(expected(&load), Some(before));
}

/// Guards against callers who are told to come back in a minute for room that is
/// only away for a while.
#[test]
fn room_away() {
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    let info = minion("m-00", 32);
    scheduler.register(info.clone(), Fence(1));
    hold(&mut scheduler, &info.id, Fence(1));
    scheduler.register(resized(&info, 8), Fence(1));
    let admission = scheduler.submit(Timestamp(30_000), job(1, 1, 14, 200));
    let Admission::Refused { retry } = admission else {
        panic!("{admission:?}");
    };
    assert!(retry < Millis(5_000), "{retry}");
    assert_eq!(starts(&mut scheduler), 0);
}
