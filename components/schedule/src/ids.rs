//! Names of jobs and tasks.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// The length of a job's id in hexadecimal digits.
const JOB_ID_LEN: usize = 16;

/// Why a text is no id of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkIdError {
    /// It has not 16 bytes.
    Length,
    /// A byte is no hexadecimal digit.
    Digit,
}

impl fmt::Display for WorkIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkIdError::Length => write!(f, "a job's id has {JOB_ID_LEN} hexadecimal digits"),
            WorkIdError::Digit => write!(f, "a job's id has only hexadecimal digits"),
        }
    }
}

impl std::error::Error for WorkIdError {}

/// A job's id as the client chose it: 16 hexadecimal digits, in the client's
/// spelling, because tasks are named after it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(CompactString);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for JobId {
    type Err = WorkIdError;

    fn from_str(s: &str) -> Result<JobId, WorkIdError> {
        if s.len() != JOB_ID_LEN {
            return Err(WorkIdError::Length);
        }
        if !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(WorkIdError::Digit);
        }
        Ok(JobId(s.into()))
    }
}

/// The name under which minions know a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskName(CompactString);

impl TaskName {
    /// Names a task of a job that happens once.
    pub fn new(job: &JobId, step: usize, index: u16) -> TaskName {
        TaskName(format_compact!("{job}.0.{step}.{index}"))
    }

    /// Takes a name as a minion told it, which may be of another dispatcher.
    pub fn from_minion(text: &str) -> TaskName {
        TaskName(text.into())
    }

    /// Returns the name as minions spell it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the job that the task belongs to, if the name has our form.
    pub fn job(&self) -> Option<JobId> {
        self.0.split('.').next()?.parse().ok()
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
