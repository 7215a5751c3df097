//! A job as its caller submits it.

use std::fmt;

use bytes::Bytes;
use kernel::{Cores, HashSet, JobKey, Millis, Service, TaskId, Team};
use serde::{Deserialize, Serialize};

/// The most tasks a job may have (letter 1).
pub const MAX_TASKS: usize = 140;

/// One short task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The task's id, unique within its job.
    pub id: TaskId,
    /// What the minion gets, as it came from the caller.
    pub payload: Bytes,
    /// The run time that the caller expects. It is often far off, so it serves
    /// only until run times have been seen.
    pub declared: Option<Millis>,
    /// The cores that the task needs at once.
    pub cores: Cores,
}

/// A set of tasks submitted together, whose answer is whole or plainly failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What names the job for ever.
    pub key: JobKey,
    /// The team whose quota the job uses.
    pub team: Team,
    /// The service that runs the tasks.
    pub service: Service,
    /// Whether the caller says that a second run would do no harm. It is kept
    /// for the time line; no job is run twice either way.
    pub idempotent: bool,
    /// How long the caller waits, from submission.
    pub deadline: Millis,
    /// The tasks, in the order in which their answers are given.
    pub tasks: Vec<TaskSpec>,
}

/// Why a job can't be taken as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobError {
    /// The job has no task, or more than [`MAX_TASKS`].
    Count(usize),
    /// Two tasks have this id.
    Duplicate(TaskId),
    /// The deadline is zero.
    Deadline,
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobError::Count(n) => write!(f, "tasks: {n} given, 1 to {MAX_TASKS} allowed"),
            JobError::Duplicate(id) => write!(f, "tasks: the id {id} is given twice"),
            JobError::Deadline => write!(f, "deadline_ms: must be above 0"),
        }
    }
}

impl std::error::Error for JobError {}

impl JobSpec {
    /// Checks what single fields can't show.
    ///
    /// # Errors
    ///
    /// Tells the first rule that the job breaks.
    pub fn check(&self) -> Result<(), JobError> {
        if self.tasks.is_empty() || self.tasks.len() > MAX_TASKS {
            return Err(JobError::Count(self.tasks.len()));
        }
        if self.deadline == Millis(0) {
            return Err(JobError::Deadline);
        }
        let mut seen = HashSet::default();
        for task in &self.tasks {
            if !seen.insert(&task.id) {
                return Err(JobError::Duplicate(task.id.clone()));
            }
        }
        Ok(())
    }
}
