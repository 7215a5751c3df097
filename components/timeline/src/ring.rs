//! A bounded ring of recent events that many threads write without waiting.

use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, TryLockError};

use crate::{Note, Stamp};

/// The parts that a ring is divided into. Threads step through them, each from
/// another start, so that two seldom meet.
const SHARDS: usize = 16;

/// A note with its stamp.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// When it was recorded.
    pub at: Stamp,
    /// What was recorded.
    pub note: Note,
}

/// One part of the ring, on cache lines of its own.
#[derive(Debug, Default)]
#[repr(align(128))]
struct Shard {
    /// What the part holds.
    held: Mutex<Held>,
}

/// The entries of a shard.
#[derive(Debug, Default)]
struct Held {
    /// The entries, roughly in the order of their stamps.
    entries: VecDeque<Entry>,
    /// The latest stamp that was dropped to make room.
    dropped: Option<Stamp>,
}

/// What a read of the ring found.
#[derive(Debug, Default)]
pub(crate) struct Found {
    /// The entries asked for, in no order.
    pub entries: Vec<Entry>,
    /// Everything before this stamp may be missing.
    pub dropped: Option<Stamp>,
}

/// A bounded ring of the latest events of one VM.
#[derive(Debug)]
pub struct Ring {
    /// The parts.
    shards: Vec<Shard>,
    /// The most entries a shard holds.
    room: usize,
    /// How many events found every shard busy and were not recorded.
    missed: AtomicU64,
}

impl Ring {
    /// Makes a ring of about `capacity` events. A ring of none records nothing.
    pub fn new(capacity: usize) -> Ring {
        let room = capacity.div_ceil(SHARDS);
        let shard = || Shard {
            held: Mutex::new(Held {
                entries: VecDeque::with_capacity(room),
                dropped: None,
            }),
        };
        Ring {
            shards: (0..SHARDS).map(|_| shard()).collect(),
            room,
            missed: AtomicU64::new(0),
        }
    }

    /// Returns how many events were not recorded because every shard was busy.
    pub fn missed(&self) -> u64 {
        self.missed.load(Ordering::Relaxed)
    }

    /// Tells whether the ring records anything.
    pub fn enabled(&self) -> bool {
        self.room > 0
    }

    /// Records an event and drops the oldest of its shard when that is full.
    /// It never waits: with every shard busy the event is counted as missed.
    pub(crate) fn push(&self, entry: Entry) {
        let first = next_shard();
        for i in 0..SHARDS {
            let shard = &self.shards[(first + i) % SHARDS];
            let mut held = match shard.held.try_lock() {
                Ok(held) => held,
                Err(TryLockError::Poisoned(e)) => e.into_inner(),
                Err(TryLockError::WouldBlock) => continue,
            };
            let old = held.push(entry, self.room);
            drop(held);
            // Long keys are freed outside the lock.
            drop(old);
            return;
        }
        self.missed.fetch_add(1, Ordering::Relaxed);
    }

    /// Copies the entries that `wanted` picks. Threads that record meanwhile
    /// use the other shards.
    pub(crate) fn select(&self, wanted: impl Fn(&Entry) -> bool) -> Found {
        let mut found = Found::default();
        for shard in &self.shards {
            let held = shard.held.lock().unwrap_or_else(PoisonError::into_inner);
            let picked = held.entries.iter().filter(|e| wanted(e));
            found.entries.extend(picked.cloned());
            found.dropped = found.dropped.max(held.dropped);
        }
        found
    }
}

impl Held {
    fn push(&mut self, entry: Entry, room: usize) -> Option<Entry> {
        let old = match self.entries.len() < room {
            true => None,
            false => self.entries.pop_front(),
        };
        if let Some(old) = &old {
            self.dropped = self.dropped.max(Some(old.at));
        }
        self.entries.push_back(entry);
        old
    }
}

/// Returns the shard that this thread tries next.
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

/// How far apart two threads start; odd, so that all starts are used.
const SHARD_STEP: usize = 5;
