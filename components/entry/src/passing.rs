//! Counts the submissions that wait for another VM, which a planned stop has to
//! wait for as well.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// The submissions that wait for another VM.
#[derive(Debug, Default)]
pub struct Passing {
    /// How many there are.
    count: AtomicUsize,
    /// True once they are to be answered without the other VM's word.
    cut: watch::Sender<bool>,
}

impl Passing {
    /// Counts a submission until the guard is dropped.
    pub fn enter(&self) -> PassGuard<'_> {
        self.count.fetch_add(1, Ordering::SeqCst);
        PassGuard { passing: self }
    }

    /// Returns how many submissions wait.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Asks for all of them to be answered.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until submissions are to be answered.
    pub async fn cut_off(&self) {
        let mut cut = self.cut.subscribe();
        // The sender lives in self, so that the wait can't fail.
        let _ = cut.wait_for(|c| *c).await;
    }
}

/// A submission that waits for another VM.
#[derive(Debug)]
pub struct PassGuard<'a> {
    /// Where it is counted.
    passing: &'a Passing,
}

impl Drop for PassGuard<'_> {
    fn drop(&mut self) {
        self.passing.count.fetch_sub(1, Ordering::SeqCst);
    }
}
