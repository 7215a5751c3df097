//! Snapshots of the sheet's log that VMs send to one another.

use kernel::Offset;
use serde::{Deserialize, Serialize};

use crate::anchor::Anchor;
use crate::operator::ChangeId;
use crate::record::Held;

/// Greatest number of verdicts in a snapshot.
pub const MAX_PAST_CHANGES: usize = 64;

/// A reader's state, which a VM sends to a peer that lags or starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that the snapshot doesn't include.
    pub position: Offset,
    /// The sheet in force before that offset.
    pub held: Option<Held>,
    /// Point from which a new reader needs the log.
    pub anchor: Anchor,
    /// Verdicts on the last changes read, oldest first.
    pub past: Vec<ChangeSummary>,
}

/// A peer's verdict on a change, without its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Id of the change.
    pub id: ChangeId,
    /// Offset of the change.
    pub offset: Offset,
    /// Whether the change came into force.
    pub accepted: bool,
}

/// The result of adopting a peer's snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// The reader is settled, at the snapshot's position or a later one.
    Settled,
    /// The snapshot's sheet is newer and was taken, but records between the
    /// snapshot and this reader's position are missing, so that the reader goes
    /// on waiting.
    SheetOnly,
    /// The snapshot has nothing new.
    Behind,
    /// The snapshot contradicts this reader's state and was not taken.
    Contradicts,
}
