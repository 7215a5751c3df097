//! How long a service's tasks run and how many wait.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The mean run time moves by one part in so many with each answer.
const WEIGHT: u64 = 64;

/// The mean run time in microseconds before the first answer.
const RUN_PRIOR: u64 = 200_000;

/// The demand for one service.
#[derive(Debug)]
pub(crate) struct Demand {
    /// The decayed mean run time in microseconds.
    run: AtomicU64,
    /// Tasks that wait for a slot.
    waiting: AtomicU32,
}

impl Default for Demand {
    fn default() -> Demand {
        Demand {
            run: AtomicU64::new(RUN_PRIOR),
            waiting: AtomicU32::new(0),
        }
    }
}

impl Demand {
    /// Notes a run time and returns it over the mean of those before.
    pub(crate) fn ran(&self, run: u64) -> f64 {
        let mean = self.run.load(Ordering::Relaxed).max(1);
        // An update lost to another thread is one sample less.
        let next = (mean * (WEIGHT - 1) + run.min(mean * WEIGHT)) / WEIGHT;
        self.run.store(next, Ordering::Relaxed);
        run as f64 / mean as f64
    }

    /// Returns the mean run time in microseconds.
    pub(crate) fn run(&self) -> u64 {
        self.run.load(Ordering::Relaxed)
    }

    /// Sets the number of tasks that wait.
    pub(crate) fn set_waiting(&self, tasks: usize) {
        self.waiting.store(tasks as u32, Ordering::Relaxed);
    }

    /// Returns the number of tasks that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Estimates in microseconds how long one more task waits for one of
    /// `busy` slots.
    pub(crate) fn wait(&self, busy: u32) -> u64 {
        let ahead = u64::from(self.waiting.load(Ordering::Relaxed).max(1));
        self.run() * ahead / u64::from(busy.max(1))
    }
}
