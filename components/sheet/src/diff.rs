//! In which rows two sheets differ.

use std::fmt;

use kernel::Slots;
use serde::{Deserialize, Serialize};

use crate::row::RowKey;
use crate::table::Sheet;

/// The most rows that a difference lists; the rest are counted.
pub const MAX_DIFF_ROWS: usize = 32;

/// A row that is not the same in two sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Which row.
    pub key: RowKey,
    /// The amount in the first sheet, if it has the row.
    pub before: Option<Slots>,
    /// The amount in the second sheet, if it has the row.
    pub after: Option<Slots>,
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let amount = |a: Option<Slots>| a.map_or("none".into(), |s| s.to_string());
        let (before, after) = (amount(self.before), amount(self.after));
        write!(f, "{}: {before} -> {after}", self.key)
    }
}

/// The rows in which two sheets differ, bounded.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Diff {
    /// The first [`MAX_DIFF_ROWS`] of them, in order.
    pub rows: Vec<RowChange>,
    /// How many there are in all.
    pub total: usize,
}

impl Diff {
    /// Tells whether the sheets are alike.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    pub(crate) fn between(a: &Sheet, b: &Sheet) -> Diff {
        let mut diff = Diff::default();
        for (key, amount) in a.table() {
            diff.note(key, Some(*amount), b.amount(key));
        }
        for (key, amount) in b.table() {
            if a.amount(key).is_none() {
                diff.note(key, None, Some(*amount));
            }
        }
        diff
    }

    pub(crate) fn note(&mut self, key: &RowKey, before: Option<Slots>, after: Option<Slots>) {
        if before == after {
            return;
        }
        self.total += 1;
        if self.rows.len() < MAX_DIFF_ROWS {
            let key = key.clone();
            self.rows.push(RowChange { key, before, after });
        }
    }
}
