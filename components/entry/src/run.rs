//! A job in the table while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use jobs::{JobSpec, Outcome, Ran, Reason};
use kernel::Timestamp;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A running job, shared by everyone who waits for it.
#[derive(Debug)]
pub struct Run {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// When the job arrived.
    pub arrival: Timestamp,
    /// When the job must have ended.
    pub until: Instant,
    /// The outcome, once there is one.
    ended: watch::Sender<Option<Arc<Outcome>>>,
    /// Why the job is to be ended early, once somebody wants that.
    cut: watch::Sender<Option<Reason>>,
    /// The tasks that may have started.
    exposed: AtomicUsize,
    /// Which tasks may have started.
    sent: Box<[AtomicBool]>,
    /// True once this VM alone may start the job.
    owned: AtomicBool,
    /// True once it is certain that this VM will not start the job.
    refused: AtomicBool,
}

impl Run {
    /// Makes a job that has not ended. `owned` tells that no claim is needed.
    pub fn new(spec: Arc<JobSpec>, arrival: Timestamp, owned: bool) -> Run {
        Run {
            arrival,
            until: Instant::now() + spec.deadline.duration(),
            sent: spec.tasks.iter().map(|_| AtomicBool::new(false)).collect(),
            spec,
            ended: watch::Sender::new(None),
            cut: watch::Sender::new(None),
            exposed: AtomicUsize::new(0),
            owned: AtomicBool::new(owned),
            refused: AtomicBool::new(false),
        }
    }

    /// Returns the time since the job arrived.
    pub fn age(&self) -> Duration {
        let left = self.until.saturating_duration_since(Instant::now());
        self.spec.deadline.duration().saturating_sub(left)
    }

    /// Ends the job. Only the first outcome counts; it answers whether a later
    /// one differs from it.
    pub fn end(&self, outcome: Arc<Outcome>) -> bool {
        let mut changed = false;
        self.ended.send_if_modified(|ended| {
            changed = ended.as_ref().is_some_and(|first| *first != outcome);
            let first = ended.is_none();
            if first {
                *ended = Some(outcome);
            }
            first
        });
        changed
    }

    /// Waits for the outcome.
    pub async fn outcome(&self) -> Arc<Outcome> {
        let mut ended = self.ended.subscribe();
        let known = ended.wait_for(Option::is_some).await;
        match known.ok().and_then(|o| o.clone()) {
            Some(outcome) => outcome,
            // The sender lives in self, so that the wait can't fail.
            None => Arc::new(Outcome::Unknown(Reason::UnknownJob)),
        }
    }

    /// Asks for the job to end early.
    pub fn cut(&self, reason: Reason) {
        self.cut.send_if_modified(|cut| {
            let first = cut.is_none();
            if first {
                *cut = Some(reason);
            }
            first
        });
    }

    /// Waits until somebody wants the job to end early.
    pub async fn cut_reason(&self) -> Reason {
        let mut cut = self.cut.subscribe();
        let known = cut.wait_for(Option::is_some).await;
        known
            .ok()
            .and_then(|r| r.clone())
            .unwrap_or(Reason::Cancelled)
    }

    /// Notes that the job is about to be passed to its owner, who may run it.
    pub fn expose(&self) {
        self.exposed.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that the task at a position is about to be handed to a transport.
    /// It answers whether that task may have started before.
    pub fn expose_task(&self, at: usize) -> bool {
        self.expose();
        self.sent[at].swap(true, Ordering::SeqCst)
    }

    /// Notes that an exposed task provably did not start.
    pub fn clear_task(&self, at: usize) {
        self.sent[at].store(false, Ordering::SeqCst);
        self.exposed.fetch_sub(1, Ordering::SeqCst);
    }

    /// Tells whether any task may have started.
    pub fn ran(&self) -> Ran {
        match self.exposed.load(Ordering::SeqCst) {
            0 => Ran::No,
            _ => Ran::Maybe,
        }
    }

    /// Tells whether the job was passed to its owner, whose word holds then.
    pub fn passed(&self) -> bool {
        !self.owned() && self.ran() == Ran::Maybe
    }

    /// Notes that this VM will not start the job.
    pub fn refuse(&self) {
        self.refused.store(true, Ordering::SeqCst);
    }

    /// Tells whether this VM has not started the job and never will.
    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::SeqCst)
    }

    /// Notes that this VM alone may start the job.
    pub fn own(&self) {
        self.owned.store(true, Ordering::SeqCst);
    }

    /// Tells whether this VM alone may start the job.
    pub fn owned(&self) -> bool {
        self.owned.load(Ordering::SeqCst)
    }
}
