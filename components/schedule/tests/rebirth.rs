//! A minion that starts anew under its id: orders to its former life may still
//! reach it.

mod common;

use common::{World, job, minion};
use kernel::{MinionId, Timestamp};
use schedule::{Action, Fence, Heard, LeaseTime, Listing, ScheduleConfig, Scheduler};

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn empty(clock: u64, born: u64) -> Listing {
    Listing {
        clock: LeaseTime(clock),
        born,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Returns a scheduler whose one minion has a start on its way.
fn with_start() -> (Scheduler, MinionId) {
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    let info = minion("m-00", 32);
    let id = info.id.clone();
    scheduler.register(info, Fence(5));
    scheduler.listed(&id, Fence(5), empty(1_000, 1), at(10));
    scheduler.submit(at(11), job(1, 1, 14, 200));
    assert_eq!(starts(&mut scheduler), 1);
    (scheduler, id)
}

fn starts(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions();
    let starts = actions.iter().filter(|a| matches!(a, Action::Start(_)));
    starts.count()
}

#[test]
fn start_underway() {
    let (mut scheduler, id) = with_start();
    let mut info = minion("m-00", 32);
    info.born = 2;
    assert!(scheduler.register(info, Fence(6)));
    // The start may reach the new process, so the task must not run elsewhere
    // or again before a list under the new token.
    scheduler.tick(at(20));
    assert_eq!(starts(&mut scheduler), 0);
    scheduler.listed(&id, Fence(6), empty(5, 2), at(30));
    assert_eq!(starts(&mut scheduler), 1);
}

#[test]
fn former_token() {
    let (mut scheduler, id) = with_start();
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(6));
    // An answer to a hold under the former token proves nothing: a start under
    // it may come after.
    let heard = scheduler.listed(&id, Fence(5), empty(5, 2), at(30));
    assert_eq!(heard, Heard::Ignored);
    assert_eq!(starts(&mut scheduler), 0);
}

#[test]
fn told_by_list() {
    let (mut scheduler, id) = with_start();
    let heard = scheduler.listed(&id, Fence(5), empty(5, 2), at(30));
    assert_eq!(heard, Heard::Reborn);
    scheduler.retake(&id, 2, Fence(6));
    scheduler.listed(&id, Fence(6), empty(9, 2), at(40));
    // Its size is unknown until the register tells it.
    assert_eq!(starts(&mut scheduler), 0);
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(7));
    scheduler.tick(at(50));
    assert_eq!(starts(&mut scheduler), 1);
}

#[test]
fn same_millisecond() {
    // Two lists of one millisecond of the minion's clock may hold and not hold
    // a run that started in between.
    let mut world = World::new(7, 1, &[32]);
    world.run(20);
    let id: MinionId = "m-00".parse().unwrap();
    let spec = job(1, 1, 14, 200);
    world.submit(0, spec, 200);
    world.run(8);
    let model = &world.minions[&id];
    let list = Listing {
        clock: LeaseTime(world.now),
        born: 1,
        running: model.running(),
        ended: Vec::new(),
    };
    assert_eq!(list.running.len(), 1);
    let none = Listing {
        running: Vec::new(),
        ..list.clone()
    };
    let (fence, time) = (world.fence(&id), world.time());
    world.owners[0].listed(&id, fence, list, time);
    world.owners[0].listed(&id, fence, none, time);
    assert_eq!(starts(&mut world.owners[0]), 0);
}
