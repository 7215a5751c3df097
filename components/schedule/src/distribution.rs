//! Distributions of actual over estimated run time (docs/design/run-times.md).

/// Number of buckets of a distribution.
pub(crate) const BUCKETS: usize = 16;

/// Lower edge of the second bucket; smaller ratios are in the first one.
pub(crate) const FIRST_EDGE: f64 = 0.2;

/// Width of a bucket, as the natural logarithm of the ratio of its edges (1.35).
/// The buckets reach up to 13, above the ratio of stragglers on slow minions.
pub(crate) const WIDTH: f64 = 0.3;

/// Time constant of the decay of counts in milliseconds, some ten times the run
/// time of long tasks.
pub(crate) const SPAN_MS: f64 = 10_000.0;

/// Number of runs at which a distribution stops decaying, so that the speed of a
/// kind that gets no work is not forgotten.
pub(crate) const LASTING_RUNS: f64 = 100.0;

/// Limits of a run's actual over estimated run time; beyond them the estimate is
/// wrong rather than the minion slow.
pub(crate) const MIN_RATIO: f64 = 0.05;
pub(crate) const MAX_RATIO: f64 = 50.0;

/// Distribution of actual over estimated run time: decayed counts of runs in
/// logarithmic buckets.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Distribution {
    /// Decayed number of runs in each bucket.
    pub counts: [f64; BUCKETS],
    /// Sum of the logarithms of the ratios, for the mean.
    pub log_sum: f64,
}

impl Distribution {
    /// Returns the decayed number of runs.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Returns the mean logarithm of the ratio. It is less affected by
    /// stragglers than the mean ratio.
    pub fn mean_log(&self) -> f64 {
        self.log_sum / self.total().max(f64::MIN_POSITIVE)
    }

    /// Adds a run that took `ratio` times its estimate.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        self.counts[bucket(log)] += 1.0;
        self.log_sum += log;
    }

    /// Multiplies the number of runs by `factor`.
    pub fn scale(&mut self, factor: f64) {
        for count in &mut self.counts {
            *count *= factor;
        }
        self.log_sum *= factor;
    }

    /// Adds the runs of another distribution.
    pub fn merge(&mut self, other: &Distribution) {
        for (count, added) in self.counts.iter_mut().zip(other.counts) {
            *count += added;
        }
        self.log_sum += other.log_sum;
    }

    /// Decays the counts by the time since the last decay.
    pub fn decay(&mut self, millis: f64) {
        let total = self.total();
        if total > LASTING_RUNS {
            self.scale((-millis / SPAN_MS).exp().max(LASTING_RUNS / total));
        }
    }
}

/// Returns the index of the bucket of a ratio's logarithm.
fn bucket(log: f64) -> usize {
    let position = (log - FIRST_EDGE.ln()) / WIDTH + 1.0;
    position.clamp(0.0, (BUCKETS - 1) as f64) as usize
}

/// Probability that a run takes longer than a multiple of its estimate, as a
/// table for fast look-up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Survival {
    /// Number of runs from which the table was made.
    pub runs: f64,
    /// Probability that the ratio is above the lower edge of each bucket.
    above: [f64; BUCKETS],
}

impl Survival {
    /// Creates the table of a distribution.
    pub fn new(distribution: &Distribution) -> Survival {
        let runs = distribution.total();
        let mut above = [0.0; BUCKETS];
        let mut sum = 0.0;
        for (above, count) in above.iter_mut().zip(distribution.counts).rev() {
            sum += count;
            *above = sum / runs.max(f64::MIN_POSITIVE);
        }
        Survival { runs, above }
    }

    /// Returns the probability that the logarithm of the ratio is above `log`,
    /// interpolated within buckets.
    pub fn beyond(&self, log: f64) -> f64 {
        let position = (log - FIRST_EDGE.ln()) / WIDTH + 1.0;
        if position <= 0.0 {
            return 1.0;
        }
        let at = position as usize;
        if at >= BUCKETS {
            return 0.0;
        }
        let next = self.above.get(at + 1).copied().unwrap_or(0.0);
        self.above[at] + (next - self.above[at]) * position.fract()
    }

    /// Averages with another table shifted by `shift`, which counts for `weight`
    /// runs.
    pub fn blend(&mut self, weight: f64, beyond: impl Fn(f64) -> f64) {
        let share = weight / (self.runs + weight);
        for (index, above) in self.above.iter_mut().enumerate() {
            let edge = FIRST_EDGE.ln() + (index as f64 - 1.0) * WIDTH;
            *above += share * (beyond(edge) - *above);
        }
    }
}

/// Returns a wide distribution around the ratio e^`speed`, for a queue of which
/// no run is known: a quarter of the runs takes over 1.3 times as long.
pub(crate) fn prior(log: f64, speed: f64) -> f64 {
    1.0 / (1.0 + (4.0 * (log - speed)).exp())
}
