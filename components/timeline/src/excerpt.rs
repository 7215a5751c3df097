//! Excerpts of the VMs' rings, and merging them.

use kernel::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::ring::Selection;
use crate::{Event, Stamp};

/// The events read from one VM's ring, and what the ring has lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// The VM.
    pub process: VmId,
    /// The incarnation of its process. The events of previous incarnations are
    /// lost.
    #[serde(with = "crate::text")]
    pub incarnation: Incarnation,
    /// The selected events, sorted by stamp.
    pub events: Vec<Event>,
    /// Events at or before this stamp may have been dropped from the ring; `None`
    /// if none were.
    pub dropped_before: Option<Stamp>,
    /// Number of events since the start of the process that were not recorded.
    pub missed: u64,
}

impl Excerpt {
    pub(crate) fn new(
        process: &VmId,
        incarnation: Incarnation,
        selected: Selection,
        missed: u64,
    ) -> Excerpt {
        let event = |entry: crate::ring::Entry| Event {
            at: entry.at,
            process: process.clone(),
            incarnation,
            job: entry.note.job,
            task: entry.note.task,
            minion: entry.note.minion,
            what: entry.note.what,
            cause: entry.note.cause,
        };
        let mut events: Vec<Event> = selected.entries.into_iter().map(event).collect();
        events.sort_by_key(|e| e.at);
        Excerpt {
            process: process.clone(),
            incarnation,
            events,
            dropped_before: selected.dropped,
            missed,
        }
    }
}

/// Merges the excerpts of several VMs into one list in causal order: no effect
/// comes before its cause. Events that were read twice are kept once.
pub fn merge(excerpts: Vec<Excerpt>) -> Vec<Event> {
    let mut all: Vec<Event> = excerpts.into_iter().flat_map(|e| e.events).collect();
    all.sort_by(|a, b| (a.at, &a.process, a.incarnation).cmp(&(b.at, &b.process, b.incarnation)));
    all.dedup();
    all
}
