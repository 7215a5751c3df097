//! The budget of retries after refusals.

use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens that one retry costs.
const RETRY_TOKENS: u64 = 100;

/// Largest number of retries that can be saved up, so that a few are possible
/// at a quiet time.
const MAX_SAVED: u64 = 50;

/// A bound on retries after refusals: a fixed part of the first attempts, so
/// that a domain that recovers is not flooded with retries.
#[derive(Debug)]
pub struct RetryBudget {
    /// The tokens that each first attempt earns.
    per_attempt: u64,
    /// The tokens available.
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred first attempts.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            per_attempt: u64::from(percent),
            tokens: AtomicU64::new(MAX_SAVED * RETRY_TOKENS),
        }
    }

    /// Adds the tokens that a first attempt earns.
    pub fn record_attempt(&self) {
        let earn = |t: u64| Some((t + self.per_attempt).min(MAX_SAVED * RETRY_TOKENS));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Subtracts the tokens of a retry and returns true if it may be sent at
    /// once. Otherwise the task should go back into the queue.
    pub fn try_retry(&self) -> bool {
        let spend = |t: u64| t.checked_sub(RETRY_TOKENS);
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
