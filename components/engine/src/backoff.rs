//! Exponential backoff between calls to a store that returns errors.

use std::fmt;
use std::time::Duration;

use kernel::Millis;
use rand::Rng;

/// Pause after the first error of the store. It doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Millis = Millis(50);

/// Longest pause after errors of the store: half of the time within which a
/// configuration must be in force.
const MAX_PAUSE: Millis = Millis(800);

/// Pause between calls that doubles with each error and has a random part, so
/// that it differs between VMs.
#[derive(Debug)]
pub struct Backoff {
    /// Upper limit of the last pause; 0 while the store answers.
    pause: Millis,
    /// Name of the data that are read, for the log.
    topic: &'static str,
}

impl Backoff {
    /// Creates a backoff without a pause.
    pub fn new(topic: &'static str) -> Backoff {
        Backoff {
            pause: Millis(0),
            topic,
        }
    }

    /// Resets the pause after an answer.
    pub fn reset(&mut self) {
        if self.pause.0 > 0 {
            log::info!(topic = self.topic; "store answers again");
            self.pause = Millis(0);
        }
    }

    /// Doubles the pause after an error and waits.
    pub async fn wait<E: fmt::Display>(&mut self, e: &E) {
        if self.pause.0 == 0 {
            log::warn!(topic = self.topic, error:% = e; "store does not answer");
        }
        let doubled = (self.pause.0 * 2).clamp(MIN_PAUSE.0, MAX_PAUSE.0);
        self.pause = Millis(doubled);
        let jitter = rand::rng().random_range(doubled / 2..=doubled);
        tokio::time::sleep(Duration::from_millis(jitter)).await;
    }
}
