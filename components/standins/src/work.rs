//! The work of a task on a leased minion, as described by its payload.

use std::fmt;
use std::str::FromStr;

use kernel::{Gpus, Mebibytes, MilliCores, Millis, UnitError};
use schedule::Resources;

/// The memory of every task, small enough that CPU is always the scarce resource.
const TASK_MEMORY: Mebibytes = Mebibytes(64);

/// Error from parsing a payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkError {
    /// The text doesn't have the form `MILLICORES SPAN [fails]`.
    Form,
    /// The amount of CPU or the run time is invalid.
    Number(UnitError),
}

impl fmt::Display for WorkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkError::Form => write!(f, "expected `MILLICORES SPAN` or `MILLICORES SPAN fails`"),
            WorkError::Number(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for WorkError {}

/// The resources and run time of a task and how it ends, written as its payload:
/// `14000 60ms` or `14000 60ms fails`. The minion counts its used capacity from
/// the payload, independently of what the dispatcher counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The CPU that the task takes.
    pub cpu: MilliCores,
    /// The run time on a minion of normal speed.
    pub span: Millis,
    /// Whether the task fails at its end.
    pub fails: bool,
}

impl Work {
    /// Creates work that succeeds.
    pub fn new(cores: u32, span: Millis) -> Work {
        Work {
            cpu: MilliCores(cores * 1_000),
            span,
            fails: false,
        }
    }

    /// Returns the resources that the task takes.
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
