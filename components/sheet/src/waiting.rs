//! Buffers records while the reader doesn't know yet which sheet was in force
//! before them.

use std::collections::VecDeque;

use kernel::Offset;

use crate::record::{Base, Renewal, SheetRecord};

/// Greatest number of records that wait; beyond it, the oldest are dropped.
pub const MAX_WAITING: usize = 2048;

/// Greatest total size in bytes of the records that wait; beyond it, the oldest
/// are dropped.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// A contiguous part of the log that ends with the newest record read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitingRecords {
    /// First offset of the part.
    from: Offset,
    /// Records with their offsets and sizes in bytes.
    records: VecDeque<(Offset, SheetRecord, usize)>,
    /// Total size of the records in bytes.
    bytes: usize,
}

impl WaitingRecords {
    /// Creates an empty buffer that begins at an offset.
    pub(crate) fn new(from: Offset) -> WaitingRecords {
        WaitingRecords {
            from,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the first offset of the part.
    pub(crate) fn from(&self) -> Offset {
        self.from
    }

    /// Returns the records in order.
    pub(crate) fn records(&self) -> impl Iterator<Item = (Offset, &SheetRecord)> {
        self.records.iter().map(|(offset, r, _)| (*offset, r))
    }

    /// Adds the newest record, and drops the oldest ones that no longer fit.
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

    /// Returns the newest record, if it is a renewal whose `read_to` lies in the
    /// buffered part of the log.
    pub(crate) fn usable_renewal(&self) -> Option<Renewal> {
        match &self.records.back()?.1 {
            SheetRecord::Renewal(r) if r.read_to >= self.from => Some(r.clone()),
            _ => None,
        }
    }

    /// Returns whether the next record comes into force regardless of the records
    /// before the buffered part: it replaces any sheet from before an offset in
    /// that part, and no other valid change follows that offset.
    pub(crate) fn is_replaced_by(&self, record: &SheetRecord) -> bool {
        let SheetRecord::Change(change) = record else {
            return false;
        };
        let Base::Before(end) = change.base else {
            return false;
        };
        let is_other_change = |(offset, r): (Offset, &SheetRecord)| {
            offset >= end && matches!(r, SheetRecord::Change(c) if c.body.parse().is_ok())
        };
        end >= self.from && change.body.parse().is_ok() && !self.records().any(is_other_change)
    }
}
