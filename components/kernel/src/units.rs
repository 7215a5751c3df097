//! Newtypes for counts, sizes and times.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The reason why a text is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitError {
    /// The text is not a whole number in range.
    Number(ParseIntError),
    /// The unit is missing or unknown.
    Unit,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnitError::Number(e) => write!(f, "{e}"),
            UnitError::Unit => write!(f, "expected a unit: us, ms, s, m or h"),
        }
    }
}

impl std::error::Error for UnitError {}

/// Defines an integer newtype with `Display`, `FromStr` and transparent serde.
macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(s: &str) -> Result<Self, UnitError> {
                s.parse().map($name).map_err(UnitError::Number)
            }
        }
    };
}

integer_newtype! {
    /// The number of a record among those that a minion's process has written of
    /// itself. A later one replaces an earlier one.
    Sequence(u64)
}

integer_newtype! {
    /// A position in the platform's log; the first record has offset 0.
    Offset(u64)
}

integer_newtype! {
    /// A number of task slots.
    Slots(u32)
}

integer_newtype! {
    /// A number of processor cores that a task needs.
    Cores(u32)
}

integer_newtype! {
    /// Thousandths of a processor core.
    MilliCores(u32)
}

integer_newtype! {
    /// Memory in mebibytes.
    Mebibytes(u32)
}

integer_newtype! {
    /// Whole accelerators.
    Gpus(u32)
}

integer_newtype! {
    /// A rate of a network link in bits per second.
    BitRate(u64)
}

integer_newtype! {
    /// The number of a start of a task, counted from 1.
    RunNumber(u32)
}

integer_newtype! {
    /// A fencing token: a minion obeys only the highest that it has seen.
    Fence(u64)
}

integer_newtype! {
    /// A point in time, in milliseconds, on a minion's own monotonic clock, by
    /// which its leases are measured. Values of two minions can't be compared.
    LeaseTime(u64)
}

integer_newtype! {
    /// The number of times a shard has changed owners, as far as its owner knows.
    Epoch(u64)
}

impl LeaseTime {
    /// Returns the time `span` later.
    pub fn after(self, span: Millis) -> LeaseTime {
        LeaseTime(self.0.saturating_add(span.0))
    }
}

impl Offset {
    /// Returns the next offset.
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// A length of time in milliseconds, written `250ms`, `3s`, `5m` or `1h`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts to microseconds.
    pub fn micros(self) -> u64 {
        self.0.saturating_mul(1000)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(s: &str) -> Result<Self, UnitError> {
        let end = s
            .find(|c: char| !c.is_ascii_digit())
            .ok_or(UnitError::Unit)?;
        let count: u64 = s[..end].parse().map_err(UnitError::Number)?;
        let factor = match &s[end..] {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(UnitError::Unit),
        };
        Ok(Millis(count.saturating_mul(factor)))
    }
}

/// A point in time, in microseconds, on a process's own monotonic clock, which
/// starts at zero. Values of two processes can't be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time `span` later.
    pub fn after(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(span.micros()))
    }

    /// Returns the time `span` earlier, or zero if the clock started later.
    pub fn before(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.micros()))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / 1000)
    }

    /// Returns the microseconds elapsed since `earlier`, or zero if `earlier` is
    /// later.
    pub fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
