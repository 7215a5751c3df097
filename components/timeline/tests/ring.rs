//! Tests that the ring is bounded, keeps order and counts the events it loses.

use std::sync::Arc;
use std::thread;

use kernel::{Incarnation, ManualClock, Millis};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{EventKind, Filter, Note, Recorder};

fn recorder(capacity: usize) -> Recorder<ManualClock> {
    let incarnation = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(1));
    let clock = ManualClock::default();
    clock.advance(Millis(1000));
    Recorder::new("suva-a/vm-1".parse().unwrap(), incarnation, clock, capacity)
}

fn sent(job: usize) -> Note {
    Note::new(EventKind::TaskSent).job(&format!("job-{job}").parse().unwrap())
}

#[test]
fn keeps_order() {
    let recorder = recorder(64);
    for job in 0..64 {
        recorder.record(sent(job));
    }
    let excerpt = recorder.read(&Filter::default());
    let jobs: Vec<_> = excerpt
        .events
        .iter()
        .map(|e| e.job.clone().unwrap().to_string())
        .collect();
    let expected: Vec<_> = (0..64).map(|job| format!("job-{job}")).collect();
    assert_eq!(jobs, expected);
    assert_eq!(excerpt.dropped_before, None);
}

#[test]
fn drops_oldest() {
    let recorder = recorder(64);
    for job in 0..100 {
        recorder.record(sent(job));
    }
    let excerpt = recorder.read(&Filter::default());
    assert_eq!(excerpt.events.len(), 64);
    let dropped = excerpt.dropped_before.unwrap();
    assert!(excerpt.events.iter().all(|e| e.at > dropped));
    assert_eq!(excerpt.events[63].job, Some("job-99".parse().unwrap()));
}

#[test]
fn zero_capacity() {
    let recorder = recorder(0);
    recorder.record(sent(1));
    let excerpt = recorder.read(&Filter::default());
    assert_eq!((excerpt.events.len(), excerpt.missed), (0, 0));
}

#[test]
fn concurrent_writers() {
    const EACH: usize = 5000;
    let recorder = Arc::new(recorder(16 * EACH));
    thread::scope(|scope| {
        for writer in 0..8 {
            let recorder = Arc::clone(&recorder);
            scope.spawn(move || (0..EACH).for_each(|i| recorder.record(sent(writer * EACH + i))));
        }
        for _ in 0..20 {
            recorder.read(&Filter::default());
        }
    });
    let excerpt = recorder.read(&Filter::default());
    assert_eq!(excerpt.dropped_before, None);
    assert_eq!(excerpt.events.len() + excerpt.missed as usize, 8 * EACH);
    assert!(excerpt.events.is_sorted_by(|a, b| a.at < b.at));
}

#[test]
fn reads_span() {
    let recorder = recorder(64);
    recorder.record(sent(1));
    let first = recorder.read(&Filter::default()).events[0].at;
    recorder.record(sent(2));
    let to = recorder.stamp();
    recorder.record(sent(3));
    let events = recorder.read_span(first, to).events;
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].job, Some("job-2".parse().unwrap()));
}
