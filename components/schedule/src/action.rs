//! What a scheduler wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Fence, LeaseTime, Millis, MinionId, RunNumber};

use crate::ids::{JobId, TaskName};
use crate::job::{Outcome, Summary};
use crate::minion::EndKind;

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The minion.
    pub minion: MinionId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The owner's token.
    pub fence: Fence,
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
    /// What the task is told.
    pub payload: Arc<str>,
    /// The minion's clock after which it must not start the run, and until
    /// which it keeps its runs.
    pub lease: LeaseTime,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// The minion.
    pub minion: MinionId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The owner's token.
    pub fence: Fence,
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
}

/// What the owner has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a start; report its answer with [`Scheduler::started`].
    Start(StartOrder),
    /// Send a stop; report its answer with [`Scheduler::stopped`].
    Stop(StopOrder),
    /// Tell the job's caller how it ended.
    Settle(JobId, Outcome, Summary),
    /// A minion gets no work for the given time.
    Ejected(MinionId, Millis),
    /// A run ended by itself without a result, for logs.
    Failed(MinionId, TaskName, RunNumber, EndKind),
    /// A run lasts too long and is stopped, for logs.
    Hung(MinionId, TaskName, RunNumber),
}
