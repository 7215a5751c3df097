//! Counts the submissions that wait for another VM's answer. A planned stop
//! waits for them as well as for the jobs that run here.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Counter of the submissions that wait for another VM's answer.
#[derive(Debug, Default)]
pub struct Passing {
    /// Number of waiting submissions.
    count: AtomicUsize,
    /// True once the submissions must be answered without waiting further.
    abort: watch::Sender<bool>,
}

impl Passing {
    /// Counts a submission until the guard is dropped.
    pub fn enter(&self) -> PassGuard<'_> {
        self.count.fetch_add(1, Ordering::SeqCst);
        PassGuard { passing: self }
    }

    /// Returns the number of waiting submissions.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Ends all waits, so that the submissions are answered at once.
    pub fn abort(&self) {
        self.abort.send_replace(true);
    }

    /// Waits until [`Passing::abort`] is called.
    pub async fn aborted(&self) {
        let mut abort = self.abort.subscribe();
        // The wait cannot fail, as `self` keeps the sender alive.
        let _ = abort.wait_for(|c| *c).await;
    }
}

/// Counts one waiting submission until it is dropped.
#[derive(Debug)]
pub struct PassGuard<'a> {
    /// Counter that the submission is part of.
    passing: &'a Passing,
}

impl Drop for PassGuard<'_> {
    fn drop(&mut self) {
        self.passing.count.fetch_sub(1, Ordering::SeqCst);
    }
}
