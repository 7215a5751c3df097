//! What a task does at a leased minion, as its payload says.

use std::fmt;
use std::str::FromStr;

use kernel::{Gpus, Mebibytes, MilliCores, Millis, UnitError};
use schedule::Resources;

/// The memory of every task; the processor is what runs short.
const TASK_MEMORY: Mebibytes = Mebibytes(64);

/// Why a payload can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkError {
    /// It has not the form `CORES SPAN [fails]`.
    Form,
    /// A number in it is none.
    Number(UnitError),
}

impl fmt::Display for WorkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkError::Form => write!(f, "expected thousandths of cores, a span and perhaps fails"),
            WorkError::Number(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for WorkError {}

/// What a task takes and how it ends, written as its payload: `14000 60ms` or
/// `14000 60ms fails`. The minion reads there what it can't be told otherwise,
/// so that it counts room without trusting the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The processor that it takes.
    pub cpu: MilliCores,
    /// How long it runs on an ordinary minion.
    pub span: Millis,
    /// Whether it fails at its end.
    pub fails: bool,
}

impl Work {
    /// Makes work that ends well.
    pub fn new(cores: u32, span: Millis) -> Work {
        Work {
            cpu: MilliCores(cores * 1_000),
            span,
            fails: false,
        }
    }

    /// Returns the room that it takes.
    pub fn need(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: TASK_MEMORY,
            gpus: Gpus(0),
        }
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fails = if self.fails { " fails" } else { "" };
        write!(f, "{} {}{fails}", self.cpu, self.span)
    }
}

impl FromStr for Work {
    type Err = WorkError;

    fn from_str(s: &str) -> Result<Work, WorkError> {
        let mut words = s.split(' ');
        let cpu = words.next().ok_or(WorkError::Form)?;
        let span = words.next().ok_or(WorkError::Form)?;
        let fails = match words.next() {
            None => false,
            Some("fails") => true,
            Some(_) => return Err(WorkError::Form),
        };
        Ok(Work {
            cpu: cpu.parse().map_err(WorkError::Number)?,
            span: span.parse().map_err(WorkError::Number)?,
            fails,
        })
    }
}
