//! Pauses between calls to a store that gives trouble.

use std::fmt;
use std::time::Duration;

use kernel::Millis;
use rand::Rng;

/// The first pause after an error of the store; doubled up to the next.
const ERROR_PAUSE: Millis = Millis(50);

/// The longest pause after errors of the store, half of the time in which a
/// configuration must be in force.
const ERROR_MOST: Millis = Millis(800);

/// A pause that grows while the store gives trouble and differs between VMs.
#[derive(Debug)]
pub struct Backoff {
    /// The latest pause; none while the store answers.
    pause: Millis,
    /// What is read, for the logs.
    topic: &'static str,
}

impl Backoff {
    /// Starts without a pause.
    pub fn new(topic: &'static str) -> Backoff {
        Backoff {
            pause: Millis(0),
            topic,
        }
    }

    /// Takes note of an answer.
    pub fn good(&mut self) {
        if self.pause.0 > 0 {
            log::info!(topic = self.topic; "store answers again");
            self.pause = Millis(0);
        }
    }

    /// Takes note of an error and waits.
    pub async fn bad<E: fmt::Display>(&mut self, e: &E) {
        if self.pause.0 == 0 {
            log::warn!(topic = self.topic, error:% = e; "store does not answer");
        }
        let doubled = (self.pause.0 * 2).clamp(ERROR_PAUSE.0, ERROR_MOST.0);
        self.pause = Millis(doubled);
        let jitter = rand::rng().random_range(doubled / 2..=doubled);
        tokio::time::sleep(Duration::from_millis(jitter)).await;
    }
}
