//! Tests merging the events of several VMs, and their output as text and JSON.

use kernel::{Incarnation, JobKey, ManualClock, Millis, Offset};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{Event, EventKind, Excerpt, Filter, Note, Recorder, Transcript, json_line, merge};

fn recorder(name: &str, seed: u64, wall: u64) -> Recorder<ManualClock> {
    let incarnation = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(seed));
    let clock = ManualClock::default();
    clock.advance(Millis(wall));
    Recorder::new(name.parse().unwrap(), incarnation, clock, 64)
}

fn key() -> JobKey {
    "yard-17".parse().unwrap()
}

/// Returns the events of a job that is passed from a VM whose clock is 40 s ahead
/// to one whose clock is correct.
fn passed_job() -> Vec<Excerpt> {
    let ahead = recorder("suva-a/vm-1", 1, 1_700_000_040_000);
    let correct = recorder("nadi-b/vm-2", 2, 1_700_000_000_000);
    let job = |what| Note::new(what).job(&key());
    correct.record(Note::new(EventKind::SheetInForce(Offset(4))));
    ahead.record(job(EventKind::JobReceived));
    ahead.record(job(EventKind::JobPassed("nadi-b/vm-2".parse().unwrap())));
    correct.observe(ahead.stamp());
    correct.record(job(EventKind::JobReceived));
    let minion = "nadi-b/m3".parse().unwrap();
    let task = "roof".parse().unwrap();
    correct.record(job(EventKind::TaskSent).task(&task).minion(&minion));
    correct.record(
        job(EventKind::TaskLost)
            .task(&task)
            .minion(&minion)
            .cause("silent"),
    );
    correct.record(job(EventKind::JobFailed).cause("connection_lost"));
    ahead.observe(correct.stamp());
    ahead.record(job(EventKind::JobFailed).cause("connection_lost"));
    [ahead, correct]
        .iter()
        .map(|r| r.read(&Filter::default()))
        .collect()
}

fn names(events: &[Event]) -> Vec<&'static str> {
    events.iter().map(|e| e.what.name()).collect()
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
    assert_eq!(names(&merge(passed_job())), order);
    let mut reversed = passed_job();
    reversed.reverse();
    assert_eq!(names(&merge(reversed)), order);
}

#[test]
fn merge_deduplicates() {
    let mut twice = passed_job();
    twice.extend(passed_job());
    assert_eq!(merge(twice), merge(passed_job()));
}

#[test]
fn job_context() {
    let job = Transcript::for_job(merge(passed_job()), &key());
    // By its stamp, the sheet came into force 40 s before the job, which is too
    // early to be part of its context.
    assert_eq!(job.len(), 7);
    assert!(job.iter().all(|e| e.job.is_some()));
}

#[test]
fn text_lines() {
    let events = Transcript::for_job(merge(passed_job()), &key());
    let text = Transcript::new(&events).to_string();
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
    for event in merge(passed_job()) {
        let line = json_line(&event).unwrap();
        assert!(!line.contains('\n'));
        assert_eq!(serde_json::from_str::<Event>(&line).unwrap(), event);
    }
}
