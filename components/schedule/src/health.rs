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
        }
    }
}

impl Health {
    /// Records a successful run that took `ratio` times its expected time.
    pub fn record_success(&mut self, ratio: f64) {
        self.failures = 0;
        self.slowness += SLOWNESS_WEIGHT * (ratio.clamp(0.1, 20.0) - self.slowness);
        self.pace += PACE_WEIGHT * (ratio.clamp(0.3, 3.0) - self.pace);
        if self.probing && ratio < 2.0 {
            self.probing = false;
            self.ejections = 0;
            self.slowness = self.slowness.min(1.5);
        }
    }

    /// Records a run that failed because of the task or of the minion.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Ejects the minion, each time for longer, and returns the duration.
    pub fn eject(&mut self, now: Timestamp, cfg: &ScheduleConfig) -> Millis {
        let doubled = cfg.eject_time.0.saturating_mul(1 << self.ejections.min(8));
        let span = Millis(doubled.min(cfg.eject_max.0));
        self.ejected_until = Some(now.after(span));
        self.ejections += 1;
        self.probing = true;
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
