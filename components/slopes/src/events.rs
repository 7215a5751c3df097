//! The time line's memory and time.

use kernel::{SystemClock, TaskId};
use timeline::{EventKind, Filter, Note, Recorder};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::named;
use crate::usage::{memory, micros};

/// Measures the ring against the events that it holds.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("events in the ring");
    // The first is left out: it fills memory that was freed before.
    let mut all = vec![full(1 << 13)];
    for events in [1 << 13, 1 << 14, 1 << 15, 1 << 16] {
        let (bytes, recorder) = memory(|| full(events));
        let text = serde_json::to_vec(&recorder.read(&Filter::default())).unwrap_or_default();
        let write = micros(20_000, || recorder.record(note()));
        series.add(
            events,
            &[
                ("time line, memory", "B", bytes),
                ("time line, read whole", "B", text.len() as f64),
                ("time line, record an event", "us", write),
            ],
        );
        all.push(recorder);
    }
    Ok(series.finish())
}

/// Returns a ring that holds as many events as it can.
fn full(events: usize) -> Recorder {
    let vm = named::vm(&named::domain(0), 0);
    let recorder = Recorder::new(vm.id, vm.incarnation, SystemClock::new(), events);
    for _ in 0..events {
        recorder.record(note());
    }
    recorder
}

fn note() -> Note {
    let key = "yard-4711-quote-00000042".parse();
    let task: Result<TaskId, _> = "roof-check".parse();
    let minion = named::minion(&named::domain(0), 17);
    let note = Note::new(EventKind::TaskSent).minion(&minion);
    let note = match &key {
        Ok(key) => note.job(key),
        Err(_) => note,
    };
    match &task {
        Ok(task) => note.task(task),
        Err(_) => note,
    }
}
