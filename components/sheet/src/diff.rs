//! Differences between two sheets.

use std::fmt;

use kernel::Slots;
use serde::{Deserialize, Serialize};

use crate::row::RowKey;
use crate::table::Sheet;

/// Greatest number of rows that a [`Diff`] lists; the others are only counted.
pub const MAX_DIFF_ROWS: usize = 32;

/// A row that differs between two sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: RowKey,
    /// Amount in the first sheet, if it has the row.
    pub before: Option<Slots>,
    /// Amount in the second sheet, if it has the row.
    pub after: Option<Slots>,
}

impl fmt::Display for RowChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let amount = |a: Option<Slots>| a.map_or("none".into(), |s| s.to_string());
        let (before, after) = (amount(self.before), amount(self.after));
        write!(f, "{}: {before} -> {after}", self.key)
    }
}

/// The rows in which two sheets differ, up to [`MAX_DIFF_ROWS`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Diff {
    /// The first [`MAX_DIFF_ROWS`] differing rows that were found.
    pub rows: Vec<RowChange>,
    /// Number of all differing rows.
    pub total: usize,
}

impl Diff {
    /// Returns whether the sheets are equal.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    pub(crate) fn between(a: &Sheet, b: &Sheet) -> Diff {
        let mut diff = Diff::default();
        for (key, amount) in a.row_map() {
            diff.add(key, Some(*amount), b.amount(key));
        }
        for (key, amount) in b.row_map() {
            if a.amount(key).is_none() {
                diff.add(key, None, Some(*amount));
            }
        }
        diff
    }

    pub(crate) fn add(&mut self, key: &RowKey, before: Option<Slots>, after: Option<Slots>) {
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
