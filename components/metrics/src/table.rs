//! The table of counters and gauges that all threads share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::{Count, Gauge, Timing};

/// Counters since the process's start and the current levels. Clones share
/// them.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// What all clones share.
    shared: Arc<Shared>,
}

/// What all clones share.
#[derive(Debug)]
struct Shared {
    /// One counter for each of [`Count::ALL`].
    counts: Vec<AtomicU64>,
    /// One level for each of [`Gauge::ALL`].
    gauges: Vec<AtomicU64>,
    /// Times taken since the last sending.
    times: Mutex<Vec<(Timing, Duration)>>,
}

/// The most times kept between two sendings. They are samples: later ones are
/// left out, and so is one whose thread finds the list busy.
const TIMES: usize = 4096;

impl Metrics {
    /// Makes a table of zeros.
    pub fn new() -> Metrics {
        let zeros = |count: usize| (0..count).map(|_| AtomicU64::new(0)).collect();
        let shared = Shared {
            counts: zeros(Count::ALL.len()),
            gauges: zeros(Gauge::ALL.len()),
            times: Mutex::default(),
        };
        Metrics {
            shared: Arc::new(shared),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, count: Count, amount: u64) {
        self.shared.counts[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds a time taken. It never waits.
    pub fn time(&self, timing: Timing, span: Duration) {
        if let Ok(mut times) = self.shared.times.try_lock()
            && times.len() < TIMES
        {
            times.push((timing, span));
        }
    }

    /// Takes out the times since the last call.
    pub fn take_times(&self) -> Vec<(Timing, Duration)> {
        let times = self.shared.times.lock();
        std::mem::take(&mut times.unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets a level.
    pub fn set(&self, gauge: Gauge, level: u64) {
        self.shared.gauges[gauge as usize].store(level, Ordering::Relaxed);
    }

    /// Returns a counter.
    pub fn count(&self, count: Count) -> u64 {
        self.shared.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Returns a level.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.shared.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Returns the wasted messages of all causes.
    pub fn waste(&self) -> u64 {
        let causes = Count::ALL.iter().filter(|c| c.is_waste());
        causes.map(|c| self.count(*c)).sum()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
