//! The demand for a service: the mean run time of its tasks and how many wait.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Each answer moves the mean run time by one part in this many.
const MEAN_WINDOW: u64 = 64;

/// Mean run time in microseconds assumed before the first answer.
const INITIAL_RUN: u64 = 200_000;

/// The demand for one service.
#[derive(Debug)]
pub(crate) struct Demand {
    /// The decayed mean run time in microseconds.
    mean_run: AtomicU64,
    /// The number of tasks that wait for a slot.
    waiting: AtomicU32,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand {
            mean_run: AtomicU64::new(INITIAL_RUN),
            waiting: AtomicU32::new(0),
        }
    }
}

impl Demand {
    /// Records a run time and returns its ratio to the previous mean.
    pub(crate) fn record_run(&self, run: u64) -> f64 {
        let mean = self.mean_run.load(Ordering::Relaxed).max(1);
        // Threads may overwrite each other, which only loses a sample.
        let next = (mean * (MEAN_WINDOW - 1) + run.min(mean * MEAN_WINDOW)) / MEAN_WINDOW;
        self.mean_run.store(next, Ordering::Relaxed);
        run as f64 / mean as f64
    }

    /// Returns the mean run time in microseconds.
    pub(crate) fn mean_run(&self) -> u64 {
        self.mean_run.load(Ordering::Relaxed)
    }

    /// Sets the number of tasks that wait.
    pub(crate) fn set_waiting(&self, tasks: usize) {
        self.waiting.store(tasks as u32, Ordering::Relaxed);
    }

    /// Returns the number of tasks that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Estimates how long one more task waits for one of `busy` slots, in
    /// microseconds.
    pub(crate) fn estimate_wait(&self, busy: u32) -> u64 {
        let ahead = u64::from(self.waiting.load(Ordering::Relaxed).max(1));
        self.mean_run() * ahead / u64::from(busy.max(1))
    }
}
