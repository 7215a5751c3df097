//! The records at a reader that does not know yet which sheet was in force
//! before them.

use std::collections::VecDeque;

use kernel::Offset;

use crate::record::{Base, Renewal, SheetRecord};

/// The most records that wait; beyond it, the oldest go.
pub const MAX_WAITING: usize = 2048;

/// The most bytes of records that wait; beyond it, the oldest go.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// A run of the log without a gap, up to the newest record read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// The first offset of the run.
    from: Offset,
    /// The records in it, with the lengths of their texts.
    records: VecDeque<(Offset, SheetRecord, usize)>,
    /// The sum of these lengths.
    bytes: usize,
}

impl Waiting {
    /// Starts a run.
    pub(crate) fn new(from: Offset) -> Waiting {
        Waiting {
            from,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the run's first offset.
    pub(crate) fn from(&self) -> Offset {
        self.from
    }

    /// Returns the records in order.
    pub(crate) fn records(&self) -> impl Iterator<Item = (Offset, &SheetRecord)> {
        self.records.iter().map(|(offset, r, _)| (*offset, r))
    }

    /// Adds the newest record. Where that is too much, the run becomes shorter
    /// at its start.
    pub(crate) fn push(&mut self, offset: Offset, record: SheetRecord, bytes: usize) {
        self.records.push_back((offset, record, bytes));
        self.bytes += bytes;
        while self.records.len() > MAX_WAITING || self.bytes > MAX_WAITING_BYTES {
            let Some((oldest, _, bytes)) = self.records.pop_front() else {
                break;
            };
            self.bytes -= bytes;
            self.from = oldest.next();
        }
    }

    /// Returns the newest record, if it is a renewal that speaks of a point in
    /// the run.
    pub(crate) fn seed(&self) -> Option<Renewal> {
        match &self.records.back()?.1 {
            SheetRecord::Renewal(r) if r.read_to >= self.from => Some(r.clone()),
            _ => None,
        }
    }

    /// Tells whether the record, the next one, is in force whatever was before:
    /// it replaces all that held before a point in the run, and no other change
    /// lies between.
    pub(crate) fn replaced_by(&self, record: &SheetRecord) -> bool {
        let SheetRecord::Change(change) = record else {
            return false;
        };
        let Base::Before(end) = change.base else {
            return false;
        };
        let rival = |(offset, r): (Offset, &SheetRecord)| {
            offset >= end && matches!(r, SheetRecord::Change(c) if c.body.read().is_ok())
        };
        end >= self.from && change.body.read().is_ok() && !self.records().any(rival)
    }
}
