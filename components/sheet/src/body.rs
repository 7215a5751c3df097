//! The body of a change: a whole sheet, or its differences from a base.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::diff::Diff;
use crate::fault::{RowFault, RowFaults};
use crate::parse::{MAX_ROWS, Rows};
use crate::row::{Cells, RowKey};
use crate::table::Sheet;

/// Greatest number of faults kept for a change that is in the log.
const MAX_FAULTS: usize = 32;

/// The sheet that a change asks for, in full or as differences.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// All rows of the sheet.
    Full(Vec<Cells>),
    /// The rows that differ from the base.
    Delta {
        /// Rows to add, or to give another amount.
        set: Vec<Cells>,
        /// The first three cells of each row to remove.
        drop: Vec<[CompactString; 3]>,
    },
}

impl Body {
    /// Encodes a sheet as its differences from `base`, or in full if there is no
    /// base or the differences have at least as many rows as the sheet.
    pub fn encode(base: Option<&Sheet>, sheet: &Sheet) -> Body {
        let Some(base) = base else {
            return Body::Full(sheet.cells());
        };
        let set: Vec<Cells> = sheet
            .rows()
            .filter(|row| base.amount(&row.key) != Some(row.amount))
            .map(|row| row.cells())
            .collect();
        let drop: Vec<_> = base
            .rows()
            .filter(|row| sheet.amount(&row.key).is_none())
            .map(|row| row.key.cells())
            .collect();
        if set.len() + drop.len() >= sheet.len() {
            return Body::Full(sheet.cells());
        }
        Body::Delta { set, drop }
    }

    /// Parses and checks the rows. This doesn't need the base, so that every
    /// reader finds the same faults.
    pub(crate) fn parse(&self) -> Result<ParsedBody, RowFaults> {
        match self {
            Body::Full(cells) => {
                let sheet = Sheet::from_rows(cells).map_err(limit_faults)?;
                Ok(ParsedBody::Full(sheet))
            }
            Body::Delta { set, drop } => {
                let set = Sheet::from_rows(set).map_err(limit_faults)?;
                let drop = parse_keys(drop).map_err(limit_faults)?;
                Ok(ParsedBody::Delta { set, drop })
            }
        }
    }
}

/// A body whose rows are valid.
#[derive(Debug, Clone)]
pub(crate) enum ParsedBody {
    /// A whole sheet.
    Full(Sheet),
    /// The differences from a base.
    Delta {
        /// Rows to add, or to give another amount.
        set: Sheet,
        /// Keys of the rows to remove.
        drop: Vec<RowKey>,
    },
}

impl ParsedBody {
    /// Applies the body to its base and returns the resulting sheet.
    pub(crate) fn apply_to(self, base: Option<&Sheet>) -> Result<Sheet, RowFaults> {
        let (set, drop) = match self {
            ParsedBody::Full(sheet) => return Ok(sheet),
            ParsedBody::Delta { set, drop } => (set, drop),
        };
        let mut rows = base.map(|b| b.row_map().clone()).unwrap_or_default();
        for key in &drop {
            rows.remove(key);
        }
        let added = set.row_map().iter();
        rows.extend(added.map(|(key, amount)| (key.clone(), *amount)));
        if rows.len() > MAX_ROWS {
            return Err(RowFaults(vec![RowFault::too_many_rows()]));
        }
        Ok(Sheet::from_map(rows))
    }

    /// Lists the rows of `sheet` that the body would change: before, the amount
    /// in `sheet`; after, the amount in the body.
    pub(crate) fn diff_from(&self, sheet: &Sheet) -> Diff {
        let (set, drop) = match self {
            ParsedBody::Full(wanted) => return sheet.diff(wanted),
            ParsedBody::Delta { set, drop } => (set, drop),
        };
        let mut diff = Diff::default();
        for (key, amount) in set.row_map() {
            diff.add(key, sheet.amount(key), Some(*amount));
        }
        for key in drop {
            diff.add(key, sheet.amount(key), None);
        }
        diff
    }
}

/// Keeps the first [`MAX_FAULTS`] faults, as verdicts are held in memory. The
/// publisher's own check lists all of them before the append.
fn limit_faults(mut faults: Vec<RowFault>) -> RowFaults {
    faults.truncate(MAX_FAULTS);
    RowFaults(faults)
}

/// Parses the keys of rows to remove, as rows with an amount of 0.
fn parse_keys(drop: &[[CompactString; 3]]) -> Result<Vec<RowKey>, Vec<RowFault>> {
    let mut rows = Rows::default();
    for (index, [what, name, place]) in drop.iter().enumerate() {
        let cells = [what.as_bytes(), name.as_bytes(), place.as_bytes(), b"0"];
        rows.add(index as u64 + 2, &cells);
    }
    Ok(rows.finish()?.into_keys().collect())
}
