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
    Unconfirmed,
}

/// A run that may be on a minion.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub number: RunNumber,
    /// The job and the task's place in it; none for a run of another owner.
    pub job: Option<(JobId, usize)>,
    /// The room that it takes; unknown for a run of another owner.
    pub need: Option<Resources>,
    /// How far it is.
    pub phase: Phase,
    /// When the start was sent.
    pub sent: Timestamp,
    /// The run time expected of a usual minion.
    pub baseline: Millis,
    /// The run time expected here.
    pub expected: Millis,
    /// The minion's clock when it last showed that it has the run.
    pub confirmed: Option<LeaseTime>,
    /// The minion's clock after which it won't carry the start out.
    pub start_limit: LeaseTime,
    /// When the last stop was sent; none if it should go on.
    pub stop_sent: Option<Timestamp>,
    /// The minion's clock when it answered a stop.
    pub stop_acked: Option<LeaseTime>,
}

impl Run {
    /// Tells whether a list made at the minion's `clock` that doesn't hold the
    /// run proves that it is over and won't come.
    pub fn is_over(&self, clock: LeaseTime) -> bool {
        if self.stop_acked.is_some_and(|at| clock > at) {
            return true;
        }
        match self.phase {
            Phase::Running => self.confirmed.is_none_or(|at| clock > at),
            Phase::Starting | Phase::Unconfirmed => clock > self.start_limit,
        }
    }
}
