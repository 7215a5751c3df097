//! Memory and processor time of the time line.

use kernel::{SystemClock, TaskId};
use timeline::{EventKind, Filter, Note, Recorder};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::usage::{memory, micros};

/// Measures the time line against the number of events that it holds.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("events in the ring");
    // The first one is not measured, because it reuses freed memory.
    let mut all = vec![full_recorder(1 << 13)];
    for events in [1 << 13, 1 << 14, 1 << 15, 1 << 16] {
        let (bytes, recorder) = memory(|| full_recorder(events));
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

/// Returns a time line that is filled with this number of events.
fn full_recorder(events: usize) -> Recorder {
    let vm = fixtures::vm(&fixtures::domain(0), 0);
    let recorder = Recorder::new(vm.id, vm.incarnation, SystemClock::new(), events);
    for _ in 0..events {
        recorder.record(note());
    }
    recorder
}

/// Returns an event of typical size.
fn note() -> Note {
    let key = "yard-4711-quote-00000042".parse();
    let task: Result<TaskId, _> = "roof-check".parse();
    let minion = fixtures::minion(&fixtures::domain(0), 17);
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
