//! Rows of the sheet.

use compact_str::{CompactString, ToCompactString, format_compact};
use kernel::{Place, Service, Slots, Team};
use serde::{Deserialize, Serialize};

/// Greatest amount that a row may give, in slots.
pub const MAX_AMOUNT: u32 = 1_000_000;

/// A row's cells as in the CSV: what, name, where, amount.
pub type Cells = [CompactString; 4];

/// The service or team that a row applies to. The name `*` stands for all
/// services or teams without a row of their own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A service, which may use the amount in each failure domain of the row.
    Service(Service),
    /// A team, which may hold the amount at once; this is its quota.
    Team(Team),
}

impl Subject {
    /// Returns the text of the CSV's first column.
    pub fn kind(&self) -> &'static str {
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

/// The key of a row, which is unique in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// Service or team that the row applies to.
    pub subject: Subject,
    /// Failure domain in which the row applies, or all of them.
    pub place: Place,
}

impl std::fmt::Display for RowKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = self.subject.kind();
        write!(f, "{kind},{},{}", self.subject.name(), self.place)
    }
}

/// One row of the sheet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Amount that the row gives, in slots.
    pub amount: Slots,
}

impl Row {
    /// Returns the row's cells as in the CSV.
    pub fn cells(&self) -> Cells {
        let [what, name, place] = self.key.cells();
        [what, name, place, format_compact!("{}", self.amount)]
    }
}

impl RowKey {
    /// Returns the first three cells of the row.
    pub fn cells(&self) -> [CompactString; 3] {
        [
            CompactString::const_new(self.subject.kind()),
            self.subject.name().into(),
            self.place.to_compact_string(),
        ]
    }
}
