//! Backoff between two VMs that take a minion from each other, because neither
//! receives the other's heartbeats. Each takeover ends the runs on the minion,
//! so the VM that lost it pauses before it takes the minion again, longer each
//! time.

use kernel::{Millis, Timestamp};

/// Pause after the first loss of a minion. During this time heartbeats normally
/// settle which of the two VMs owns the shard.
const FIRST_PAUSE: Millis = Millis(300);

/// Longest pause. While a partition lasts, the minion changes owner about once
/// in this time.
const LONGEST_PAUSE: Millis = Millis(9_600);

/// Time since the latest loss after which the next one counts as the first
/// again.
const FORGET_SPAN: Millis = Millis(20_000);

/// Losses of a minion to another VM.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contest {
    /// Number of consecutive losses.
    losses: u32,
    /// Time of the latest loss.
    last_loss: Option<Timestamp>,
}

impl Contest {
    /// Records that another VM has taken the minion. If this VM is likely the
    /// rightful owner, the loss counts as the first, so that it takes the
    /// minion back soon.
    pub fn record_loss(&mut self, rightful: bool, now: Timestamp) {
        let consecutive = self.last_loss.is_some_and(|at| now.since(at) < FORGET_SPAN) && !rightful;
        self.losses = if consecutive { self.losses + 1 } else { 1 };
        self.last_loss = Some(now);
    }

    /// Returns the time left until this VM may take the minion again, or `None`
    /// if it may do so now.
    pub fn pause(&self, now: Timestamp) -> Option<Millis> {
        let last_loss = self.last_loss?;
        let doubled = FIRST_PAUSE.0 << (self.losses - 1).min(16);
        let until = last_loss.after(Millis(doubled).min(LONGEST_PAUSE));
        (until > now).then(|| until.since(now)).filter(|p| p.0 > 0)
    }
}
