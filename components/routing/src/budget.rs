//! A budget of refusals that may be risked for a shorter wait.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens that one refusal costs.
const REFUSAL_TOKENS: i64 = 1000;

/// Largest number of refusals that can be saved up, so that a large job at a
/// quiet time may use them.
const MAX_SAVED: i64 = 10;

/// Largest number of refusals that the budget can be overdrawn by, so that a
/// dead minion does not exhaust it for long.
const MAX_DEBT: i64 = 10;

/// A budget whose tokens are earned by started tasks and spent by refusals.
#[derive(Debug)]
pub(crate) struct Budget {
    /// The tokens that each task earns.
    per_task: i64,
    /// The tokens available; negative when overdrawn.
    tokens: AtomicI64,
}

impl Budget {
    /// Creates a budget of `permille` refusals for each thousand tasks.
    pub(crate) fn new(permille: u32) -> Budget {
        Budget {
            per_task: i64::from(permille),
            tokens: AtomicI64::new(0),
        }
    }

    /// Adds the tokens that a started task earns.
    pub(crate) fn earn(&self) {
        if self.tokens.load(Ordering::Relaxed) < MAX_SAVED * REFUSAL_TOKENS {
            self.tokens.fetch_add(self.per_task, Ordering::Relaxed);
        }
    }

    /// Subtracts the tokens of a refusal.
    pub(crate) fn spend(&self) {
        if self.tokens.load(Ordering::Relaxed) > -MAX_DEBT * REFUSAL_TOKENS {
            self.tokens.fetch_sub(REFUSAL_TOKENS, Ordering::Relaxed);
        }
    }

    /// Returns whether a refusal may be risked.
    pub(crate) fn allows(&self) -> bool {
        self.tokens.load(Ordering::Relaxed) > 0
    }
}
