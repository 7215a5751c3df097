//! Parts of one VM's ring, and the merge of many VMs' parts.

use kernel::{Incarnation, VmId};
use serde::{Deserialize, Serialize};

use crate::ring::Found;
use crate::{Event, Stamp};

/// The events that one VM's ring still holds, and what it has lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// The VM.
    pub process: VmId,
    /// The life of its process. Events of earlier lives are gone with them.
    #[serde(with = "crate::text")]
    pub incarnation: Incarnation,
    /// The events asked for, in the order of their stamps.
    pub events: Vec<Event>,
    /// The ring may have dropped events at or before this stamp.
    pub dropped_before: Option<Stamp>,
    /// How many events were never recorded since the process started.
    pub missed: u64,
}

impl Excerpt {
    pub(crate) fn new(process: &VmId, life: Incarnation, found: Found, missed: u64) -> Excerpt {
        let event = |entry: crate::ring::Entry| Event {
            at: entry.at,
            process: process.clone(),
            incarnation: life,
            job: entry.note.job,
            task: entry.note.task,
            minion: entry.note.minion,
            what: entry.note.what,
            cause: entry.note.cause,
        };
        let mut events: Vec<Event> = found.entries.into_iter().map(event).collect();
        events.sort_by_key(|e| e.at);
        Excerpt {
            process: process.clone(),
            incarnation: life,
            events,
            dropped_before: found.dropped,
            missed,
        }
    }
}

/// Merges the parts of many VMs into one order in which no effect stands before
/// its cause. A VM that answered twice counts once.
pub fn merge(excerpts: Vec<Excerpt>) -> Vec<Event> {
    let mut all: Vec<Event> = excerpts.into_iter().flat_map(|e| e.events).collect();
    all.sort_by(|a, b| (a.at, &a.process, a.incarnation).cmp(&(b.at, &b.process, b.incarnation)));
    all.dedup();
    all
}
