//! Faults of a sheet, by row and column.

use std::fmt;

use compact_str::CompactString;
use kernel::IdError;

use crate::parse::MAX_ROWS;

/// A column of the CSV.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Column {
    /// The column `what`.
    What,
    /// The column `name`.
    Name,
    /// The column `where`.
    Where,
    /// The column `amount`.
    Amount,
    /// No single column: the whole row or file.
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

/// A fault of a cell, a row or the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellFault {
    /// The first row is not the header.
    Header,
    /// The row ends before this column.
    Missing,
    /// The row has more columns than the header.
    Extra {
        /// Number of columns in the row.
        columns: usize,
    },
    /// The cell is not valid UTF-8.
    NotUtf8,
    /// The cell is neither `service` nor `team`.
    UnknownWhat,
    /// The cell is not a valid name.
    Name(IdError),
    /// The amount is below zero.
    Negative,
    /// The amount is not a whole number.
    NotANumber,
    /// The amount is greater than allowed.
    TooLarge {
        /// Greatest amount allowed, in slots.
        max: u32,
    },
    /// An earlier row has the same key.
    Duplicate {
        /// Line of the earlier row.
        first: u64,
    },
    /// The sheet has more rows than allowed.
    TooManyRows {
        /// Greatest number of rows allowed.
        max: usize,
    },
    /// The sheet has more bytes than allowed.
    TooManyBytes {
        /// Greatest number of bytes allowed.
        max: usize,
    },
    /// The sheet has no rows apart from the header.
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

/// A fault and its position in the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowFault {
    /// Line in the file, from 1; the header is line 1.
    pub line: u64,
    /// Column of the fault.
    pub column: Column,
    /// Kind of the fault.
    pub fault: CellFault,
    /// Start of the cell's text; empty if there is no text to show.
    pub text: CompactString,
}

impl RowFault {
    /// Returns the fault of a sheet to which a change would add too many rows.
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

/// The faults of a sheet as one error.
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
