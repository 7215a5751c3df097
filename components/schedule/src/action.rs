//! Orders and events that a scheduler returns to its owner.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Fence, LeaseTime, Millis, MinionId, RunNumber};

use crate::crash::CrashRecord;
use crate::ids::{JobId, TaskName};
use crate::job::{Outcome, Summary};
use crate::minion::EndKind;

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Id of the minion.
    pub minion: MinionId,
    /// Address at which the minion accepts orders.
    pub addr: SocketAddr,
    /// Fencing token of the owner.
    pub fence: Fence,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Input passed to the task.
    pub payload: Arc<str>,
    /// End of the lease by the minion's clock. The minion must not start the
    /// run after it, and keeps its runs until then.
    pub lease: LeaseTime,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Id of the minion.
    pub minion: MinionId,
    /// Address at which the minion accepts orders.
    pub addr: SocketAddr,
    /// Fencing token of the owner.
    pub fence: Fence,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
}

/// The event with which a minion lost its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// It has not answered for so long that its lease has lapsed.
    Silent,
    /// Its process has restarted.
    Restarted,
}

/// A run that ended with its minion, without a report of its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLoss {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Id of the minion.
    pub minion: MinionId,
    /// Start time of the minion's process, as in [`MinionInfo::born`](crate::MinionInfo::born).
    pub born: u64,
    /// Number of other runs that the minion lost with it.
    pub beside: usize,
    /// The event with which the run was lost.
    pub cause: LossCause,
}

/// An order or event for the owner to carry out or log.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a start and report the answer with [`Scheduler::started`](crate::Scheduler::started).
    Start(StartOrder),
    /// Send a stop and report the answer with [`Scheduler::stopped`](crate::Scheduler::stopped).
    Stop(StopOrder),
    /// Report the job's outcome to its caller.
    Settle(JobId, Outcome, Summary),
    /// A minion was ejected and gets no work for the given time; for logs.
    Ejected(MinionId, Millis),
    /// A run failed or its lease lapsed; for logs.
    Failed(MinionId, TaskName, RunNumber, EndKind),
    /// A run was lost with its minion; for logs.
    Lost(RunLoss),
    /// A loss was recorded, or its state has changed; for all VMs.
    Crash(CrashRecord),
    /// A task is given up because minions crashed under it; for logs.
    GivenUp(TaskName),
    /// A run exceeded its time limit and is being stopped; for logs.
    Hung(MinionId, TaskName, RunNumber),
    /// The measured speeds of the kinds of minions have begun or ceased to differ
    /// enough for placement by predicted end; for logs.
    SpeedsCompared {
        /// Whether tasks are placed by their predicted end from now on.
        uneven: bool,
        /// The slowest kind's mean run time over the fastest kind's.
        contrast: f64,
    },
}
