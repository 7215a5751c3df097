//! A job as its caller submits it.

use std::fmt;

use bytes::Bytes;
use kernel::{Cores, HashSet, JobKey, Millis, Service, TaskId, Team};
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job (letter 1).
pub const MAX_TASKS: usize = 140;

/// A short task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Id of the task, unique within its job.
    pub id: TaskId,
    /// Payload for the minion, unchanged from the caller.
    pub payload: Bytes,
    /// Run time that the caller expects. It is often far off, so it is used only
    /// until run times have been measured.
    pub declared: Option<Millis>,
    /// Number of cores that the task needs at once.
    pub cores: Cores,
}

/// A set of tasks submitted together. The job completes with the answers to all of
/// them, or fails as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Permanent unique key of the job.
    pub key: JobKey,
    /// Team whose quota the job uses.
    pub team: Team,
    /// Service that runs the tasks.
    pub service: Service,
    /// Whether the caller declares that a second run would do no harm. It is only
    /// shown in the time line; no job is run twice in either case.
    pub idempotent: bool,
    /// Time from submission for which the caller waits.
    pub deadline: Millis,
    /// Tasks, in the order in which their answers are returned.
    pub tasks: Vec<TaskSpec>,
}

/// Reason why a job specification is invalid.
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
    /// Checks the rules that concern the specification as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the job violates.
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
