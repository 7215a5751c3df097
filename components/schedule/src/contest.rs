//! Two VMs that take a minion from each other, because neither hears the other.
//! Each time ends what ran there, so the one that has lost it leaves it alone,
//! longer each time.

use kernel::{Millis, Timestamp};

/// How long a minion is left alone when it was taken once, in which beats tell
/// which of the two owns the shard.
const FIRST_PAUSE: Millis = Millis(300);

/// The longest that it is left alone; a cut that lasts longer costs one more
/// change of hands in that time.
const LONGEST_PAUSE: Millis = Millis(9_600);

/// How long after the latest loss the next one counts as the first again.
const FORGET_SPAN: Millis = Millis(20_000);

/// The losses of a minion.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contest {
    /// Losses in a row.
    losses: u32,
    /// When the latest was.
    last_loss: Option<Timestamp>,
}

impl Contest {
    /// Notes that another VM has taken the minion. A VM that is likely in the
    /// right takes it back soon each time.
    pub fn record_loss(&mut self, rightful: bool, now: Timestamp) {
        let consecutive = self.last_loss.is_some_and(|at| now.since(at) < FORGET_SPAN) && !rightful;
        self.losses = if consecutive { self.losses + 1 } else { 1 };
        self.last_loss = Some(now);
    }

    /// Returns how much longer the minion is to be left alone.
    pub fn pause(&self, now: Timestamp) -> Option<Millis> {
        let last_loss = self.last_loss?;
        let doubled = FIRST_PAUSE.0 << (self.losses - 1).min(16);
        let until = last_loss.after(Millis(doubled).min(LONGEST_PAUSE));
        (until > now).then(|| until.since(now)).filter(|p| p.0 > 0)
    }
}
