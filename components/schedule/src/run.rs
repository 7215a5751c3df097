//! A run of a task on a minion, as its owner knows it.

use kernel::{LeaseTime, Millis, RunNumber, Timestamp};

use crate::ids::{JobId, TaskName};
use crate::resources::Resources;

/// Progress of a run. The run counts against the minion's capacity in every
/// phase, because it may be executing in any of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent and has not been answered.
    Starting,
    /// The minion accepted the start or listed the run.
    Running,
    /// The start timed out. The minion may still carry it out until the lease
    /// time in the order has passed.
    Unconfirmed,
    /// The minion's process has ended since the start was sent. The run may have
    /// ended with it, or the next process may have accepted the start; only a list
    /// of that one under a new token decides.
    Undecided,
}

/// A run that may be on a minion.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub number: RunNumber,
    /// The job and the task's index in it; `None` for a run started by another
    /// owner.
    pub job: Option<(JobId, usize)>,
    /// True if it is proved that the minion's known process has the run, and not a
    /// later one that is still unknown to the owner.
    pub attributed: bool,
    /// Resources that the run uses; `None` (unknown) for a run started by
    /// another owner.
    pub need: Option<Resources>,
    /// Progress of the run.
    pub phase: Phase,
    /// Start time of the minion's process to which the start was sent, as far as the
    /// owner knew then. Answers of another one say nothing about the present process.
    pub born: u64,
    /// Time at which the start was sent.
    pub sent: Timestamp,
    /// Expected run time on a minion of average speed.
    pub baseline: Millis,
    /// Expected run time on a minion of this kind, the same as `baseline` unless
    /// kinds differ in speed.
    pub typical: Millis,
    /// Expected run time on this minion.
    pub expected: Millis,
    /// True if nothing else is started on the minion meanwhile, because the task
    /// may crash it.
    pub alone: bool,
    /// The minion's clock when it last reported that it has the run.
    pub confirmed: Option<LeaseTime>,
    /// Latest time at which the minion may have carried out an order for the run, as
    /// far as is known: when the start was ordered, and then answered or given up, or
    /// when a stop was answered.
    pub last_contact: Timestamp,
    /// The minion's clock after which it no longer carries out the start.
    pub start_limit: LeaseTime,
    /// Time at which the last stop was sent; `None` if the run is not being
    /// stopped.
    pub stop_sent: Option<Timestamp>,
    /// The minion's clock when it acknowledged a stop.
    pub stop_acked: Option<LeaseTime>,
}

impl Run {
    /// Returns whether the run is over and cannot start any more, given that a
    /// listing made at the minion's `clock` does not contain it, as the answer to a
    /// hold sent at `asked`.
    ///
    /// A listing that was asked for before an answer came may be of a process that
    /// had ended by the time of that answer. One that was asked for later shows that
    /// its process was alive then, and so that it gave the answer. See
    /// docs/incidents/list-of-former-process.md.
    pub fn is_over(&self, clock: LeaseTime, asked: Timestamp) -> bool {
        if self.phase != Phase::Undecided && asked <= self.last_contact {
            return false;
        }
        // A start that is still being sent may reach a process that knows of no stop.
        let stopped = self.stop_acked.is_some_and(|at| clock > at);
        if stopped && self.phase != Phase::Starting {
            return true;
        }
        match self.phase {
            Phase::Running => self.confirmed.is_none_or(|at| clock > at),
            Phase::Starting | Phase::Unconfirmed => clock > self.start_limit,
            Phase::Undecided => true,
        }
    }
}
