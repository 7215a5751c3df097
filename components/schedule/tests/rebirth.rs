//! A minion that restarts under its id: orders to its previous process may
//! still reach it.

mod common;

use common::{Simulation, job, minion};
use kernel::{Millis, MinionId, Timestamp};
use schedule::{
    Action, CrashRecord, End, EndKind, Fence, HoldResult, JobSpec, LeaseTime, Listing, LossState,
    MilliCores, NextHold, Outcome, RunNumber, ScheduleConfig, Scheduler, StartReply, TaskName,
};
use standins::{Fate, LeasedMinion, Work};

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

/// Returns a scheduler that holds one minion.
fn with_held_minion() -> (Scheduler, MinionId) {
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    let info = minion("m-00", 32);
    let id = info.id.clone();
    scheduler.register(info, Fence(5));
    scheduler.listed(&id, Fence(5), empty_list(60_000, 1), at(10));
    (scheduler, id)
}

/// Returns a scheduler with one minion, to which a start is on its way.
fn with_pending_start() -> (Scheduler, MinionId) {
    let (mut scheduler, id) = with_held_minion();
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
    assert!(scheduler.register(info, Fence(6)));
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
    scheduler.register(info, Fence(6));
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
    scheduler.restarted(&id, 2, Fence(6));
    scheduler.listed(&id, Fence(6), empty_list(9, 2), at(40));
    // The minion's size is unknown until the register reports it.
    assert_eq!(count_starts(&mut scheduler), 0);
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(7));
    scheduler.tick(at(50));
    assert_eq!(count_starts(&mut scheduler), 1);
}

/// Returns a scheduler whose minion has accepted a start, and learns of a new process
/// afterwards.
fn with_accepted_start() -> (Scheduler, MinionId, TaskName) {
    let (mut scheduler, id) = with_pending_start();
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    let reply = StartReply::Accepted(LeaseTime(3));
    scheduler.started(&id, &task, RunNumber(1), reply, at(20));
    let result = scheduler.listed(&id, Fence(5), empty_list(5, 2), at(30));
    assert_eq!(result, HoldResult::Restarted);
    scheduler.restarted(&id, 2, Fence(6));
    let mut other = minion("m-01", 32);
    other.born = 2;
    scheduler.register(other.clone(), Fence(7));
    scheduler.listed(&other.id, Fence(7), empty_list(1_000, 2), at(31));
    scheduler.tick(at(32));
    (scheduler, id, task)
}

fn crashes(actions: &[Action]) -> Vec<CrashRecord> {
    let records = actions.iter().filter_map(|a| match a {
        Action::Crash(record) => Some(record.clone()),
        _ => None,
    });
    records.collect()
}

/// Guards against a second start, and against blame on the task, while the new
/// process has the run (review/6).
#[test]
fn start_in_successor() {
    let (mut scheduler, id, task) = with_accepted_start();
    assert_eq!(count_starts(&mut scheduler), 0);
    let list = Listing {
        running: vec![(task.clone(), RunNumber(1))],
        ..empty_list(9, 2)
    };
    scheduler.listed(&id, Fence(6), list, at(40));
    scheduler.tick(at(50));
    let end = End {
        number: 1,
        task,
        run: RunNumber(1),
        kind: EndKind::Done,
    };
    let list = Listing {
        ended: vec![end],
        ..empty_list(210, 2)
    };
    scheduler.listed(&id, Fence(6), list, at(240));
    let actions = scheduler.take_actions();
    let completed = |a: &&Action| matches!(a, Action::Settle(_, Outcome::Completed, _));
    assert_eq!(actions.iter().filter(completed).count(), 1);
    assert!(!actions.iter().any(|a| matches!(a, Action::Start(_))));
    assert_eq!(crashes(&actions), []);
}

/// Guards against a task that waits longer than for the first list when its run did
/// end with the process, and against a loss without a record.
#[test]
fn lost_with_former() {
    let (mut scheduler, id, task) = with_accepted_start();
    scheduler.listed(&id, Fence(6), empty_list(9, 2), at(40));
    let actions = scheduler.take_actions();
    let starts = actions.iter().filter(|a| matches!(a, Action::Start(_)));
    assert_eq!(starts.count(), 1);
    let records = crashes(&actions);
    let known = records.iter().map(|r| (&r.task, r.born, r.state));
    let expected = [(&task, 1, LossState::Confirmed)];
    assert_eq!(known.collect::<Vec<_>>(), expected);
}

/// Guards against a job that is sent again while a run of its first submission, which
/// is being stopped, goes on in the new process.
#[test]
fn resent_beside_stop() {
    let (mut scheduler, id) = with_pending_start();
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    let reply = StartReply::Accepted(LeaseTime(3));
    scheduler.started(&id, &task, RunNumber(1), reply, at(20));
    scheduler.cancel(&job(1, 1, 14, 200).id, at(25));
    scheduler.listed(&id, Fence(5), empty_list(5, 2), at(30));
    scheduler.restarted(&id, 2, Fence(6));
    let other = minion("m-01", 32);
    scheduler.register(other.clone(), Fence(7));
    scheduler.listed(&other.id, Fence(7), empty_list(1_000, 1), at(31));
    scheduler.submit(at(32), job(1, 1, 14, 200));
    scheduler.tick(at(35));
    assert_eq!(count_starts(&mut scheduler), 0);
    scheduler.listed(&id, Fence(6), empty_list(9, 2), at(40));
    assert_eq!(count_starts(&mut scheduler), 1);
}

/// Guards against a list of the former process that arrives after the new one has
/// accepted a start: it lacks the run, which goes on.
#[test]
fn late_list() {
    let (mut scheduler, id) = with_pending_start();
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    scheduler.hold(&id, at(12));
    let reply = StartReply::Accepted(LeaseTime(3));
    scheduler.started(&id, &task, RunNumber(1), reply, at(20));
    scheduler.listed(&id, Fence(5), empty_list(60_008, 1), at(25));
    assert_eq!(count_starts(&mut scheduler), 0);
    // A list that was asked for after the answer is of the process that gave it.
    scheduler.hold(&id, at(26));
    scheduler.listed(&id, Fence(5), empty_list(60_016, 1), at(30));
    assert_eq!(count_starts(&mut scheduler), 1);
}

/// Guards against the clock of a former process, by which the lists of the present one
/// would be taken for old ones as long as it has not run as long.
#[test]
fn late_answer() {
    let (mut scheduler, id) = with_pending_start();
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    let mut info = minion("m-00", 32);
    info.born = 2;
    scheduler.register(info, Fence(6));
    for (clock, time) in [(60_020, 25), (60_021, 45)] {
        let reply = StartReply::Accepted(LeaseTime(clock));
        scheduler.started(&id, &task, RunNumber(1), reply, at(time));
        scheduler.listed(&id, Fence(6), empty_list(time, 2), at(time + 5));
    }
    assert_eq!(count_starts(&mut scheduler), 1);
    let second = RunNumber(2);
    scheduler.started(
        &id,
        &task,
        second,
        StartReply::Accepted(LeaseTime(60)),
        at(65),
    );
    scheduler.hold(&id, at(66));
    scheduler.listed(&id, Fence(6), empty_list(70, 2), at(70));
    assert_eq!(count_starts(&mut scheduler), 1);
}

/// Guards against ends that the new process forgets, because a hold acknowledges those
/// of the former one, which had the same numbers: a task that is done would count as lost.
#[test]
fn ends_of_successor() {
    let (mut scheduler, id) = with_held_minion();
    let done = |number, task: &TaskName| End {
        number,
        task: task.clone(),
        run: RunNumber(1),
        kind: EndKind::Done,
    };
    let acknowledged = |scheduler: &mut Scheduler, time| match scheduler.hold(&id, at(time)) {
        Some(NextHold::Send(order)) => order.seen,
        next => panic!("{next:?}"),
    };
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    let list = Listing {
        ended: vec![done(57, &task)],
        ..empty_list(60_010, 1)
    };
    scheduler.listed(&id, Fence(5), list, at(20));
    assert_eq!(acknowledged(&mut scheduler, 21), 57);
    scheduler.hold_missed(&id, at(22));
    // The process may be another one now.
    assert_eq!(acknowledged(&mut scheduler, 23), 0);
    scheduler.listed(&id, Fence(5), empty_list(60_020, 1), at(30));
    assert_eq!(acknowledged(&mut scheduler, 31), 57);
}

/// Guards against a run that counts as over by a lease of its minion's former process:
/// the new one accepted the start, whose lease time is far ahead on its own clock, and
/// granted its longest lease, also if its answer is lost.
#[test]
fn longest_lease() {
    for answered in [true, false] {
        let running = cut_after_restart(answered);
        assert_eq!(running, [], "answered: {answered}");
    }
}

/// Restarts a minion before a start arrives, cuts it off after that, and returns what it
/// runs when the task is started elsewhere.
fn cut_after_restart(answered: bool) -> Vec<(TaskName, RunNumber)> {
    let (mut scheduler, id) = with_held_minion();
    let other = minion("m-01", 32);
    scheduler.register(other.clone(), Fence(7));
    scheduler.listed(&other.id, Fence(7), empty_list(60_000, 1), at(10));
    let patient = JobSpec {
        timeout: Millis(20_000),
        ..job(1, 1, 14, 9_000)
    };
    scheduler.submit(at(11), patient);
    let Some(Action::Start(order)) = scheduler.take_actions().pop() else {
        panic!("no start");
    };
    let mut minions: Vec<_> = [&id, &other.id].map(|id| minion(id.as_str(), 32)).into();
    let chosen = minions.iter().position(|m| m.id == order.minion).unwrap();
    let mut restarted = LeasedMinion::new(minions.remove(chosen));
    restarted.clock_rate = 0.98;
    restarted.restart(12);
    let work = Work {
        cpu: MilliCores(14_000),
        span: Millis(9_000),
        fate: Fate::Succeeds,
    };
    // The last of the attempts to send the order arrives.
    let (sent, heard) = (100, 180);
    let accepted = restarted.start(&order, work, sent);
    let reply = match answered {
        true => accepted,
        false => StartReply::NoAnswer,
    };
    scheduler.started(&order.minion, &order.task, order.run, reply, at(heard));
    let mut now = heard;
    while count_starts(&mut scheduler) == 0 {
        now += 1;
        restarted.advance(now);
        if now % 100 == 0 {
            scheduler.hold_missed(&order.minion, at(now));
            scheduler.hold(&other.id, at(now));
            scheduler.listed(&other.id, Fence(7), empty_list(60_000 + now, 1), at(now));
        }
        scheduler.tick(at(now));
        assert!(now < 2_000, "never started again");
    }
    restarted.running()
}

/// Guards against a job that is sent again while a start of its first submission is still
/// being sent: the stop is known to the process that acknowledged it, not to the next.
#[test]
fn stop_before_start() {
    let (mut scheduler, id) = with_pending_start();
    let task = TaskName::new(&job(1, 1, 14, 200).id, 0, 0);
    scheduler.cancel(&job(1, 1, 14, 200).id, at(12));
    scheduler.stopped(&id, &task, RunNumber(1), LeaseTime(60_004), at(14));
    scheduler.hold(&id, at(15));
    scheduler.listed(&id, Fence(5), empty_list(60_007, 1), at(17));
    scheduler.submit(at(18), job(1, 1, 14, 200));
    assert_eq!(count_starts(&mut scheduler), 0);
    scheduler.started(&id, &task, RunNumber(1), StartReply::NoAnswer, at(180));
    scheduler.hold(&id, at(181));
    scheduler.listed(&id, Fence(5), empty_list(60_173, 1), at(183));
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
