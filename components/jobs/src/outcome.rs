//! Outcomes of jobs. See `docs/DESIGN.md#outcomes`.

use std::fmt;

use bytes::Bytes;
use kernel::TaskId;
use serde::{Deserialize, Serialize};

/// Whether any task of a failed job may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// No byte of any task was handed to a transport.
    No,
    /// Some task may have started.
    Maybe,
}

/// Answer to one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Id of the task.
    pub id: TaskId,
    /// Body of the minion's answer.
    pub body: Bytes,
}

/// Reason why a job failed, or why its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// A minion answered that this task failed.
    TaskFailed(TaskId),
    /// The connection broke after the task was sent, so that it may have run.
    ConnectionLost(TaskId),
    /// The deadline passed.
    Deadline,
    /// A caller cancelled the job.
    Cancelled,
    /// The queue is full or the deadline could not be met.
    Overloaded,
    /// The team holds as many slots as its quota allows and its queue is full.
    Quota,
    /// No live minion offers the service.
    NoMinion,
    /// The sheet gives the service no slots here.
    UnknownService,
    /// No worker is large enough for this task.
    TooLarge(TaskId),
    /// The platform's log is unavailable, so a key chosen by the caller can't be
    /// claimed.
    LogAway,
    /// The VM is stopping and takes no new jobs.
    Stopping,
    /// The VM has no sheet yet.
    NotReady,
    /// The VM that owned the job is gone for good.
    OwnerGone,
    /// The VM that owns the job can't be reached now.
    OwnerAway,
    /// The job ended so long ago that its answer has been dropped.
    Forgotten,
    /// No VM of this fleet has minted the ticket.
    NeverMinted,
    /// No job of this key is known here.
    UnknownJob,
}

impl Reason {
    /// Returns the stable name of the reason in answers, metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Reason::TaskFailed(_) => "task_failed",
            Reason::ConnectionLost(_) => "connection_lost",
            Reason::Deadline => "deadline",
            Reason::Cancelled => "cancelled",
            Reason::Overloaded => "overloaded",
            Reason::Quota => "quota",
            Reason::NoMinion => "no_minion",
            Reason::UnknownService => "unknown_service",
            Reason::TooLarge(_) => "too_large",
            Reason::LogAway => "log_away",
            Reason::Stopping => "stopping",
            Reason::NotReady => "not_ready",
            Reason::OwnerGone => "owner_gone",
            Reason::OwnerAway => "owner_away",
            Reason::Forgotten => "forgotten",
            Reason::NeverMinted => "never_minted",
            Reason::UnknownJob => "unknown_job",
        }
    }

    /// Returns whether the refusal is temporary: the same key may be submitted again
    /// later with another result. Such a refusal happens before the job is
    /// accepted, and is not kept as the job's answer.
    pub fn is_temporary(&self) -> bool {
        matches!(
            self,
            Reason::Overloaded
                | Reason::Quota
                | Reason::NoMinion
                | Reason::LogAway
                | Reason::Stopping
                | Reason::NotReady
                | Reason::OwnerAway
        )
    }

    /// Returns the task that the reason refers to, if any.
    pub fn task(&self) -> Option<&TaskId> {
        match self {
            Reason::TaskFailed(id) | Reason::ConnectionLost(id) | Reason::TooLarge(id) => Some(id),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.task() {
            Some(id) => write!(f, "{} {id}", self.as_str()),
            None => f.write_str(self.as_str()),
        }
    }
}

/// Outcome of a job, as reported to its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task answered; the answers are in the order of the tasks.
    Complete(Vec<TaskAnswer>),
    /// The job failed as a whole.
    Failed {
        /// Whether any task may have run.
        ran: Ran,
        /// Reason of the failure.
        reason: Reason,
    },
    /// The VM does not know the outcome. The job may be running elsewhere.
    Unknown(Reason),
}

impl Outcome {
    /// Creates the outcome of a failed job of which no task was sent.
    pub fn not_run(reason: Reason) -> Outcome {
        Outcome::Failed {
            ran: Ran::No,
            reason,
        }
    }

    /// Creates the outcome of a failed job of which some task may have run.
    pub fn may_have_run(reason: Reason) -> Outcome {
        Outcome::Failed {
            ran: Ran::Maybe,
            reason,
        }
    }

    /// Returns the memory used by the answers in bytes, for memory bounds.
    pub fn weight(&self) -> usize {
        match self {
            Outcome::Complete(answers) => answers
                .iter()
                .map(|a| a.body.len() + size_of::<TaskAnswer>())
                .sum(),
            _ => 0,
        }
    }
}
