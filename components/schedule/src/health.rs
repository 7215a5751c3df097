//! Health of minions, judged by the runs on them: failures and slowness lead to
//! ejection.
//!
//! A minion whose runs all fail immediately looks idle and would attract every
//! task, so it must be ejected after a few runs.

use kernel::{Millis, Timestamp};

use crate::config::ScheduleConfig;

/// Weight of the newest run in the moving average of slowness, which must react
/// within a few runs.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Weight of the newest run in the moving average of pace, which evens out
/// wrong estimates.
const PACE_WEIGHT: f64 = 0.08;

/// Number of runs for which the assumption counts that a minion is as fast as its
/// kind.
const KIND_RUNS: f64 = 8.0;

/// Number of runs over which a minion's own pace is averaged.
const PACE_RUNS: f64 = 30.0;

/// A minion's run times relative to those of its kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    /// Number of runs, at most [`PACE_RUNS`].
    runs: f64,
    /// Mean logarithm of the ratios.
    mean: f64,
}

impl Pace {
    /// Records a run that took `ratio` times the usual time of its queue on this
    /// kind of minion. Single stragglers count little.
    pub fn record(&mut self, ratio: f64) {
        self.runs = (self.runs + 1.0).min(PACE_RUNS);
        self.mean += (ratio.clamp(0.3, 3.0).ln() - self.mean) / self.runs;
    }

    /// Returns the logarithm of the pace, nearer to zero the fewer runs there are.
    pub fn log(&self) -> f64 {
        self.mean * self.runs / (self.runs + KIND_RUNS)
    }
}

/// Health record of a minion.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    /// Number of failures since the last successful run.
    pub failures: u32,
    /// Moving average of actual over expected run time, over the last few runs.
    pub slowness: f64,
    /// The same average over many runs: the minion's usual speed, used to
    /// estimate run times.
    pub pace: f64,
    /// Time until which the minion is ejected.
    pub ejected_until: Option<Timestamp>,
    /// True from an ejection until a run succeeds. Meanwhile the minion gets
    /// one run at a time.
    pub probing: bool,
    /// Number of consecutive ejections.
    pub ejections: u32,
    /// Number of failures for which the minion was last ejected.
    ejected_for: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            failures: 0,
            slowness: 1.0,
            pace: 1.0,
            ejected_until: None,
            probing: false,
            ejections: 0,
            ejected_for: 0,
        }
    }
}

impl Health {
    /// Records a successful run that took `ratio` times the expected time of its
    /// queue, and `kind_ratio` times that of its queue on this kind of minion. A
    /// kind that is slow as a whole is no reason for an ejection.
    pub fn record_success(&mut self, ratio: f64, kind_ratio: f64) {
        self.failures = 0;
        self.slowness += SLOWNESS_WEIGHT * (kind_ratio.clamp(0.1, 20.0) - self.slowness);
        self.pace += PACE_WEIGHT * (ratio.clamp(0.3, 3.0) - self.pace);
        if self.probing && kind_ratio < 2.0 {
            self.probing = false;
            self.ejections = 0;
            self.slowness = self.slowness.min(1.5);
        }
    }

    /// Records a run that failed because of the task or of the minion.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Withdraws a recorded failure, as the task has failed elsewhere too. Ends an
    /// ejection that rests on such failures only.
    pub fn forgive_failure(&mut self) {
        if self.failures > 0 {
            self.failures -= 1;
        } else if self.ejected_for > 0 {
            self.ejected_for -= 1;
            if self.ejected_for == 0 {
                self.ejected_until = None;
                self.probing = false;
                self.ejections = self.ejections.saturating_sub(1);
            }
        }
    }

    /// Ejects the minion, each time for longer, and returns the duration.
    pub fn eject(&mut self, now: Timestamp, cfg: &ScheduleConfig) -> Millis {
        let doubled = cfg.eject_time.0.saturating_mul(1 << self.ejections.min(8));
        let span = Millis(doubled.min(cfg.eject_max.0));
        self.ejected_until = Some(now.after(span));
        self.ejections += 1;
        self.probing = true;
        self.ejected_for = self.failures;
        self.failures = 0;
        self.slowness = 1.0;
        span
    }

    /// Returns whether the minion is ejected at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the minion should be ejected. `mean_slowness` is the
    /// mean over all held minions.
    pub fn should_eject(&self, mean_slowness: f64, cfg: &ScheduleConfig) -> bool {
        let limit = if self.probing { 1 } else { cfg.eject_failures };
        self.failures >= limit || self.slowness > cfg.slow_factor * mean_slowness.max(0.5)
    }
}
