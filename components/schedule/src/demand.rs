//! Recent rates of work. Admission uses that of admitted work by priority to estimate
//! the capacity that jobs of higher priority leave to a job, and that of all submitted
//! work to tell a lasting overload from a burst.

use kernel::Timestamp;

/// Time constant of the decay in milliseconds: several times the run time of
/// most tasks, so that a single job does not count as a load.
const SPAN_MS: f64 = 1_000.0;

/// Time constant in milliseconds of the rate of submitted work: longer than the bursts
/// that follow the loss of VMs or minions, which waiting jobs outlast.
const OFFERED_SPAN_MS: f64 = 4_000.0;

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

/// Exponentially decayed amount of submitted work, refused or not, as the time that all
/// cores need for it. Each job counts by the cores that tasks of its size can use: large
/// tasks leave more of the minions unused.
#[derive(Debug, Clone, Default)]
pub(crate) struct Offered {
    /// Decayed time in milliseconds.
    work: f64,
    /// Time up to which it is decayed.
    updated: Timestamp,
}

impl Offered {
    /// Adds the time in milliseconds that all cores need for a submitted job, and
    /// returns the share of the cores that the recent jobs would keep busy.
    pub fn add(&mut self, work: f64, now: Timestamp) -> f64 {
        let passed = now.micros_since(self.updated) as f64 / 1000.0;
        self.work = self.work * (-passed / OFFERED_SPAN_MS).exp() + work;
        self.updated = now;
        self.work / OFFERED_SPAN_MS
    }
}
