//! Hybrid logical clocks: a stamp of a message's receipt is always behind the
//! stamp of its sending, however far apart the machines' wall clocks are.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Millis;
use serde::{Deserialize, Serialize};

/// The bits of a packed stamp that hold the counter.
const COUNT_BITS: u32 = 16;

/// The furthest that a stamp from another process may be ahead of the own wall
/// clock. A stamp beyond it is ignored, because one VM with a broken clock
/// would drag the stamps of the whole fleet with it.
pub const MAX_DRIFT: Millis = Millis(60_000);

/// A moment on a hybrid logical clock. Order respects cause and effect between
/// processes that pass their stamps along.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Unix time in milliseconds, at least that of every stamp seen before.
    pub wall: Millis,
    /// Tells stamps of one millisecond apart.
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

/// Why a text is no stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StampError {
    /// The text is not two numbers with a dot between them.
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

/// One process's hybrid logical clock. Wall time is passed in. All threads
/// share it without a lock.
#[derive(Debug, Default)]
pub struct Hlc {
    /// The latest stamp given, packed so that a counter that overflows carries
    /// into the milliseconds.
    last: AtomicU64,
}

impl Hlc {
    /// Gives a stamp behind all that this clock has given or seen.
    pub fn stamp(&self, wall: Millis) -> Stamp {
        self.advance(Stamp { wall, count: 0 }.pack())
    }

    /// Takes in the stamp of a message and gives one behind it. A stamp more
    /// than [`MAX_DRIFT`] ahead of `wall` is ignored.
    pub fn merge(&self, seen: Stamp, wall: Millis) -> Stamp {
        let own = Stamp { wall, count: 0 }.pack();
        let sane = seen.wall.0 <= wall.0.saturating_add(MAX_DRIFT.0);
        let floor = if sane { seen.pack() + 1 } else { 0 };
        self.advance(own.max(floor))
    }

    fn advance(&self, floor: u64) -> Stamp {
        let next = |last: u64| floor.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |l| Some(next(l)))
            .unwrap_or_default();
        Stamp::unpack(next(last))
    }
}
