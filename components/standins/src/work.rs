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
    /// The text doesn't have the form `MILLICORES SPAN [FATE]`.
    Form,
    /// The amount of CPU or the run time is invalid.
    Number(UnitError),
}

impl fmt::Display for WorkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkError::Form => {
                write!(
                    f,
                    "expected `MILLICORES SPAN` and `fails`, `hangs` or `crashes`"
                )
            }
            WorkError::Number(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for WorkError {}

/// What becomes of a run unless it is stopped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fate {
    /// It is done after its run time.
    #[default]
    Succeeds,
    /// It fails after its run time.
    Fails,
    /// It never ends by itself.
    Hangs,
    /// The minion's process ends at its start.
    Crashes,
}

impl Fate {
    /// Returns the word in a payload, empty for success.
    fn word(self) -> &'static str {
        match self {
            Fate::Succeeds => "",
            Fate::Fails => "fails",
            Fate::Hangs => "hangs",
            Fate::Crashes => "crashes",
        }
    }
}

/// The resources and run time of a task and how it ends, written as its payload:
/// `14000 60ms` or `14000 60ms fails`. The minion counts its used capacity from
/// the payload, independently of what the dispatcher counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The CPU that the task takes.
    pub cpu: MilliCores,
    /// The run time on a minion of normal speed.
    pub span: Millis,
    /// How the task ends.
    pub fate: Fate,
}

impl Work {
    /// Creates work that succeeds.
    pub fn new(cores: u32, span: Millis) -> Work {
        Work {
            cpu: MilliCores(cores * 1_000),
            span,
            fate: Fate::Succeeds,
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
        write!(f, "{} {}", self.cpu, self.span)?;
        match self.fate {
            Fate::Succeeds => Ok(()),
            fate => write!(f, " {}", fate.word()),
        }
    }
}

impl FromStr for Work {
    type Err = WorkError;

    fn from_str(s: &str) -> Result<Work, WorkError> {
        let mut words = s.split(' ');
        let cpu = words.next().ok_or(WorkError::Form)?;
        let span = words.next().ok_or(WorkError::Form)?;
        let fates = [Fate::Fails, Fate::Hangs, Fate::Crashes];
        let fate = match words.next() {
            None => Fate::Succeeds,
            Some(word) => *fates
                .iter()
                .find(|f| f.word() == word)
                .ok_or(WorkError::Form)?,
        };
        Ok(Work {
            cpu: cpu.parse().map_err(WorkError::Number)?,
            span: span.parse().map_err(WorkError::Number)?,
            fate,
        })
    }
}
