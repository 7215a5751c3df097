//! A bound on the refusals that are risked for a shorter wait.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens are counted in thousandths of a refusal.
const REFUSAL: i64 = 1000;

/// Refusals that may be saved up, for a large job at a quiet time.
const SAVED: i64 = 10;

/// Refusals after which the budget stays empty at most, so that a dead minion
/// does not shut it for long.
const DEBT: i64 = 10;

/// Tokens that tasks earn and refusals spend.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Thousandths of a refusal that each task earns.
    part: i64,
    /// The tokens.
    tokens: AtomicI64,
}

impl Budget {
    /// Allows `part` refusals for each thousand tasks.
    pub(crate) fn new(part: u32) -> Budget {
        Budget {
            part: i64::from(part),
            tokens: AtomicI64::new(0),
        }
    }

    /// Counts a task that started.
    pub(crate) fn earn(&self) {
        if self.tokens.load(Ordering::Relaxed) < SAVED * REFUSAL {
            self.tokens.fetch_add(self.part, Ordering::Relaxed);
        }
    }

    /// Counts a refusal.
    pub(crate) fn spend(&self) {
        if self.tokens.load(Ordering::Relaxed) > -DEBT * REFUSAL {
            self.tokens.fetch_sub(REFUSAL, Ordering::Relaxed);
        }
    }

    /// Tells whether a refusal may be risked.
    pub(crate) fn allows(&self) -> bool {
        self.tokens.load(Ordering::Relaxed) > 0
    }
}
