//! A shard that this VM owns, for as long as it does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::{HashMap, HashSet, MinionId, Timestamp};
use ownership::Shard;
use schedule::{JobId, Outcome, ScheduleConfig, Scheduler};
use tokio::sync::oneshot;

/// Who waits for a job.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Gets the outcome; nothing while a job that was handed over has not been
    /// asked for.
    pub tell: Option<oneshot::Sender<Ending>>,
    /// The VM that took the job from its caller; none if this one did.
    pub from: Option<SocketAddr>,
    /// Since when nobody has waited.
    pub since: Timestamp,
    /// Tells this submission from an earlier one of the same job.
    pub serial: u64,
}

/// What a waiter is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The job has ended.
    Ended(Outcome),
    /// The job goes on at another VM.
    Moved(SocketAddr),
}

/// Which of a shard's minions are taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Taking {
    /// All.
    All,
    /// Only one, the first that is driven, because this VM seems cut off: an
    /// owner that lives takes it back, and the others have lost nothing.
    First(Option<MinionId>),
}

/// The state of an owned shard.
#[derive(Debug)]
pub(crate) struct State {
    /// What runs where.
    pub scheduler: Scheduler,
    /// Who waits for which job.
    pub waiters: HashMap<JobId, Waiter>,
    /// Which minions are taken.
    pub taking: Taking,
    /// Minions with a driver.
    pub driven: HashSet<MinionId>,
    /// Outcomes of handed-over jobs that nobody has asked for yet.
    pub kept: HashMap<JobId, (Outcome, Timestamp)>,
    /// Counts submissions.
    pub serial: u64,
    /// False once another VM owns the shard.
    pub live: bool,
}

/// A shard that this VM owns.
#[derive(Debug)]
pub(crate) struct Owned {
    /// Which.
    pub shard: Shard,
    /// Its state. The lock is never held across a wait.
    state: Mutex<State>,
}

impl Owned {
    /// Starts to own a shard.
    pub fn new(shard: Shard, cfg: ScheduleConfig, taking: Taking) -> Arc<Owned> {
        Arc::new(Owned {
            shard,
            state: Mutex::new(State {
                scheduler: Scheduler::new(cfg),
                waiters: HashMap::default(),
                taking,
                driven: HashSet::default(),
                kept: HashMap::default(),
                serial: 0,
                live: true,
            }),
        })
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
