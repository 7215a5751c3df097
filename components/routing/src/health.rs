//! The health of a minion as its answers show it, and when it is ejected
//! (docs/design/routing.md#outliers).

use kernel::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::RoutingConfig;

/// Which tasks a minion may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The minion gets tasks as its load allows.
    #[default]
    Normal,
    /// The minion failed or is slow, and gets one task of this VM at a time.
    Suspect,
    /// The minion gets no task for some time, the hold, and then one as a
    /// probe.
    Ejected,
}

impl Mode {
    /// Returns the mode with this number.
    pub(crate) fn from_number(n: u8) -> Mode {
        match n {
            0 => Mode::Normal,
            1 => Mode::Suspect,
            _ => Mode::Ejected,
        }
    }
}

/// Natural logarithm of the probability below which failures in a row are no
/// longer explained by the ordinary failure rate: one in 100,000.
const MAX_CHANCE_LN: f64 = -11.5;

/// Lower bound of the ordinary failure rate.
const MIN_RATE: f64 = 0.002;

/// Upper bound of the ordinary failure rate, so that a minion can still be
/// ejected.
const MAX_RATE: f64 = 0.7;

/// Returns how many failures in a row eject a minion when tasks ordinarily fail
/// at `rate`.
pub(crate) fn eject_threshold(rate: f64) -> u32 {
    (MAX_CHANCE_LN / rate.clamp(MIN_RATE, MAX_RATE).ln()).ceil() as u32
}

/// Weight of the newest answer in the slowness of a minion.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Natural logarithm of the run time, relative to the service's mean, above
/// which a minion is ejected as slow: four times the mean.
const MAX_SLOWNESS_LN: f64 = 1.386;

/// Back-off after the first refusal; each further refusal doubles it.
const MIN_BACKOFF: Millis = Millis(50);

/// Longest back-off after refusals.
const MAX_BACKOFF: Millis = Millis(2000);

/// A minion ejected again within this many hold times is held twice as long.
const FLAP_WINDOW: u64 = 8;

/// The health of one minion, as seen in its answers to this VM.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// The number of failures since the last good answer.
    pub(crate) failures: u32,
    /// The number of refusals since the last good answer.
    refusals: u32,
    /// The decayed mean of the logarithm of its run times, relative to the mean
    /// of the service.
    slowness: f64,
    /// The number of holds in a row, each twice as long as the previous one.
    holds: u32,
    /// The end of the last hold that this VM started itself.
    pub(crate) hold_end: Timestamp,
}

impl Health {
    /// Records a good answer, whose run time was `ratio` times the mean of the
    /// service, and returns whether the minion is slow.
    pub(crate) fn record_answer(&mut self, ratio: f64, probe: bool) -> bool {
        self.failures = 0;
        self.refusals = 0;
        let ln = ratio.max(1e-3).ln();
        if probe && ln < MAX_SLOWNESS_LN {
            self.slowness = 0.0;
            return false;
        }
        self.slowness += SLOWNESS_WEIGHT * (ln - self.slowness);
        self.slowness > MAX_SLOWNESS_LN || (probe && ln >= MAX_SLOWNESS_LN)
    }

    /// Records a failure and returns the number of failures in a row.
    pub(crate) fn record_failure(&mut self) -> u32 {
        self.failures = self.failures.saturating_add(1);
        self.failures
    }

    /// Records a refusal and returns the back-off.
    pub(crate) fn record_refusal(&mut self) -> Millis {
        let shift = self.refusals.min(16);
        self.refusals += 1;
        Millis((MIN_BACKOFF.0 << shift).min(MAX_BACKOFF.0))
    }

    /// Starts a hold and returns its end. A minion that was readmitted a short
    /// while ago is flapping and is held twice as long as the last time.
    pub(crate) fn start_hold(&mut self, cfg: &RoutingConfig, now: Timestamp) -> Timestamp {
        let span = self.next_hold(cfg);
        let window = Millis(span.0.saturating_mul(FLAP_WINDOW));
        if now > self.hold_end.after(window) {
            self.holds = 0;
        }
        let end = now.after(self.next_hold(cfg));
        self.holds = (self.holds + 1).min(16);
        self.hold_end = end;
        end
    }

    /// Returns the length of the next hold.
    fn next_hold(&self, cfg: &RoutingConfig) -> Millis {
        let span = cfg.eject_hold.0.saturating_mul(1 << self.holds);
        Millis(span.min(cfg.eject_hold_max.0))
    }
}
