//! What became of a record.

use std::fmt;

use kernel::Offset;

use crate::diff::Diff;
use crate::fault::RowFaults;
use crate::operator::{ChangeId, Operator};
use crate::record::Base;

/// What became of one record of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change is in force; its offset is the sheet's new version.
    InForce,
    /// The change is refused by every reader, for good.
    Refused(Refusal),
    /// A renewal of what this reader knows already.
    Renewed,
    /// The record tells a reader of a trimmed log where it stands: it and the
    /// records that waited are decided now.
    Settled,
    /// The reader does not know yet which sheet was in force before, so that
    /// the record waits.
    Waiting,
    /// The record was read before.
    Repeated,
    /// The text is no record; every reader skips it.
    BadRecord(RecordFault),
    /// Records before this one are missing. The reader waits from here on; the
    /// record itself is not taken yet and has to be given again.
    Gap(Gap),
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It was made against a sheet that is no longer in force.
    Stale(Box<Conflict>),
    /// Its rows are no sheet.
    BadRows(RowFaults),
    /// A peer knows that it was refused, but this VM did not read it.
    Unexplained,
}

/// A change that was beaten by another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// What the change was made against.
    pub base: Base,
    /// The offset of the change in force; `None` when there was no sheet.
    pub version: Option<Offset>,
    /// The id of the change in force.
    pub winner: Option<ChangeId>,
    /// Who made the change in force.
    pub by: Option<Operator>,
    /// The rows that the refused change wanted otherwise: before, as in force;
    /// after, as wanted.
    pub diff: Diff,
}

/// Why a text is no record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordFault {
    /// It is not JSON of a known form.
    Json,
    /// It speaks of an offset that was not written yet when it was.
    Ahead {
        /// That offset.
        offset: Offset,
    },
    /// It gives only the differences from a sheet that it does not name.
    Baseless,
}

/// Records that the log no longer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The offset that the reader needed next.
    pub expected: Offset,
    /// The oldest offset that there is.
    pub found: Offset,
}

/// A change and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Judged {
    /// The change's id.
    pub id: ChangeId,
    /// Its offset.
    pub offset: Offset,
    /// Why it is refused, or `None` when it came into force.
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
            RecordFault::Json => write!(f, "no record of a known form"),
            RecordFault::Ahead { offset } => write!(f, "speaks of offset {offset}, not yet there"),
            RecordFault::Baseless => write!(f, "differences from a sheet that it does not name"),
        }
    }
}

impl std::error::Error for Refusal {}
impl std::error::Error for RecordFault {}
