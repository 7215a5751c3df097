//! What is wrong with a sheet, by row and column.

use std::fmt;

use compact_str::CompactString;
use kernel::IdError;

use crate::parse::MAX_ROWS;

/// A column of the CSV.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Column {
    /// `what`
    What,
    /// `name`
    Name,
    /// `where`
    Where,
    /// `amount`
    Amount,
    /// The row or the file as a whole.
    Whole,
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Column::What => "what",
            Column::Name => "name",
            Column::Where => "where",
            Column::Amount => "amount",
            Column::Whole => "row",
        })
    }
}

/// What is wrong with a cell, a row or the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellFault {
    /// The first row is not the header.
    Header,
    /// The row ends before this column.
    Missing,
    /// The row has more columns than the header.
    Extra {
        /// How many columns it has.
        columns: usize,
    },
    /// The cell is not UTF-8.
    NotUtf8,
    /// The word is neither `service` nor `team`.
    UnknownWhat,
    /// The cell is no name.
    Name(IdError),
    /// The amount is below zero.
    Negative,
    /// The amount is no whole number.
    NotANumber,
    /// The amount is above the greatest allowed.
    TooLarge {
        /// The greatest amount, in slots.
        max: u32,
    },
    /// An earlier row speaks of the same.
    Duplicate {
        /// The earlier row's line.
        first: u64,
    },
    /// The sheet has more rows than allowed.
    TooManyRows {
        /// The most rows allowed.
        max: usize,
    },
    /// The sheet has more bytes than allowed.
    TooManyBytes {
        /// The most bytes allowed.
        max: usize,
    },
    /// The sheet has no row besides the header.
    Empty,
}

impl fmt::Display for CellFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CellFault::Header => write!(f, "the first line must be what,name,where,amount"),
            CellFault::Missing => write!(f, "is missing"),
            CellFault::Extra { columns } => write!(f, "has {columns} columns, 4 expected"),
            CellFault::NotUtf8 => write!(f, "is not UTF-8"),
            CellFault::UnknownWhat => write!(f, "must be service or team"),
            CellFault::Name(e) => write!(f, "{e}"),
            CellFault::Negative => write!(f, "must not be negative"),
            CellFault::NotANumber => write!(f, "must be a whole number"),
            CellFault::TooLarge { max } => write!(f, "must be at most {max}"),
            CellFault::Duplicate { first } => write!(f, "says the same as line {first}"),
            CellFault::TooManyRows { max } => write!(f, "more than {max} rows"),
            CellFault::TooManyBytes { max } => write!(f, "more than {max} bytes"),
            CellFault::Empty => write!(f, "the sheet has no rows"),
        }
    }
}

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowFault {
    /// The line in the file, from 1; the header is line 1.
    pub line: u64,
    /// The column.
    pub column: Column,
    /// What is wrong.
    pub fault: CellFault,
    /// The cell's text, cut short; empty when there is none to show.
    pub text: CompactString,
}

impl RowFault {
    /// Builds the fault of a sheet that a change would make too long.
    pub(crate) fn too_many_rows() -> RowFault {
        RowFault {
            line: 1,
            column: Column::Whole,
            fault: CellFault::TooManyRows { max: MAX_ROWS },
            text: CompactString::default(),
        }
    }
}

impl fmt::Display for RowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}: {}", self.line, self.column, self.fault)?;
        if self.text.is_empty() {
            return Ok(());
        }
        write!(f, " (\"{}\")", self.text)
    }
}

impl std::error::Error for RowFault {}

/// All the faults of a sheet, as one error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowFaults(pub Vec<RowFault>);

impl fmt::Display for RowFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                write!(f, "; ")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for RowFaults {}
