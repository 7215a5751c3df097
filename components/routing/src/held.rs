//! The tasks of this VM on one minion, in one word.

use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Timestamp;

/// The bits of the sum of start times; the count stands above them. The sum
/// is in milliseconds, so that 4095 tasks fit for two years of uptime.
const STARTS: u32 = 48;

/// The most tasks of one VM on a minion.
pub(crate) const MAX_HELD: u32 = 4095;

/// How many tasks are in flight, and the sum of the times when they started.
/// Both change together, or a count without its start would look like a task
/// that has been in flight since the VM's start.
#[derive(Debug, Default)]
pub(crate) struct Held {
    /// Count and sum.
    word: AtomicU64,
}

/// A reading of [`Held`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reading {
    /// Count and sum.
    word: u64,
}

impl Reading {
    /// Returns the number of tasks.
    pub(crate) fn count(self) -> u32 {
        (self.word >> STARTS) as u32
    }

    /// Returns in microseconds how long the tasks have been in flight, on
    /// average.
    pub(crate) fn age(self, now: Timestamp) -> u64 {
        let count = u64::from(self.count());
        let starts = self.word & ((1 << STARTS) - 1);
        let sum = (now.0 / 1000 * count).saturating_sub(starts);
        sum.checked_div(count).unwrap_or(0) * 1000
    }
}

/// Returns what one task adds to the word.
fn one(start: Timestamp) -> u64 {
    (1 << STARTS) + start.0 / 1000
}

impl Held {
    /// Reads count and sum.
    pub(crate) fn read(&self) -> Reading {
        Reading {
            word: self.word.load(Ordering::SeqCst),
        }
    }

    /// Returns the number of tasks.
    pub(crate) fn count(&self) -> u32 {
        self.read().count()
    }

    /// Adds a task, unless the word has changed since it was read.
    pub(crate) fn add(&self, seen: Reading, start: Timestamp) -> bool {
        let next = seen.word + one(start);
        let swap = self
            .word
            .compare_exchange(seen.word, next, Ordering::SeqCst, Ordering::SeqCst);
        swap.is_ok()
    }

    /// Removes a task that started then; false when there is none.
    pub(crate) fn remove(&self, start: Timestamp) -> bool {
        let less = |word: u64| {
            let held = Reading { word }.count() > 0;
            held.then(|| word.wrapping_sub(one(start)))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
            .is_ok()
    }
}
