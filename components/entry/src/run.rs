//! A job in the table while it runs.

use std::sync::Arc;

use jobs::{JobSpec, Outcome};
use tokio::sync::watch;

/// A running job, shared by everyone who waits for it.
#[derive(Debug)]
pub struct Run {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// The outcome, once there is one.
    ended: watch::Sender<Option<Arc<Outcome>>>,
    /// True once somebody has cancelled the job.
    cancelled: watch::Sender<bool>,
}

impl Run {
    /// Makes a job that has not ended.
    pub fn new(spec: Arc<JobSpec>) -> Run {
        Run {
            spec,
            ended: watch::Sender::new(None),
            cancelled: watch::Sender::new(false),
        }
    }

    /// Ends the job. Only the first outcome counts.
    pub fn end(&self, outcome: Arc<Outcome>) {
        self.ended.send_if_modified(|ended| {
            let first = ended.is_none();
            if first {
                *ended = Some(outcome);
            }
            first
        });
    }

    /// Waits for the outcome.
    pub async fn outcome(&self) -> Arc<Outcome> {
        let mut ended = self.ended.subscribe();
        let known = ended.wait_for(Option::is_some).await;
        match known.ok().and_then(|o| o.clone()) {
            Some(outcome) => outcome,
            // The sender lives in self, so that the wait can't fail.
            None => unreachable!("the outcome's sender is alive"),
        }
    }

    /// Asks for the job to be cancelled.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Waits until somebody cancels the job.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.subscribe();
        // The sender lives in self, so that the wait can't fail.
        let _ = cancelled.wait_for(|c| *c).await;
    }
}
