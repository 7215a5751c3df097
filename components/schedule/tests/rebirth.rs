//! A minion that restarts under its id: orders to its previous process may
//! still reach it.

mod common;

use common::{Simulation, job, minion};
use kernel::{MinionId, Timestamp};
use schedule::{Action, Fence, HoldResult, LeaseTime, Listing, ScheduleConfig, Scheduler};

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn empty_list(clock: u64, born: u64) -> Listing {
    Listing {
        clock: LeaseTime(clock),
        born,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Returns a scheduler with one minion, to which a start is on its way.
fn with_pending_start() -> (Scheduler, MinionId) {
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    let info = minion("m-00", 32);
    let id = info.id.clone();
    scheduler.register(info, Fence(5), at(0));
    scheduler.listed(&id, Fence(5), empty_list(1_000, 1), at(10));
    scheduler.submit(at(11), job(1, 1, 14, 200));
    assert_eq!(count_starts(&mut scheduler), 1);
    (scheduler, id)
}

fn count_starts(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions();
    let starts = actions.iter().filter(|a| matches!(a, Action::Start(_)));
    starts.count()
}

#[test]
fn start_in_flight() {
    let (mut scheduler, id) = with_pending_start();
    let mut info = minion("m-00", 32);
    info.born = 2;
    assert!(scheduler.register(info, Fence(6), at(15)));
    // The start may reach the new process, so the task must not run elsewhere
    // or again before a list under the new token.
    scheduler.tick(at(20));
    assert_eq!(count_starts(&mut scheduler), 0);
    scheduler.listed(&id, Fence(6), empty_list(5, 2), at(30));
    assert_eq!(count_starts(&mut scheduler), 1);
}

#[test]
fn former_token() {
    let (mut scheduler, id) = with_pending_start();
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(6), at(15));
    // A list under the previous token proves nothing: a start under that token
    // may arrive after it.
    let result = scheduler.listed(&id, Fence(5), empty_list(5, 2), at(30));
    assert_eq!(result, HoldResult::Ignored);
    assert_eq!(count_starts(&mut scheduler), 0);
}

#[test]
fn restart_in_list() {
    let (mut scheduler, id) = with_pending_start();
    let result = scheduler.listed(&id, Fence(5), empty_list(5, 2), at(30));
    assert_eq!(result, HoldResult::Restarted);
    scheduler.restarted(&id, 2, Fence(6), at(30));
    scheduler.listed(&id, Fence(6), empty_list(9, 2), at(40));
    // The minion's size is unknown until the register reports it.
    assert_eq!(count_starts(&mut scheduler), 0);
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(7), at(45));
    scheduler.tick(at(50));
    assert_eq!(count_starts(&mut scheduler), 1);
}

#[test]
fn same_millisecond() {
    // Two lists of the same millisecond of the minion's clock may differ in a
    // run that started in between. The one without the run must not end it.
    let mut sim = Simulation::new(7, 1, &[32]);
    sim.run(20);
    let id: MinionId = "m-00".parse().unwrap();
    let spec = job(1, 1, 14, 200);
    sim.submit(0, spec, 200);
    sim.run(8);
    let state = &sim.minions[&id];
    let list = Listing {
        clock: LeaseTime(sim.now),
        born: 1,
        running: state.running(),
        ended: Vec::new(),
    };
    assert_eq!(list.running.len(), 1);
    let none = Listing {
        running: Vec::new(),
        ..list.clone()
    };
    let (fence, time) = (sim.fence(&id), sim.time());
    sim.owners[0].listed(&id, fence, list, time);
    sim.owners[0].listed(&id, fence, none, time);
    assert_eq!(count_starts(&mut sim.owners[0]), 0);
}
