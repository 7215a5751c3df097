//! Verdicts on records of the stream.

use std::fmt;

use kernel::Offset;

use crate::diff::Diff;
use crate::fault::RowFaults;
use crate::operator::{ChangeId, Operator};
use crate::record::Base;

/// A reader's verdict on one record of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change came into force; its offset is the sheet's new version.
    InForce,
    /// The change is refused. Every reader refuses it, and the verdict is final.
    Refused(Refusal),
    /// The record is a renewal of a sheet that this reader already knows.
    Renewed,
    /// The record gives a reader of a trimmed log the sheet in force. The record
    /// and those that waited are now decided.
    Settled,
    /// The reader does not know yet which sheet was in force before, so that
    /// the record waits.
    Waiting,
    /// The record has been read before.
    Repeated,
    /// The text is not a valid record; every reader skips it.
    BadRecord(RecordFault),
    /// Records before this one are missing. The reader now waits from this offset
    /// on, and the caller has to apply the same record again.
    Gap(Gap),
}

/// The reason why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The change was made against a sheet that is no longer in force.
    Stale(Box<Conflict>),
    /// The rows of the change are not a valid sheet.
    BadRows(RowFaults),
    /// A peer reports that the change was refused, without the reason; this VM
    /// has not read the change itself.
    Unexplained,
}

/// The conflict of a refused change with the change in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Base of the refused change.
    pub base: Base,
    /// Offset of the change in force; `None` when there was no sheet.
    pub version: Option<Offset>,
    /// Id of the change in force.
    pub winner: Option<ChangeId>,
    /// Operator who made the change in force.
    pub by: Option<Operator>,
    /// Rows that the refused change would have changed: before, the amount in
    /// force; after, the amount in the refused change.
    pub diff: Diff,
}

/// The reason why a text is not a valid record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordFault {
    /// The text is not JSON of a known form.
    Json,
    /// The record refers to an offset that its writer could not have read.
    Ahead {
        /// The offset that the record refers to.
        offset: Offset,
    },
    /// The record holds only differences, but its base names no sheet.
    Baseless,
}

/// A range of records that expired before the reader read them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// Offset that the reader needed next.
    pub expected: Offset,
    /// Oldest offset that the log still keeps.
    pub found: Offset,
}

/// A change and the reader's verdict on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeOutcome {
    /// Id of the change.
    pub id: ChangeId,
    /// Offset of the change.
    pub offset: Offset,
    /// Reason of the refusal; `None` when the change came into force.
    pub refusal: Option<Refusal>,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Stale(conflict) => write!(f, "{conflict}"),
            Refusal::BadRows(faults) => write!(f, "bad rows: {faults}"),
            Refusal::Unexplained => write!(f, "refused, as a peer knows"),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Some(version), Some(by)) = (self.version, &self.by) else {
            return write!(f, "stale base: there is no sheet in force");
        };
        write!(f, "stale base: beaten by {by}'s change at offset {version}")?;
        write!(f, ", {} rows differ", self.diff.total)
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Gap { expected, found } = self;
        write!(f, "records {expected} to {found} have expired unread")
    }
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordFault::Json => write!(f, "not a record of a known form"),
            RecordFault::Ahead { offset } => write!(
                f,
                "refers to offset {offset}, which its writer could not have read"
            ),
            RecordFault::Baseless => write!(f, "differences without a base sheet"),
        }
    }
}

impl std::error::Error for Refusal {}
impl std::error::Error for RecordFault {}
