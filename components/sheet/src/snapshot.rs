//! What VMs give one another of the sheet's log.

use kernel::Offset;
use serde::{Deserialize, Serialize};

use crate::anchor::Anchor;
use crate::operator::ChangeId;
use crate::record::Held;

/// The most verdicts that a snapshot carries.
pub const MAX_PAST: usize = 64;

/// What a VM gives a peer that lags or starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The offset of the first record that is not in it.
    pub position: Offset,
    /// The sheet in force before that offset.
    pub held: Option<Held>,
    /// From where a new reader needs the log.
    pub anchor: Anchor,
    /// The last changes read, oldest first.
    pub past: Vec<Past>,
}

/// A change that a peer has judged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The change's id.
    pub id: ChangeId,
    /// Its offset.
    pub offset: Offset,
    /// Whether it came into force.
    pub accepted: bool,
}

/// What became of a peer's snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// The reader stands at the snapshot's position or behind it now.
    Settled,
    /// The sheet is newer and in force now, but records between it and what
    /// this reader has are missing, so that it goes on waiting.
    SheetOnly,
    /// The snapshot tells nothing new.
    Behind,
    /// The snapshot contradicts what this reader knows and is not taken.
    Contradicts,
}
