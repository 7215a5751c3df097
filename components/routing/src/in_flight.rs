//! The tasks of this VM on one minion, counted in one atomic word.

use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Timestamp;

/// Number of low bits that hold the sum of start times; the count is stored in
/// the bits above. The sum is in milliseconds, so that it does not overflow
/// with 4095 tasks during two years of uptime.
const SUM_BITS: u32 = 48;

/// Largest number of tasks of one VM on a minion.
pub(crate) const MAX_IN_FLIGHT: u32 = 4095;

/// The number of tasks in flight and the sum of their start times. Both change
/// atomically, because a task that is counted before its start time is added
/// would look as if it had been in flight since the VM started.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    /// The count in the high bits and the sum in the low bits.
    word: AtomicU64,
}

/// The value of [`InFlight`] at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Snapshot {
    /// The count in the high bits and the sum in the low bits.
    word: u64,
}

impl Snapshot {
    /// Returns the number of tasks.
    pub(crate) fn count(self) -> u32 {
        (self.word >> SUM_BITS) as u32
    }

    /// Returns the mean time in microseconds that the tasks have been in
    /// flight.
    pub(crate) fn mean_age(self, now: Timestamp) -> u64 {
        let count = u64::from(self.count());
        let starts = self.word & ((1 << SUM_BITS) - 1);
        let sum = (now.0 / 1000 * count).saturating_sub(starts);
        sum.checked_div(count).unwrap_or(0) * 1000
    }
}

/// Returns the amount that one task adds to the word.
fn task_word(start: Timestamp) -> u64 {
    (1 << SUM_BITS) + start.0 / 1000
}

impl InFlight {
    /// Reads the count and the sum together.
    pub(crate) fn read(&self) -> Snapshot {
        Snapshot {
            word: self.word.load(Ordering::SeqCst),
        }
    }

    /// Returns the number of tasks.
    pub(crate) fn count(&self) -> u32 {
        self.read().count()
    }

    /// Adds a task and returns true, unless the word has changed since
    /// `expected` was read.
    pub(crate) fn add(&self, expected: Snapshot, start: Timestamp) -> bool {
        let next = expected.word + task_word(start);
        let swap =
            self.word
                .compare_exchange(expected.word, next, Ordering::SeqCst, Ordering::SeqCst);
        swap.is_ok()
    }

    /// Removes a task that started at `start`; returns false when no task is in
    /// flight.
    pub(crate) fn remove(&self, start: Timestamp) -> bool {
        let less = |word: u64| {
            let any = Snapshot { word }.count() > 0;
            any.then(|| word.wrapping_sub(task_word(start)))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
            .is_ok()
    }
}
