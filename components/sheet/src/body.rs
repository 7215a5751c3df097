//! What a change asks for: a whole sheet, or what differs from its base.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::diff::Diff;
use crate::fault::{RowFault, RowFaults};
use crate::parse::{MAX_ROWS, Rows};
use crate::row::{Cells, RowKey};
use crate::table::Sheet;

/// The most faults told of a change that is in the log.
const MAX_FAULTS: usize = 32;

/// The sheet that a change asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// All its rows.
    Full(Vec<Cells>),
    /// The rows that differ from the base's.
    Delta {
        /// Rows that are new or have another amount.
        set: Vec<Cells>,
        /// The first three cells of rows that go.
        drop: Vec<[CompactString; 3]>,
    },
}

impl Body {
    /// Writes a sheet as what differs from the one it was made against, or
    /// whole where that is shorter.
    pub fn against(base: Option<&Sheet>, sheet: &Sheet) -> Body {
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

    /// Reads the rows. Their faults show without the base, so that every reader
    /// finds them alike.
    pub(crate) fn read(&self) -> Result<Wanted, RowFaults> {
        match self {
            Body::Full(cells) => {
                let sheet = Sheet::from_rows(cells).map_err(some_of)?;
                Ok(Wanted::Whole(sheet))
            }
            Body::Delta { set, drop } => {
                let set = Sheet::from_rows(set).map_err(some_of)?;
                let drop = read_keys(drop).map_err(some_of)?;
                Ok(Wanted::Parts { set, drop })
            }
        }
    }
}

/// A body whose rows are good.
#[derive(Debug, Clone)]
pub(crate) enum Wanted {
    /// A whole sheet.
    Whole(Sheet),
    /// Differences.
    Parts {
        /// Rows to add or change.
        set: Sheet,
        /// Rows to take out.
        drop: Vec<RowKey>,
    },
}

impl Wanted {
    /// Works out the sheet over its base.
    pub(crate) fn over(self, base: Option<&Sheet>) -> Result<Sheet, RowFaults> {
        let (set, drop) = match self {
            Wanted::Whole(sheet) => return Ok(sheet),
            Wanted::Parts { set, drop } => (set, drop),
        };
        let mut rows = base.map(|b| b.table().clone()).unwrap_or_default();
        for key in &drop {
            rows.remove(key);
        }
        let added = set.table().iter();
        rows.extend(added.map(|(key, amount)| (key.clone(), *amount)));
        if rows.len() > MAX_ROWS {
            return Err(RowFaults(vec![RowFault::too_many_rows()]));
        }
        Ok(Sheet::index(rows))
    }

    /// Lists the rows that it wants otherwise than a sheet has them.
    pub(crate) fn differs(&self, sheet: &Sheet) -> Diff {
        let (set, drop) = match self {
            Wanted::Whole(wanted) => return sheet.diff(wanted),
            Wanted::Parts { set, drop } => (set, drop),
        };
        let mut diff = Diff::default();
        for (key, amount) in set.table() {
            diff.note(key, sheet.amount(key), Some(*amount));
        }
        for key in drop {
            diff.note(key, sheet.amount(key), None);
        }
        diff
    }
}

/// Keeps a bounded number of faults: verdicts are remembered, and whoever
/// publishes has all of them before the append.
fn some_of(mut faults: Vec<RowFault>) -> RowFaults {
    faults.truncate(MAX_FAULTS);
    RowFaults(faults)
}

/// Reads the keys of dropped rows, by way of rows with an amount of 0.
fn read_keys(drop: &[[CompactString; 3]]) -> Result<Vec<RowKey>, Vec<RowFault>> {
    let mut rows = Rows::default();
    for (at, [what, name, place]) in drop.iter().enumerate() {
        let cells = [what.as_bytes(), name.as_bytes(), place.as_bytes(), b"0"];
        rows.add(at as u64 + 2, &cells);
    }
    Ok(rows.finish()?.into_keys().collect())
}
