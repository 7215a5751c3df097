//! Recording of a VM's events.

use std::sync::Arc;

use kernel::{Clock, Incarnation, SystemClock, VmId};

use crate::ring::Entry;
use crate::{Excerpt, Filter, Hlc, Note, Ring, Stamp};

/// Stamps events and stores them in the VM's ring. Clones share the clock and the
/// ring.
#[derive(Debug)]
pub struct Recorder<C = SystemClock> {
    /// The state shared by all clones.
    shared: Arc<Shared<C>>,
}

/// The state shared by all clones of a recorder.
#[derive(Debug)]
struct Shared<C> {
    /// The VM that records events.
    process: VmId,
    /// The incarnation of the VM's process.
    incarnation: Incarnation,
    /// Source of the wall time.
    clock: C,
    /// Source of stamps.
    hlc: Hlc,
    /// The recorded events.
    ring: Ring,
}

impl<C> Clone for Recorder<C> {
    fn clone(&self) -> Recorder<C> {
        Recorder {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<C: Clock> Recorder<C> {
    /// Creates a recorder with an empty ring for `capacity` events.
    pub fn new(process: VmId, incarnation: Incarnation, clock: C, capacity: usize) -> Recorder<C> {
        let shared = Shared {
            process,
            incarnation,
            clock,
            hlc: Hlc::default(),
            ring: Ring::new(capacity),
        };
        Recorder {
            shared: Arc::new(shared),
        }
    }

    /// Records an event with the current time. Never blocks; an event that can't be
    /// stored at once is counted as missed.
    pub fn record(&self, note: Note) {
        if !self.shared.ring.enabled() {
            return;
        }
        let at = self.stamp();
        self.shared.ring.push(Entry { at, note });
    }

    /// Returns the stamp to send along with a message.
    pub fn stamp(&self) -> Stamp {
        self.shared.hlc.stamp(self.shared.clock.wall())
    }

    /// Advances the clock past the stamp of a received message, so that all events
    /// recorded from now on are later.
    pub fn observe(&self, received: Stamp) {
        self.shared.hlc.merge(received, self.shared.clock.wall());
    }

    /// Copies the events that the filter selects from the ring.
    pub fn read(&self, filter: &Filter) -> Excerpt {
        let selected = self.shared.ring.select(|entry| filter.accepts(entry));
        self.excerpt(selected)
    }

    /// Copies the events after `from`, up to and including `to`, for a reader that
    /// polls the ring for new events.
    pub fn read_span(&self, from: Stamp, to: Stamp) -> Excerpt {
        let selected = self
            .shared
            .ring
            .select(|entry| entry.at > from && entry.at <= to);
        self.excerpt(selected)
    }

    /// Returns the number of events that were not recorded, because every shard of
    /// the ring was busy.
    pub fn missed(&self) -> u64 {
        self.shared.ring.missed()
    }

    fn excerpt(&self, selected: crate::ring::Selection) -> Excerpt {
        let shared = &self.shared;
        Excerpt::new(
            &shared.process,
            shared.incarnation,
            selected,
            shared.ring.missed(),
        )
    }
}
