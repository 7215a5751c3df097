//! The records of the sheet's stream, encoded as JSON.

use std::sync::Arc;

use kernel::{Millis, Offset};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::operator::{ChangeId, Operator};
use crate::table::Sheet;
use crate::verdict::RecordFault;

/// The state of the sheet that a change was made against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Base {
    /// No sheet: this is the first change of a new site.
    Empty,
    /// The sheet of the change at this offset.
    At(Offset),
    /// Any sheet from before this offset. It replaces a sheet that no VM knows
    /// any more. A change accepted at or after the offset makes the base stale.
    Before(Offset),
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub by: Operator,
    /// Sheet that the change was made against.
    pub base: Base,
    /// Unix time at which it was written, by the writer's clock; for people to
    /// read.
    pub at: Millis,
    /// Sheet that the change asks for.
    pub body: Body,
}

/// A sheet in force, and the change that put it there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Offset of the change, which is the sheet's version.
    pub version: Offset,
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub by: Operator,
    /// The sheet in force.
    pub sheet: Arc<Sheet>,
}

/// A copy of the sheet in force that a VM appends, so that the sheet outlives
/// the expiry of the change that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Offset of the first record that the writer had not read. The renewal
    /// holds for the log before it, not for later records.
    pub read_to: Offset,
    /// Unix time at which it was written, by the writer's clock. It only
    /// influences when the next renewal is due.
    pub at: Millis,
    /// The sheet in force before `read_to`.
    pub held: Held,
}

/// A record of the sheet's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SheetRecord {
    /// An operator's change.
    Change(Change),
    /// A VM's renewal.
    Renewal(Renewal),
}

impl SheetRecord {
    /// Parses the record at an offset.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a record of a known form, or refers to an
    /// offset that was not in the log when the record was written.
    pub fn from_json(offset: Offset, text: &str) -> Result<SheetRecord, RecordFault> {
        let record: SheetRecord = serde_json::from_str(text).map_err(|_| RecordFault::Json)?;
        match &record {
            SheetRecord::Change(change) => change.validate(offset)?,
            SheetRecord::Renewal(renewal) => renewal.validate(offset)?,
        }
        Ok(record)
    }

    /// Encodes the record as JSON.
    ///
    /// # Errors
    ///
    /// JSON can represent every record, so that this does not fail in practice.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }
}

impl Change {
    fn validate(&self, offset: Offset) -> Result<(), RecordFault> {
        match self.base {
            Base::At(version) if version >= offset => Err(RecordFault::Ahead { offset: version }),
            Base::Before(end) if end > offset => Err(RecordFault::Ahead { offset: end }),
            Base::Before(_) if !matches!(self.body, Body::Full(_)) => Err(RecordFault::Baseless),
            _ => Ok(()),
        }
    }
}

impl Renewal {
    fn validate(&self, offset: Offset) -> Result<(), RecordFault> {
        if self.read_to > offset {
            return Err(RecordFault::Ahead {
                offset: self.read_to,
            });
        }
        if self.held.version >= self.read_to {
            return Err(RecordFault::Ahead {
                offset: self.held.version,
            });
        }
        Ok(())
    }
}
