//! A bounded ring of recent events that threads write to without blocking.

use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, TryLockError};

use crate::{Note, Stamp};

/// Number of shards of a ring. Each thread goes through the shards in turn, from a
/// different start, so that two threads rarely need the same one.
const SHARDS: usize = 16;

/// A note with its stamp.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// The time of recording.
    pub at: Stamp,
    /// The recorded event.
    pub note: Note,
}

/// A part of the ring. The alignment keeps shards on separate cache lines.
#[derive(Debug, Default)]
#[repr(align(128))]
struct Shard {
    /// The entries of the shard.
    buffer: Mutex<Buffer>,
}

/// The bounded buffer of a shard.
#[derive(Debug, Default)]
struct Buffer {
    /// The entries, roughly in the order of their stamps.
    entries: VecDeque<Entry>,
    /// The stamp of the latest entry that was dropped to free space.
    dropped: Option<Stamp>,
}

/// The entries that a read selected from the ring.
#[derive(Debug, Default)]
pub(crate) struct Selection {
    /// The selected entries, unordered.
    pub entries: Vec<Entry>,
    /// Entries at or before this stamp may have been dropped; `None` if none were.
    pub dropped: Option<Stamp>,
}

/// A bounded ring of the latest events of one VM.
#[derive(Debug)]
pub struct Ring {
    /// The shards.
    shards: Vec<Shard>,
    /// Maximum number of entries of a shard.
    shard_capacity: usize,
    /// Number of events that were not recorded because every shard was busy.
    missed: AtomicU64,
}

impl Ring {
    /// Creates a ring for about `capacity` events. With capacity 0 it records
    /// nothing.
    pub fn new(capacity: usize) -> Ring {
        let shard_capacity = capacity.div_ceil(SHARDS);
        let shard = || Shard {
            buffer: Mutex::new(Buffer {
                entries: VecDeque::with_capacity(shard_capacity),
                dropped: None,
            }),
        };
        Ring {
            shards: (0..SHARDS).map(|_| shard()).collect(),
            shard_capacity,
            missed: AtomicU64::new(0),
        }
    }

    /// Returns the number of events that were not recorded because every shard was
    /// busy.
    pub fn missed(&self) -> u64 {
        self.missed.load(Ordering::Relaxed)
    }

    /// Returns whether the ring records events, which it does unless its capacity
    /// is 0.
    pub fn enabled(&self) -> bool {
        self.shard_capacity > 0
    }

    /// Records an event and drops the oldest one of its shard when that is full.
    /// Never blocks: if every shard is busy, the event is counted as missed.
    pub(crate) fn push(&self, entry: Entry) {
        let first = next_shard();
        for i in 0..SHARDS {
            let shard = &self.shards[(first + i) % SHARDS];
            let mut buffer = match shard.buffer.try_lock() {
                Ok(buffer) => buffer,
                Err(TryLockError::Poisoned(e)) => e.into_inner(),
                Err(TryLockError::WouldBlock) => continue,
            };
            let oldest = buffer.push(entry, self.shard_capacity);
            drop(buffer);
            // The dropped entry may own heap memory (long keys), which is freed after
            // the lock is released.
            drop(oldest);
            return;
        }
        self.missed.fetch_add(1, Ordering::Relaxed);
    }

    /// Copies the entries that `wanted` selects. One shard is locked at a time;
    /// meanwhile other threads record into the other shards.
    pub(crate) fn select(&self, wanted: impl Fn(&Entry) -> bool) -> Selection {
        let mut selected = Selection::default();
        for shard in &self.shards {
            let buffer = shard.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            let matching = buffer.entries.iter().filter(|e| wanted(e));
            selected.entries.extend(matching.cloned());
            selected.dropped = selected.dropped.max(buffer.dropped);
        }
        selected
    }
}

impl Buffer {
    /// Adds an entry and returns the one that it displaced, if any.
    fn push(&mut self, entry: Entry, capacity: usize) -> Option<Entry> {
        let oldest = match self.entries.len() < capacity {
            true => None,
            false => self.entries.pop_front(),
        };
        if let Some(oldest) = &oldest {
            self.dropped = self.dropped.max(Some(oldest.at));
        }
        self.entries.push_back(entry);
        oldest
    }
}

/// Returns the index of the shard that this thread tries first for its next event.
fn next_shard() -> usize {
    static THREADS: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static NEXT: Cell<usize> = Cell::new(THREADS.fetch_add(SHARD_STEP, Ordering::Relaxed));
    }
    NEXT.with(|next| {
        let shard = next.get();
        next.set(shard.wrapping_add(1));
        shard % SHARDS
    })
}

/// Distance between the first shards of successive threads; odd, so that every
/// shard is the first one of some thread.
const SHARD_STEP: usize = 5;
