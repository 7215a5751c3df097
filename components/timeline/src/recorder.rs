//! The handle through which a VM records what it does.

use std::sync::Arc;

use kernel::{Clock, Incarnation, SystemClock, VmId};

use crate::ring::Entry;
use crate::{Excerpt, Filter, Hlc, Note, Ring, Stamp};

/// Stamps events and puts them into the VM's ring. Clones share both.
#[derive(Debug)]
pub struct Recorder<C = SystemClock> {
    /// What all clones share.
    shared: Arc<Shared<C>>,
}

/// What all clones of a recorder share.
#[derive(Debug)]
struct Shared<C> {
    /// The VM.
    process: VmId,
    /// The life of its process.
    incarnation: Incarnation,
    /// Gives the wall time.
    clock: C,
    /// Gives stamps.
    hlc: Hlc,
    /// Holds the events.
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
    /// Makes a recorder with an empty ring of `capacity` events.
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

    /// Records an event now. It never waits and never fails.
    pub fn record(&self, note: Note) {
        if !self.shared.ring.enabled() {
            return;
        }
        let at = self.stamp();
        self.shared.ring.push(Entry { at, note });
    }

    /// Gives the stamp to send along with a message.
    pub fn stamp(&self) -> Stamp {
        self.shared.hlc.stamp(self.shared.clock.wall())
    }

    /// Takes in the stamp of a received message, so that everything recorded
    /// from now on stands behind it.
    pub fn observe(&self, seen: Stamp) {
        self.shared.hlc.merge(seen, self.shared.clock.wall());
    }

    /// Copies the events that the filter picks out of the ring.
    pub fn read(&self, filter: &Filter) -> Excerpt {
        let found = self.shared.ring.select(|entry| filter.picks(entry));
        self.excerpt(found)
    }

    /// Copies the events behind `from` up to and with `to`, for a reader that
    /// follows the ring.
    pub fn read_span(&self, from: Stamp, to: Stamp) -> Excerpt {
        let found = self
            .shared
            .ring
            .select(|entry| entry.at > from && entry.at <= to);
        self.excerpt(found)
    }

    /// Returns how many events were never recorded.
    pub fn missed(&self) -> u64 {
        self.shared.ring.missed()
    }

    fn excerpt(&self, found: crate::ring::Found) -> Excerpt {
        let shared = &self.shared;
        Excerpt::new(
            &shared.process,
            shared.incarnation,
            found,
            shared.ring.missed(),
        )
    }
}
