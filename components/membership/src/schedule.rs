//! Times at which heartbeats are due.

use kernel::{Millis, Timestamp};
use rand::Rng;

use crate::config::Config;

/// First pause between attempts to reach a suspect peer; it doubles up to
/// `probe_max`.
const PROBE_MIN: Millis = Millis(500);

/// Maximum number of heartbeats that one tick starts.
pub(crate) const MAX_BURST: usize = 16;

/// Minimum time between two heartbeats to any suspect peers.
pub(crate) const PROBE_GAP: Millis = Millis(250);

/// Maximum delay of an expedited heartbeat, so that one message carries the news
/// that arrives together.
const EXPEDITE_DELAY: Millis = Millis(100);

/// Numbers of live peers, which share the heartbeat rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Counts {
    /// Number of live peers in this domain.
    pub(crate) near: u32,
    /// Number of live peers in other domains.
    pub(crate) far: u32,
}

/// Returns the time between two heartbeats to one peer.
pub(crate) fn period(config: &Config, counts: Counts, near: bool) -> Millis {
    let (min_period, count, rate) = match near {
        true => (config.near_period, counts.near, config.near_rate),
        false => (config.far_period, counts.far, config.far_rate),
    };
    let rate_period = 1000 * u64::from(count) / u64::from(rate.max(1));
    min_period.max(Millis(rate_period))
}

/// Returns the pause before the next attempt to reach a suspect peer.
pub(crate) fn probe_pause(config: &Config, failures: u32) -> Millis {
    let doubled = PROBE_MIN.0 << failures.min(10);
    Millis(doubled.min(config.probe_max.0))
}

/// Returns the time `span` from now, jittered by up to 20% either way, so that
/// VMs do not send in lockstep.
pub(crate) fn jittered(rng: &mut impl Rng, now: Timestamp, span: Millis) -> Timestamp {
    let micros = span.micros();
    let low = micros - micros / 5;
    let high = micros + micros / 5;
    Timestamp(now.0 + rng.random_range(low..=high))
}

/// Returns a random time within [`EXPEDITE_DELAY`] of now.
pub(crate) fn soon(rng: &mut impl Rng, now: Timestamp) -> Timestamp {
    Timestamp(now.0 + rng.random_range(0..=EXPEDITE_DELAY.micros()))
}
