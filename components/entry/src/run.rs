//! The state of a job while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use jobs::{JobSpec, Outcome, Ran, Reason};
use kernel::Timestamp;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A running job, shared by the task that runs it and all callers that wait
/// for its outcome.
#[derive(Debug)]
pub struct Run {
    /// Job as submitted.
    pub spec: Arc<JobSpec>,
    /// Monotonic time at which the job arrived.
    pub arrival: Timestamp,
    /// Time at which the job fails if it has not ended.
    pub deadline: Instant,
    /// Outcome, once the job has ended.
    outcome_tx: watch::Sender<Option<Arc<Outcome>>>,
    /// Reason to end the job early, once this was requested.
    abort: watch::Sender<Option<Reason>>,
    /// Number of hand-offs after which the job may have run: tasks sent to a
    /// minion and not known to be unstarted, and passes to another VM.
    handoffs: AtomicUsize,
    /// For each task, whether it may have started.
    sent: Box<[AtomicBool]>,
    /// True once this VM owns the key, so that it alone may start the job.
    owned: AtomicBool,
    /// True once this VM is certain not to start the job.
    refused: AtomicBool,
}

impl Run {
    /// Creates a run without an outcome. With `owned` set this VM owns the key
    /// already and need not claim it.
    pub fn new(spec: Arc<JobSpec>, arrival: Timestamp, owned: bool) -> Run {
        Run {
            arrival,
            deadline: Instant::now() + spec.deadline.duration(),
            sent: spec.tasks.iter().map(|_| AtomicBool::new(false)).collect(),
            spec,
            outcome_tx: watch::Sender::new(None),
            abort: watch::Sender::new(None),
            handoffs: AtomicUsize::new(0),
            owned: AtomicBool::new(owned),
            refused: AtomicBool::new(false),
        }
    }

    /// Returns the time since the job arrived.
    pub fn age(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.spec.deadline.duration().saturating_sub(left)
    }

    /// Sets the outcome and wakes all waiting callers. Only the first outcome
    /// counts; returns whether this is a later one that differs from it.
    pub fn set_outcome(&self, outcome: Arc<Outcome>) -> bool {
        let mut changed = false;
        self.outcome_tx.send_if_modified(|current| {
            changed = current.as_ref().is_some_and(|first| *first != outcome);
            let first = current.is_none();
            if first {
                *current = Some(outcome);
            }
            first
        });
        changed
    }

    /// Waits for the outcome.
    pub async fn outcome(&self) -> Arc<Outcome> {
        let mut outcome = self.outcome_tx.subscribe();
        let known = outcome.wait_for(Option::is_some).await;
        match known.ok().and_then(|o| o.clone()) {
            Some(outcome) => outcome,
            // Unreachable in practice: `self` keeps the sender alive.
            None => Arc::new(Outcome::Unknown(Reason::UnknownJob)),
        }
    }

    /// Requests that the job ends early. The first reason is kept.
    pub fn abort(&self, reason: Reason) {
        self.abort.send_if_modified(|current| {
            let first = current.is_none();
            if first {
                *current = Some(reason);
            }
            first
        });
    }

    /// Waits until the job is requested to end early, and returns the reason.
    pub async fn abort_reason(&self) -> Reason {
        let mut abort = self.abort.subscribe();
        let known = abort.wait_for(Option::is_some).await;
        known
            .ok()
            .and_then(|r| r.clone())
            .unwrap_or(Reason::Cancelled)
    }

    /// Records that the job, or one of its tasks, is about to be handed to
    /// another process, which may run it.
    pub fn add_handoff(&self) {
        self.handoffs.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns whether a task may have started.
    pub fn is_sent(&self, index: usize) -> bool {
        self.sent[index].load(Ordering::SeqCst)
    }

    /// Records that a task is about to be handed to a connection to a minion.
    pub fn mark_sent(&self, index: usize) {
        if !self.sent[index].swap(true, Ordering::SeqCst) {
            self.add_handoff();
        }
    }

    /// Records that a task provably did not start, whether or not it was sent.
    pub fn clear_sent(&self, index: usize) {
        if self.sent[index].swap(false, Ordering::SeqCst) {
            self.handoffs.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns whether any task may have started.
    pub fn ran(&self) -> Ran {
        match self.handoffs.load(Ordering::SeqCst) {
            0 => Ran::No,
            _ => Ran::Maybe,
        }
    }

    /// Returns whether the job was passed to its owner, whose outcome is final.
    pub fn was_passed(&self) -> bool {
        !self.is_owned() && self.ran() == Ran::Maybe
    }

    /// Records that this VM will not start the job.
    pub fn mark_refused(&self) {
        self.refused.store(true, Ordering::SeqCst);
    }

    /// Returns whether this VM has not started the job and never will.
    pub fn is_refused(&self) -> bool {
        self.refused.load(Ordering::SeqCst)
    }

    /// Records that this VM owns the key, so that it alone may start the job.
    pub fn mark_owned(&self) {
        self.owned.store(true, Ordering::SeqCst);
    }

    /// Returns whether this VM owns the key.
    pub fn is_owned(&self) -> bool {
        self.owned.load(Ordering::SeqCst)
    }
}
