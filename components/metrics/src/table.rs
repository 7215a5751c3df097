//! The table of counters and gauges that all threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Count, Gauge};

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
}

impl Metrics {
    /// Makes a table of zeros.
    pub fn new() -> Metrics {
        let zeros = |count: usize| (0..count).map(|_| AtomicU64::new(0)).collect();
        let shared = Shared {
            counts: zeros(Count::ALL.len()),
            gauges: zeros(Gauge::ALL.len()),
        };
        Metrics {
            shared: Arc::new(shared),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, count: Count, amount: u64) {
        self.shared.counts[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Raises a counter that is kept elsewhere to its value there.
    pub fn raise(&self, count: Count, value: u64) {
        self.shared.counts[count as usize].fetch_max(value, Ordering::Relaxed);
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
