//! When heartbeats are due.

use kernel::{Millis, Timestamp};
use rand::Rng;

use crate::config::Config;

/// The first pause between tries to reach a suspect peer.
const PROBE_MIN: Millis = Millis(500);

/// The most heartbeats that one tick starts.
pub(crate) const MAX_BURST: usize = 16;

/// The least time between two heartbeats to suspect peers.
pub(crate) const PROBE_GAP: Millis = Millis(250);

/// How long news waits at most before it goes out, so that one message carries
/// what arrives together.
const URGENT_WITHIN: Millis = Millis(100);

/// How many peers there are to share the rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Counts {
    /// Peers in this domain that are not suspect.
    pub(crate) near: u32,
    /// Peers in other domains that are not suspect.
    pub(crate) far: u32,
}

/// Returns the time between two heartbeats to one peer.
pub(crate) fn period(config: &Config, counts: Counts, near: bool) -> Millis {
    let (least, count, rate) = match near {
        true => (config.near_period, counts.near, config.near_rate),
        false => (config.far_period, counts.far, config.far_rate),
    };
    let shared = 1000 * u64::from(count) / u64::from(rate.max(1));
    least.max(Millis(shared))
}

/// Returns the pause before the next try to reach a suspect peer.
pub(crate) fn probe_pause(config: &Config, fails: u32) -> Millis {
    let doubled = PROBE_MIN.0 << fails.min(10);
    Millis(doubled.min(config.probe_max.0))
}

/// Spreads a time by a fifth either way, so that VMs fall out of step.
pub(crate) fn jittered(rng: &mut impl Rng, now: Timestamp, span: Millis) -> Timestamp {
    let micros = span.micros();
    let low = micros - micros / 5;
    let high = micros + micros / 5;
    Timestamp(now.0 + rng.random_range(low..=high))
}

/// Returns a moment soon from now.
pub(crate) fn soon(rng: &mut impl Rng, now: Timestamp) -> Timestamp {
    Timestamp(now.0 + rng.random_range(0..=URGENT_WITHIN.micros()))
}
