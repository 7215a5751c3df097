//! What answers show of a minion, and when it is ejected
//! (docs/design/routing.md#outliers).

use kernel::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::RoutingConfig;

/// How far a minion is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It gets tasks as its load allows.
    #[default]
    Normal,
    /// It failed or is slow, and gets one task of this VM at a time.
    Suspect,
    /// It gets no task until its hold ends, and then one as a probe.
    Ejected,
}

impl Mode {
    /// Reads the mode from its number.
    pub(crate) fn from_number(n: u8) -> Mode {
        match n {
            0 => Mode::Normal,
            1 => Mode::Suspect,
            _ => Mode::Ejected,
        }
    }
}

/// The chance, in natural logarithm, at which a run of failures is no longer
/// taken for the ordinary failure rate: one in 100,000.
const CHANCE_LN: f64 = -11.5;

/// The ordinary failure rate is never taken for lower than this.
const RATE_MIN: f64 = 0.002;

/// The ordinary failure rate is never taken for higher than this, so that a
/// minion can still be ejected.
const RATE_MAX: f64 = 0.7;

/// How many failures in a row eject a minion, when the service's tasks
/// ordinarily fail at `rate`.
pub(crate) fn fails_needed(rate: f64) -> u32 {
    (CHANCE_LN / rate.clamp(RATE_MIN, RATE_MAX).ln()).ceil() as u32
}

/// The weight of the newest answer in a minion's slowness.
const SLOW_WEIGHT: f64 = 0.25;

/// A minion whose answers take this many times as long as the service's, in
/// natural logarithm, is ejected as slow: four times.
const SLOW_LN: f64 = 1.386;

/// The first back-off after a refusal; each further one doubles it.
const REFUSED: Millis = Millis(50);

/// The longest back-off after refusals.
const REFUSED_MAX: Millis = Millis(2000);

/// The hold doubles for a minion ejected again within so many holds.
const FLAP_HOLDS: u64 = 8;

/// What answers have shown of one minion.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last good answer.
    pub(crate) fails: u32,
    /// Refusals since the last start.
    refusals: u32,
    /// The decayed mean logarithm of its run times over the service's.
    slow: f64,
    /// Holds in a row, each twice as long as the one before.
    holds: u32,
    /// When the hold that this VM itself decided ends.
    pub(crate) until: Timestamp,
}

impl Health {
    /// Notes a good answer, whose run time was `ratio` times the service's
    /// mean. It tells whether the minion is slow.
    pub(crate) fn answered(&mut self, ratio: f64, probe: bool) -> bool {
        self.fails = 0;
        self.refusals = 0;
        let ln = ratio.max(1e-3).ln();
        if probe && ln < SLOW_LN {
            self.slow = 0.0;
            return false;
        }
        self.slow += SLOW_WEIGHT * (ln - self.slow);
        self.slow > SLOW_LN || (probe && ln >= SLOW_LN)
    }

    /// Notes a failure and tells how many there are in a row.
    pub(crate) fn failed(&mut self) -> u32 {
        self.fails = self.fails.saturating_add(1);
        self.fails
    }

    /// Notes a refusal and tells how long to back off.
    pub(crate) fn refused(&mut self) -> Millis {
        let shift = self.refusals.min(16);
        self.refusals += 1;
        Millis((REFUSED.0 << shift).min(REFUSED_MAX.0))
    }

    /// Starts a hold and tells when it ends. A minion that was readmitted a
    /// short while ago, as a flapping one, is held twice as long as before.
    pub(crate) fn hold(&mut self, cfg: &RoutingConfig, now: Timestamp) -> Timestamp {
        let span = self.span(cfg);
        let calm = Millis(span.0.saturating_mul(FLAP_HOLDS));
        if now > self.until.after(calm) {
            self.holds = 0;
        }
        let end = now.after(self.span(cfg));
        self.holds = (self.holds + 1).min(16);
        self.until = end;
        end
    }

    /// Returns the length of the next hold.
    fn span(&self, cfg: &RoutingConfig) -> Millis {
        let long = cfg.hold.0.saturating_mul(1 << self.holds);
        Millis(long.min(cfg.hold_max.0))
    }
}
