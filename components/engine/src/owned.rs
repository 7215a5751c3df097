//! State of a shard while this VM owns it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use kernel::{HashMap, HashSet, MinionId, Timestamp};
use ownership::{CallId, Shard};
use schedule::{JobId, Outcome, ScheduleConfig, Scheduler};
use tokio::sync::oneshot;

/// The caller or VM that waits for a job.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Receives the ending of the job; `None` while nobody has asked for a job
    /// that was handed over to this VM.
    pub reply_tx: Option<oneshot::Sender<Ending>>,
    /// VM that took the job from its caller; `None` if this VM did.
    pub from: Option<SocketAddr>,
    /// Id of that VM's call; `None` if this VM took the job, or until the other one
    /// asks for a job that was handed over.
    pub call: Option<CallId>,
    /// Time at which the job arrived here.
    pub since: Timestamp,
    /// Distinguishes this submission from earlier ones of the same job.
    pub serial: u64,
}

/// The message that a waiter receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The job has ended with this outcome.
    Ended(Outcome),
    /// The job continues on another VM, the new owner of its shard.
    Moved(SocketAddr),
}

/// Which minions of a shard this VM takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TakePolicy {
    /// Takes all minions.
    All,
    /// Takes only the first minion that is held, because this VM seems
    /// isolated: if the shard has a live owner, that VM takes the minion back,
    /// and the runs of the other minions are not affected.
    First(Option<MinionId>),
}

/// The state of an owned shard.
#[derive(Debug)]
pub(crate) struct State {
    /// Scheduler of the shard's jobs and minions.
    pub scheduler: Scheduler,
    /// Waiter of each job that has not ended.
    pub waiters: HashMap<JobId, Waiter>,
    /// Which minions this VM takes.
    pub take_policy: TakePolicy,
    /// Minions for which a hold loop runs.
    pub hold_loops: HashSet<MinionId>,
    /// Outcomes of handed-over jobs that nobody has asked for yet, with the
    /// time of each outcome.
    pub unclaimed: HashMap<JobId, (Outcome, Timestamp)>,
    /// Number of submissions so far.
    pub serial: u64,
    /// True while minions are still to move between this shard and another one
    /// of this VM.
    pub moving: bool,
    /// False during a handover and once another VM owns the shard.
    pub live: bool,
}

/// A shard that this VM owns.
#[derive(Debug)]
pub(crate) struct Owned {
    /// Identifies the shard. It changes when the shard is divided.
    shard: ArcSwap<Shard>,
    /// True once the other VMs have been told that the shard has room for jobs.
    announced: AtomicBool,
    /// State of the shard. The lock is never held across an await.
    state: Mutex<State>,
}

impl Owned {
    /// Creates the state of a shard that this VM begins to own.
    pub fn new(shard: Shard, cfg: ScheduleConfig, take_policy: TakePolicy) -> Arc<Owned> {
        Arc::new(Owned {
            shard: ArcSwap::from_pointee(shard),
            announced: AtomicBool::new(false),
            state: Mutex::new(State {
                scheduler: Scheduler::new(cfg),
                waiters: HashMap::default(),
                take_policy,
                hold_loops: HashSet::default(),
                unclaimed: HashMap::default(),
                serial: 0,
                moving: false,
                live: true,
            }),
        })
    }

    /// Returns the shard.
    pub fn shard(&self) -> Arc<Shard> {
        self.shard.load_full()
    }

    /// Reduces the shard to one of its halves.
    pub fn set_shard(&self, half: Shard) {
        self.shard.store(Arc::new(half));
    }

    /// Returns true for the first call.
    pub fn announce(&self) -> bool {
        !self.announced.swap(true, Ordering::Relaxed)
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
