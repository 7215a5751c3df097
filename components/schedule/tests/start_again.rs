//! A start that is resent because the first got no answer.

mod common;

use common::{Simulation, job, minion};
use kernel::Timestamp;
use schedule::{Action, EndKind, Fence, LeaseTime, Listing, ScheduleConfig, Scheduler, StartReply};

#[test]
fn combined_replies() {
    let clock = LeaseTime(9);
    let no_answer = StartReply::NoAnswer;
    assert_eq!(
        StartReply::Accepted(clock).after(no_answer),
        StartReply::Accepted(clock)
    );
    // The first start may run although the second was rejected or never sent.
    let second = [
        StartReply::Unsent,
        StartReply::Unhealthy,
        StartReply::Old(clock),
        StartReply::Late(clock),
        StartReply::Full(clock),
        StartReply::Fenced,
    ];
    for reply in second {
        assert_eq!(reply.after(no_answer), no_answer);
    }
    assert_eq!(
        StartReply::Full(clock).after(StartReply::Unsent),
        StartReply::Full(clock)
    );
}

#[test]
fn end_without_answer() {
    // The start was carried out and the task is done before any answer arrives.
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    let info = minion("m-00", 32);
    let id = info.id.clone();
    scheduler.register(info, Fence(5));
    let list = |clock, ended| Listing {
        clock: LeaseTime(clock),
        born: 1,
        running: Vec::new(),
        ended,
    };
    scheduler.listed(&id, Fence(5), list(1_000, Vec::new()), Timestamp(10_000));
    scheduler.submit(Timestamp(11_000), job(1, 1, 14, 60));
    let Some(Action::Start(order)) = scheduler.take_actions().into_iter().next() else {
        panic!("no start");
    };
    let now = Timestamp(300_000);
    scheduler.started(&id, &order.task, order.run, StartReply::NoAnswer, now);
    let end = schedule::End {
        number: 1,
        task: order.task.clone(),
        run: order.run,
        kind: EndKind::Done,
    };
    scheduler.listed(&id, Fence(5), list(1_300, vec![end]), now);
    let settled = scheduler.take_actions().into_iter();
    let settled: Vec<_> = settled
        .filter(|a| matches!(a, Action::Settle(..)))
        .collect();
    assert_eq!(settled.len(), 1);
}

#[test]
fn missed_list() {
    // A run past its time limit is hung only if a list contains it: its end may
    // be delayed by a hold whose answer got lost.
    let mut sim = Simulation::new(5, 1, &[32]);
    sim.run(20);
    sim.submit(0, job(1, 1, 14, 60), 60);
    sim.run(5);
    sim.faults.lost_answers = 1.0;
    sim.run(350);
    let stops = sim.order_log.iter().filter(|l| l.contains("stop"));
    assert_eq!(stops.count(), 0, "{:?}", sim.order_log);
}
