//! The table of metrics that all threads share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::{Count, Gauge, Timing};

/// The counters since the process's start, the current gauges and the timings
/// not yet taken. Clones share one table.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// The table that all clones share.
    shared: Arc<Shared>,
}

/// The table that all clones share.
#[derive(Debug)]
struct Shared {
    /// One counter for each of [`Count::ALL`].
    counts: Vec<AtomicU64>,
    /// One value for each of [`Gauge::ALL`].
    gauges: Vec<AtomicU64>,
    /// Timings recorded since they were last taken.
    timings: Mutex<Vec<(Timing, Duration)>>,
}

/// Maximum number of timings kept between two sends. Timings are samples: one
/// beyond the maximum is dropped, and so is one recorded while another thread
/// holds the list's lock.
const MAX_TIMINGS: usize = 4096;

impl Metrics {
    /// Creates a table with all values zero.
    pub fn new() -> Metrics {
        let zeros = |count: usize| (0..count).map(|_| AtomicU64::new(0)).collect();
        let shared = Shared {
            counts: zeros(Count::ALL.len()),
            gauges: zeros(Gauge::ALL.len()),
            timings: Mutex::default(),
        };
        Metrics {
            shared: Arc::new(shared),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, count: Count, amount: u64) {
        self.shared.counts[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Records a duration without blocking.
    pub fn time(&self, timing: Timing, span: Duration) {
        if let Ok(mut timings) = self.shared.timings.try_lock()
            && timings.len() < MAX_TIMINGS
        {
            timings.push((timing, span));
        }
    }

    /// Removes and returns the timings recorded since the last call.
    pub fn take_timings(&self) -> Vec<(Timing, Duration)> {
        let timings = self.shared.timings.lock();
        std::mem::take(&mut timings.unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.shared.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn count(&self, count: Count) -> u64 {
        self.shared.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Returns the value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.shared.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of wasted messages of all causes.
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
