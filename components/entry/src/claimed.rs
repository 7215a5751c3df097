//! Results of claiming a key and of reading the log of claims.

use std::collections::BTreeMap;

use jobs::Owner;
use kernel::Incarnation;

/// Incarnations that are gone for good, each with its successor, if it named
/// one.
pub type Departed = BTreeMap<Incarnation, Option<Incarnation>>;

/// Result of claiming a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// This VM owns the key.
    Won,
    /// Another VM owns the key.
    Lost(Owner),
    /// The log is away, so that the owner cannot be determined.
    LogAway,
}

/// Owner of a key, as far as this VM has read the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// No VM has claimed the key.
    Unclaimed,
    /// An incarnation owns the key.
    OwnedBy(Owner),
    /// This VM owns the key but is releasing it.
    Releasing,
    /// This VM has no claim of the key, but may not have read all claims.
    Unknown,
}

/// Result of applying a chunk of records from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The chunk was applied, except for records that could not be read.
    Read {
        /// Number of records that could not be read.
        malformed: usize,
        /// Whether the end of the log was reached.
        complete: bool,
    },
    /// Records between the last one applied and the chunk are missing.
    Gap,
}
