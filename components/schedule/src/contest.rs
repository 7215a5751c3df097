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
    latest: Option<Timestamp>,
}

impl Contest {
    /// Notes that another VM has taken the minion. A VM that is likely in the
    /// right takes it back soon each time.
    pub fn lost(&mut self, right: bool, now: Timestamp) {
        let row = self.latest.is_some_and(|at| now.since(at) < FORGET_SPAN) && !right;
        self.losses = if row { self.losses + 1 } else { 1 };
        self.latest = Some(now);
    }

    /// Returns how much longer the minion is to be left alone.
    pub fn pause(&self, now: Timestamp) -> Option<Millis> {
        let latest = self.latest?;
        let doubled = FIRST_PAUSE.0 << (self.losses - 1).min(16);
        let until = latest.after(Millis(doubled).min(LONGEST_PAUSE));
        (until > now).then(|| until.since(now)).filter(|p| p.0 > 0)
    }
}
