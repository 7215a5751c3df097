//! How often tasks may be sent again.

use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens are counted in hundredths of a retry.
const RETRY: u64 = 100;

/// Retries that may be saved up, so that a few at a quiet time are allowed.
const SAVED: u64 = 50;

/// A bound on messages sent again after a refusal: a fixed part of the first
/// tries, so that a domain that comes back meets no storm.
#[derive(Debug)]
pub struct RetryBudget {
    /// Hundredths of a retry that each first try earns.
    part: u64,
    /// Hundredths of a retry that may be used.
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Allows `part` retries for each hundred first tries.
    pub fn new(part: u32) -> RetryBudget {
        RetryBudget {
            part: u64::from(part),
            tokens: AtomicU64::new(SAVED * RETRY),
        }
    }

    /// Counts a first try.
    pub fn tried(&self) {
        let earn = |t: u64| Some((t + self.part).min(SAVED * RETRY));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Tells whether a retry may go out at once, and counts it. When not, the
    /// task goes back into the queue.
    pub fn retry(&self) -> bool {
        let spend = |t: u64| t.checked_sub(RETRY);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
