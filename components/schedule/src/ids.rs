//! Identifiers of jobs and names of tasks.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Length of a job id in hexadecimal digits.
const JOB_ID_LEN: usize = 16;

/// Error of parsing a [`JobId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobIdError {
    /// The text is not 16 bytes long.
    Length,
    /// The text contains a byte that is not a hexadecimal digit.
    Digit,
}

impl fmt::Display for JobIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobIdError::Length => write!(f, "a job's id has {JOB_ID_LEN} hexadecimal digits"),
            JobIdError::Digit => write!(f, "a job's id has only hexadecimal digits"),
        }
    }
}

impl std::error::Error for JobIdError {}

/// A job id chosen by the client: 16 hexadecimal digits. The client's upper or
/// lower case is kept, because task names start with the id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(CompactString);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(s: &str) -> Result<JobId, JobIdError> {
        if s.len() != JOB_ID_LEN {
            return Err(JobIdError::Length);
        }
        if !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(JobIdError::Digit);
        }
        Ok(JobId(s.into()))
    }
}

/// The name under which minions know a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskName(CompactString);

impl TaskName {
    /// Returns the name of a task. The `0` in it is the repetition; jobs that
    /// are not repeated have only this one.
    pub fn new(job: &JobId, step: usize, index: u16) -> TaskName {
        TaskName(format_compact!("{job}.0.{step}.{index}"))
    }

    /// Wraps a name reported by a minion, which may belong to another
    /// dispatcher's task.
    pub fn from_minion(text: &str) -> TaskName {
        TaskName(text.into())
    }

    /// Returns the name as sent to minions.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the id of the task's job, or `None` if the name does not start
    /// with a job id.
    pub fn job(&self) -> Option<JobId> {
        self.0.split('.').next()?.parse().ok()
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
