//! Hybrid logical clocks: the stamp of a message's receipt is always later than
//! the stamp of its sending, even when the wall clocks of the two machines differ
//! by up to [`MAX_DRIFT`].

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Millis;
use serde::{Deserialize, Serialize};

/// Number of low bits of a packed stamp that hold the counter.
const COUNT_BITS: u32 = 16;

/// Longest time that a stamp from another process may be ahead of the local wall
/// clock. A later stamp is ignored, because otherwise one VM with a wrong clock
/// would advance the clocks of the whole fleet.
pub const MAX_DRIFT: Millis = Millis(60_000);

/// A time on a hybrid logical clock. Stamps are in causal order across processes
/// that send their stamps along with their messages.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Unix time in milliseconds, never less than in any stamp seen before.
    pub wall: Millis,
    /// Counter that distinguishes the stamps of one millisecond.
    pub count: u16,
}

impl Stamp {
    fn pack(self) -> u64 {
        (self.wall.0 << COUNT_BITS) | u64::from(self.count)
    }

    fn unpack(bits: u64) -> Stamp {
        Stamp {
            wall: Millis(bits >> COUNT_BITS),
            count: bits as u16,
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall.0, self.count)
    }
}

/// Why a text is not a valid stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StampError {
    /// The text is not two numbers separated by a dot.
    Form,
}

impl fmt::Display for StampError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StampError::Form => write!(f, "expected <milliseconds>.<count>"),
        }
    }
}

impl std::error::Error for StampError {}

impl FromStr for Stamp {
    type Err = StampError;

    fn from_str(s: &str) -> Result<Stamp, StampError> {
        let (wall, count) = s.split_once('.').ok_or(StampError::Form)?;
        Ok(Stamp {
            wall: Millis(wall.parse().map_err(|_| StampError::Form)?),
            count: count.parse().map_err(|_| StampError::Form)?,
        })
    }
}

/// The hybrid logical clock of a process. Callers pass in the wall time. Threads
/// share the clock without a lock.
#[derive(Debug, Default)]
pub struct Hlc {
    /// The latest stamp, packed so that an overflow of the counter carries into
    /// the milliseconds.
    last: AtomicU64,
}

impl Hlc {
    /// Returns a stamp later than all that this clock has returned or received.
    pub fn stamp(&self, wall: Millis) -> Stamp {
        self.advance(Stamp { wall, count: 0 }.pack())
    }

    /// Advances the clock past the stamp of a received message and returns a later
    /// one. A stamp more than [`MAX_DRIFT`] ahead of `wall` is ignored.
    pub fn merge(&self, received: Stamp, wall: Millis) -> Stamp {
        let local = Stamp { wall, count: 0 }.pack();
        let plausible = received.wall.0 <= wall.0.saturating_add(MAX_DRIFT.0);
        let minimum = if plausible { received.pack() + 1 } else { 0 };
        self.advance(local.max(minimum))
    }

    /// Moves the clock to `minimum` or, if that is not later than the last stamp,
    /// to the next possible stamp.
    fn advance(&self, minimum: u64) -> Stamp {
        let next = |last: u64| minimum.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |l| Some(next(l)))
            .unwrap_or_default();
        Stamp::unpack(next(last))
    }
}
