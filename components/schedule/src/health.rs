//! Which minions fail or crawl, judged by what ran on them.
//!
//! A minion that fails everything at once looks idle and would draw every task,
//! so it must be left out within a handful of runs.

use kernel::{Millis, Timestamp};

use crate::config::ScheduleConfig;

/// The weight of the newest run in the slowness that leads to ejection, which
/// must show within a few runs.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// The weight of the newest run in the pace, which evens out wrong estimates.
const PACE_WEIGHT: f64 = 0.08;

/// What is known of a minion's health.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    /// Failures since the last good end.
    pub failures: u32,
    /// The decayed mean of run time over expected run time.
    pub slowness: f64,
    /// The same over many runs: how fast the minion is when well.
    pub pace: f64,
    /// Until when it gets no work.
    pub ejected_until: Option<Timestamp>,
    /// True until a run ends well after an ejection; one run at a time.
    pub probing: bool,
    /// How often it was ejected in a row.
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
    /// Records a run that ended well after `ratio` times its expected time.
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

    /// Records a run that failed by itself or by the minion.
    pub fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Leaves the minion out for a while, longer each time.
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

    /// Tells whether the minion is left out at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether its record calls for leaving it out. `usual` is the mean
    /// slowness of the others.
    pub fn should_eject(&self, mean_slowness: f64, cfg: &ScheduleConfig) -> bool {
        let limit = if self.probing { 1 } else { cfg.eject_failures };
        self.failures >= limit || self.slowness > cfg.slow_factor * mean_slowness.max(0.5)
    }
}
