//! Recent rate of admitted work by priority. Admission uses it to estimate the
//! capacity that jobs of higher priority leave to a job.

use kernel::Timestamp;

/// Time constant of the decay in milliseconds: several times the run time of
/// most tasks, so that a single job does not count as a load.
const SPAN_MS: f64 = 1_000.0;

/// Number of distinct priority levels; lower priorities share the last one.
/// Queues use only a few levels.
const LEVELS: usize = 8;

/// Exponentially decayed amount of admitted work of each priority.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Decayed work in core milliseconds, by priority.
    work: [f64; LEVELS],
    /// Time up to which the amounts are decayed.
    updated: Timestamp,
}

impl Demand {
    fn decay(&mut self, now: Timestamp) {
        let factor = (-(now.micros_since(self.updated) as f64) / 1000.0 / SPAN_MS).exp();
        for work in &mut self.work {
            *work *= factor;
        }
        self.updated = now;
    }

    /// Adds the work of an admitted job, in core milliseconds.
    pub fn add(&mut self, priority: u8, work: f64, now: Timestamp) {
        self.decay(now);
        self.work[usize::from(priority).min(LEVELS - 1)] += work;
    }

    /// Returns the number of cores that jobs of higher priority keep busy.
    pub fn cores_above(&mut self, priority: u8, now: Timestamp) -> f64 {
        self.decay(now);
        let higher = &self.work[..usize::from(priority).min(LEVELS - 1)];
        higher.iter().sum::<f64>() / SPAN_MS
    }
}
