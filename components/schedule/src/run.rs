//! One run of a task on a minion, as its owner knows it.

use kernel::{LeaseTime, Millis, RunNumber, Timestamp};

use crate::ids::{JobId, TaskName};
use crate::resources::Resources;

/// How far a run is. Its room stays taken in every phase, because any of them
/// may be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent and not answered yet.
    Starting,
    /// The minion took the start, or lists the run.
    Running,
    /// The start got no answer. The minion may still carry it out, until the
    /// lease time that came with it.
    Unsure,
}

/// A run that may be on a minion.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub number: RunNumber,
    /// The job and the task's place in it; none for a run of another owner.
    pub of: Option<(JobId, usize)>,
    /// The room that it takes; unknown for a run of another owner.
    pub need: Option<Resources>,
    /// How far it is.
    pub phase: Phase,
    /// When the start was sent.
    pub sent: Timestamp,
    /// The run time expected of a usual minion.
    pub usual: Millis,
    /// The run time expected here.
    pub expected: Millis,
    /// The minion's clock when it last showed that it has the run.
    pub accepted: Option<LeaseTime>,
    /// The minion's clock after which it won't carry the start out.
    pub latest: LeaseTime,
    /// When the last stop was sent; none if it should go on.
    pub stopping: Option<Timestamp>,
    /// The minion's clock when it answered a stop.
    pub stopped: Option<LeaseTime>,
}

impl Run {
    /// Tells whether a list made at the minion's `clock` that doesn't hold the
    /// run proves that it is over and won't come.
    pub fn over_by(&self, clock: LeaseTime) -> bool {
        if self.stopped.is_some_and(|at| clock > at) {
            return true;
        }
        match self.phase {
            Phase::Running => self.accepted.is_none_or(|at| clock > at),
            Phase::Starting | Phase::Unsure => clock > self.latest,
        }
    }
}
