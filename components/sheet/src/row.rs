//! One row of the sheet.

use compact_str::{CompactString, ToCompactString, format_compact};
use kernel::{Place, Service, Slots, Team};
use serde::{Deserialize, Serialize};

/// The greatest amount that a row may give, in slots.
pub const MAX_AMOUNT: u32 = 1_000_000;

/// A row's cells as they stand in the CSV: what, name, where, amount.
pub type Cells = [CompactString; 4];

/// What a row speaks of. The name `*` stands for all that have no row of their
/// own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A service, which may use the amount in each failure domain named.
    Service(Service),
    /// A team, which may hold the amount at once.
    Team(Team),
}

impl Subject {
    /// Returns the word of the CSV's first column.
    pub fn word(&self) -> &'static str {
        match self {
            Subject::Service(_) => "service",
            Subject::Team(_) => "team",
        }
    }

    /// Returns the text of the CSV's second column.
    pub fn name(&self) -> &str {
        match self {
            Subject::Service(service) => service.as_str(),
            Subject::Team(team) => team.as_str(),
        }
    }
}

/// What makes a row the only one of its kind in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// What the row speaks of.
    pub subject: Subject,
    /// Where it holds.
    pub place: Place,
}

impl std::fmt::Display for RowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = self.subject.word();
        write!(f, "{word},{},{}", self.subject.name(), self.place)
    }
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// What it speaks of, and where.
    pub key: RowKey,
    /// How much it gives.
    pub amount: Slots,
}

impl Row {
    /// Writes the row's cells.
    pub fn cells(&self) -> Cells {
        let [what, name, place] = self.key.cells();
        [what, name, place, format_compact!("{}", self.amount)]
    }
}

impl RowKey {
    /// Writes the first three cells.
    pub fn cells(&self) -> [CompactString; 3] {
        [
            CompactString::const_new(self.subject.word()),
            self.subject.name().into(),
            self.place.to_compact_string(),
        ]
    }
}
