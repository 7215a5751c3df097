//! Records events on the time line and counts them.

use metrics::Metrics;
use timeline::{Note, Recorder};

use crate::count;

/// Recorder of events. Clones share the time line and the metrics.
#[derive(Clone)]
pub struct Notes {
    /// The time line.
    pub recorder: Recorder,
    /// Counters and gauges.
    pub metrics: Metrics,
}

impl Notes {
    /// Records an event, and counts it.
    pub fn note(&self, note: Note) {
        if let Some(count) = count::of_event(&note.what) {
            self.metrics.add(count, 1);
        }
        self.recorder.record(note);
    }
}
