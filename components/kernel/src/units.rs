//! Newtypes for sizes, rates and times.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a text is no number of its unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitError {
    /// The text is not a whole number in range.
    Number(ParseIntError),
    /// The unit behind the number is not one that fits.
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

/// Defines a counting newtype with `Display`, `FromStr` and plain arithmetic.
macro_rules! count {
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

count! {
    /// A position in the platform's log; the first record has offset 0.
    Offset(u64)
}

count! {
    /// A number of task slots.
    Slots(u32)
}

count! {
    /// A number of processor cores that a task needs.
    Cores(u32)
}

count! {
    /// Thousandths of a processor core.
    MilliCores(u32)
}

count! {
    /// Memory in mebibytes.
    Mebibytes(u32)
}

count! {
    /// Whole accelerators.
    Gpus(u32)
}

count! {
    /// Which start of a task this is, from 1.
    RunNumber(u32)
}

count! {
    /// A fencing token: a minion obeys only the highest that it has seen.
    Fence(u64)
}

count! {
    /// A moment in milliseconds on a minion's own steady clock, which leases
    /// are measured on. Moments of two minions can't be compared.
    LeaseTime(u64)
}

count! {
    /// How often a shard has changed hands, as far as its owner knows.
    Epoch(u64)
}

impl LeaseTime {
    /// Returns the moment `span` later.
    pub fn after(self, span: Millis) -> LeaseTime {
        LeaseTime(self.0.saturating_add(span.0))
    }
}

impl Offset {
    /// Returns the offset behind this one.
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
    /// Converts to the standard library's type.
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

/// A moment on a process's own monotonic clock, in microseconds from its start.
/// Moments of two processes can't be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the moment `span` later.
    pub fn after(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(span.micros()))
    }

    /// Returns how long ago `earlier` was, or zero if it is still to come.
    pub fn since(self, earlier: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / 1000)
    }

    /// Returns the microseconds from `earlier` to here, or zero.
    pub fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
