//! Operators who change the sheet, and the ids of changes.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use kernel::{IdError, Team};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The name of an operator, as given by the operator's tool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Operator(Team);

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Operator {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Operator, IdError> {
        // The rules for team names apply: short, visible characters, no comma.
        s.parse().map(Operator)
    }
}

/// The id of a change, drawn at random by its publisher. If the answer to an
/// append is lost, the publisher finds the change in the log by this id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ChangeId(u128);

impl ChangeId {
    /// Draws a random id.
    pub fn draw(rng: &mut impl Rng) -> ChangeId {
        ChangeId(rng.random())
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<ChangeId, IdError> {
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 32 || !s.bytes().all(is_lower_hex) {
            return Err(IdError::Form);
        }
        let bits = u128::from_str_radix(s, 16).map_err(|_| IdError::Form)?;
        Ok(ChangeId(bits))
    }
}

impl TryFrom<CompactString> for ChangeId {
    type Error = IdError;

    fn try_from(s: CompactString) -> Result<ChangeId, IdError> {
        s.parse()
    }
}

impl From<ChangeId> for CompactString {
    fn from(id: ChangeId) -> CompactString {
        format_compact!("{id}")
    }
}
