//! The records of the sheet's stream, JSON.

use std::sync::Arc;

use kernel::{Millis, Offset};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::operator::{ChangeId, Operator};
use crate::table::Sheet;
use crate::verdict::RecordFault;

/// What a change was made against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Base {
    /// No sheet at all: the first change of a new site.
    Empty,
    /// The change at this offset.
    At(Offset),
    /// Whatever held before this offset. It replaces a sheet that no VM knows
    /// any more; a change accepted at or behind the offset still beats it.
    Before(Offset),
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its id.
    pub id: ChangeId,
    /// Who made it.
    pub by: Operator,
    /// What it was made against.
    pub base: Base,
    /// When it was written, Unix time of the writer, for people to read.
    pub at: Millis,
    /// What it asks for.
    pub body: Body,
}

/// A sheet in force, and the change that put it there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The offset of that change.
    pub version: Offset,
    /// Its id.
    pub id: ChangeId,
    /// Who made it.
    pub by: Operator,
    /// The sheet.
    pub sheet: Arc<Sheet>,
}

/// A VM's statement of the sheet in force, so that it outlives the expiry of
/// the change that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The offset of the first record that its writer had not read. The
    /// statement speaks of the log before it and of nothing later.
    pub read_to: Offset,
    /// When it was written, Unix time of the writer. Only the time of the next
    /// renewal rests on it.
    pub at: Millis,
    /// The sheet that was in force there.
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
    /// Reads the record at an offset.
    ///
    /// # Errors
    ///
    /// Fails when the text is no record of a known form, or speaks of what was
    /// not in the log when it was written.
    pub fn from_json(offset: Offset, text: &str) -> Result<SheetRecord, RecordFault> {
        let record: SheetRecord = serde_json::from_str(text).map_err(|_| RecordFault::Json)?;
        match &record {
            SheetRecord::Change(change) => change.check(offset)?,
            SheetRecord::Renewal(renewal) => renewal.check(offset)?,
        }
        Ok(record)
    }

    /// Writes the record's JSON.
    ///
    /// # Errors
    ///
    /// No record has a form that JSON lacks, so that this does not fail.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }
}

impl Change {
    fn check(&self, offset: Offset) -> Result<(), RecordFault> {
        match self.base {
            Base::At(version) if version >= offset => Err(RecordFault::Ahead { offset: version }),
            Base::Before(end) if end > offset => Err(RecordFault::Ahead { offset: end }),
            Base::Before(_) if !matches!(self.body, Body::Full(_)) => Err(RecordFault::Baseless),
            _ => Ok(()),
        }
    }
}

impl Renewal {
    fn check(&self, offset: Offset) -> Result<(), RecordFault> {
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
