//! How much work of each priority is taken, for the room that it leaves to what
//! goes behind it.

use kernel::Timestamp;

/// Over which time the rate of work is taken: several times what most tasks
/// last, so that single jobs don't count as a load.
const SPAN_MS: f64 = 1_000.0;

/// The lowest priority that is told apart; queues have few levels.
const LEVELS: usize = 8;

/// The decayed rate of work of each priority.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Core milliseconds within the span.
    work: [f64; LEVELS],
    /// When they were last brought up to date.
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

    /// Counts the work of a job that was taken, in core milliseconds.
    pub fn add(&mut self, priority: u8, work: f64, now: Timestamp) {
        self.decay(now);
        self.work[usize::from(priority).min(LEVELS - 1)] += work;
    }

    /// Returns the cores that jobs of higher priority keep busy.
    pub fn cores_above(&mut self, priority: u8, now: Timestamp) -> f64 {
        self.decay(now);
        let higher = &self.work[..usize::from(priority).min(LEVELS - 1)];
        higher.iter().sum::<f64>() / SPAN_MS
    }
}
