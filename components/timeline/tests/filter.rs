//! Tests the filter and its form as an HTTP query.

use kernel::{Incarnation, JobKey, ManualClock, Millis};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{EventKind, Filter, Note, Recorder};

fn recorder() -> Recorder<ManualClock> {
    let incarnation = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(1));
    let clock = ManualClock::default();
    Recorder::new("suva-a/vm-1".parse().unwrap(), incarnation, clock, 64)
}

fn key(text: &str) -> JobKey {
    text.parse().unwrap()
}

proptest! {
    #[test]
    fn query_round_trip(
        since in prop::option::of(any::<u64>()),
        job in prop::option::of("[!#-+\\--~]{1,40}"),
        context in any::<bool>(),
    ) {
        let job = job.and_then(|text| text.parse::<JobKey>().ok());
        let filter = Filter { since: since.map(Millis), job, minion: None, context };
        prop_assert_eq!(filter.to_string().parse(), Ok(filter));
    }
}

#[test]
fn invalid_query() {
    for query in [
        "job=",
        "since_ms=soon",
        "colour=red",
        "job=a&job=b",
        "job=a%20b",
    ] {
        assert!(query.parse::<Filter>().is_err(), "{query}");
    }
}

#[test]
fn by_job() {
    let recorder = recorder();
    recorder.record(Note::new(EventKind::JobReceived).job(&key("a")));
    recorder.record(Note::new(EventKind::JobReceived).job(&key("b")));
    recorder.record(Note::new(EventKind::LogAway));
    let job_only: Filter = "job=a".parse().unwrap();
    assert_eq!(recorder.read(&job_only).events.len(), 1);
    let with_context: Filter = "job=a&context=true".parse().unwrap();
    assert_eq!(recorder.read(&with_context).events.len(), 2);
}

#[test]
fn by_minion() {
    let recorder = recorder();
    for minion in ["suva-a/m1", "suva-a/m2"] {
        let note = Note::new(EventKind::MinionEjected).minion(&minion.parse().unwrap());
        recorder.record(note.cause("failures"));
    }
    let filter: Filter = "minion=suva-a%2Fm2".parse().unwrap();
    let events = recorder.read(&filter).events;
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].cause, Some("failures".into()));
}

#[test]
fn by_time() {
    let recorder = recorder();
    recorder.record(Note::new(EventKind::LogAway));
    let filter = Filter {
        since: Some(Millis(1)),
        ..Filter::default()
    };
    assert_eq!(recorder.read(&filter).events.len(), 0);
}
