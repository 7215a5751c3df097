//! Rings of several VMs become one story.

use kernel::{Incarnation, JobKey, ManualClock, Millis, Offset};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{Event, EventKind, Excerpt, Filter, Note, Recorder, Story, json_line, merge};

fn recorder(name: &str, seed: u64, wall: u64) -> Recorder<ManualClock> {
    let life = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(seed));
    let clock = ManualClock::default();
    clock.advance(Millis(wall));
    Recorder::new(name.parse().unwrap(), life, clock, 64)
}

fn key() -> JobKey {
    "yard-17".parse().unwrap()
}

/// A job passed from a VM whose clock is 40 s ahead to one whose clock is right.
fn passed() -> Vec<Excerpt> {
    let ahead = recorder("suva-a/vm-1", 1, 1_700_000_040_000);
    let right = recorder("nadi-b/vm-2", 2, 1_700_000_000_000);
    let job = |what| Note::new(what).job(&key());
    right.record(Note::new(EventKind::SheetInForce(Offset(4))));
    ahead.record(job(EventKind::JobReceived));
    ahead.record(job(EventKind::JobPassed("nadi-b/vm-2".parse().unwrap())));
    right.observe(ahead.stamp());
    right.record(job(EventKind::JobReceived));
    let minion = "nadi-b/m3".parse().unwrap();
    let task = "roof".parse().unwrap();
    right.record(job(EventKind::TaskSent).task(&task).minion(&minion));
    right.record(
        job(EventKind::TaskLost)
            .task(&task)
            .minion(&minion)
            .cause("silent"),
    );
    right.record(job(EventKind::JobFailed).cause("connection_lost"));
    ahead.observe(right.stamp());
    ahead.record(job(EventKind::JobFailed).cause("connection_lost"));
    [ahead, right]
        .iter()
        .map(|r| r.read(&Filter::default()))
        .collect()
}

fn words(events: &[Event]) -> Vec<&'static str> {
    events.iter().map(|e| e.what.word()).collect()
}

#[test]
fn causal_order() {
    let order = [
        "sheet_in_force",
        "job_received",
        "job_passed",
        "job_received",
        "task_sent",
        "task_lost",
        "job_failed",
        "job_failed",
    ];
    assert_eq!(words(&merge(passed())), order);
    let mut other_way = passed();
    other_way.reverse();
    assert_eq!(words(&merge(other_way)), order);
}

#[test]
fn answered_twice() {
    let mut twice = passed();
    twice.extend(passed());
    assert_eq!(merge(twice), merge(passed()));
}

#[test]
fn around_job() {
    let job = Story::of_job(merge(passed()), &key());
    // The sheet came into force 40 s earlier, as the stamps have it.
    assert_eq!(job.len(), 7);
    assert!(job.iter().all(|e| e.job.is_some()));
}

#[test]
fn readable() {
    let events = Story::of_job(merge(passed()), &key());
    let text = Story::new(&events).to_string();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines[0], "from 2023-11-14T22:14:00.000Z");
    assert_eq!(
        lines[2],
        "   +0.000s  suva-a/vm-1  job passed to nadi-b/vm-2, job yard-17"
    );
    assert_eq!(
        lines[5],
        "   +0.000s  nadi-b/vm-2  task lost, task roof, minion nadi-b/m3, job yard-17: silent"
    );
}

#[test]
fn json_lines() {
    for event in merge(passed()) {
        let line = json_line(&event).unwrap();
        assert!(!line.contains('\n'));
        assert_eq!(serde_json::from_str::<Event>(&line).unwrap(), event);
    }
}
