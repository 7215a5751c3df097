//! A model of the VM's own network link. The VM knows the link's rate and what it
//! sends, so it knows how long a message waits in the link's queue: timeouts are
//! extended by that time, and large messages wait for their turn so that the
//! queue stays short for heartbeats and holds (docs/design/platform.md#link).

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kernel::BitRate;

/// Longest queue that a large message may join. It bounds how long a small
/// message waits behind large ones.
const MAX_QUEUE: Duration = Duration::from_millis(10);

/// Time constant of the decay of a link's usage: several bursts of starts of a
/// wide job.
const USAGE_SPAN: Duration = Duration::from_millis(500);

/// Usage from which a link counts as busy. The model leaves out acknowledgements
/// and the answers to callers, and the queue of a link grows fast beyond two
/// thirds of its rate.
const BUSY_USAGE: f64 = 0.4;

/// Bytes of the starts of a wide job, which answers may wait behind on both
/// sides of a link.
const BURST_BYTES: usize = 16 << 10;

/// Bytes of packet headers for each message.
const PACKET_BYTES: usize = 54;

/// The sending side of a VM's link. Clones refer to the same link.
#[derive(Debug, Clone)]
pub struct Link {
    rate: BitRate,
    /// Time at which all bytes so far have been sent.
    busy_until: Arc<Mutex<Instant>>,
    /// Orders the large messages that wait for their turn.
    turn: Arc<tokio::sync::Mutex<()>>,
    /// Bytes of the large messages that wait for their turn.
    waiting: Arc<AtomicU64>,
    /// Time that the link has recently spent sending.
    usage: Arc<Mutex<Usage>>,
}

/// Exponentially decayed time that the link has spent sending.
#[derive(Debug)]
struct Usage {
    /// Decayed time in seconds.
    busy: f64,
    /// Time up to which it is decayed.
    updated: Instant,
}

impl Usage {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.busy *= (-elapsed.as_secs_f64() / USAGE_SPAN.as_secs_f64()).exp();
        self.updated = now;
    }
}

/// Bytes of a large message that count as waiting until this is dropped.
struct Waiting<'a> {
    total: &'a AtomicU64,
    bytes: u64,
}

impl<'a> Waiting<'a> {
    fn new(total: &'a AtomicU64, bytes: u64) -> Waiting<'a> {
        total.fetch_add(bytes, Ordering::Relaxed);
        Waiting { total, bytes }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Link {
    /// Creates a link of the given rate, at least one bit per second.
    pub fn new(rate: BitRate) -> Link {
        Link {
            rate: rate.max(BitRate(1)),
            busy_until: Arc::new(Mutex::new(Instant::now())),
            turn: Arc::default(),
            waiting: Arc::default(),
            usage: Arc::new(Mutex::new(Usage {
                busy: 0.0,
                updated: Instant::now(),
            })),
        }
    }

    /// Returns the part of the last moments during which the link was sending,
    /// from 0 to about 1.
    pub fn usage(&self) -> f64 {
        let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        usage.decay(Instant::now());
        usage.busy / USAGE_SPAN.as_secs_f64()
    }

    /// Returns whether so much is sent that answers are rather late than lost.
    pub fn is_busy(&self) -> bool {
        self.usage() >= BUSY_USAGE
    }

    /// Returns the time that an answer may wait behind the starts of one wide
    /// job, which is negligible on all but the slowest links.
    pub fn burst_time(&self) -> Duration {
        self.span(BURST_BYTES)
    }

    /// Returns the link's rate.
    pub fn rate(&self) -> BitRate {
        self.rate
    }

    /// Returns the time that a message sent now waits in the queue.
    pub fn backlog(&self) -> Duration {
        let until = *self
            .busy_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        until.saturating_duration_since(Instant::now())
    }

    /// Returns the time that a large message waits that is to be sent now.
    pub fn delay(&self) -> Duration {
        let waiting = self.waiting.load(Ordering::Relaxed) as usize;
        self.backlog() + self.span(waiting)
    }

    /// Returns the time that the link needs for `bytes` bytes.
    fn span(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / self.rate.0 as f64)
    }

    /// Records a message of `bytes` bytes and returns the time until it has been
    /// sent.
    pub fn reserve(&self, bytes: usize) -> Duration {
        let span = self.span(bytes + PACKET_BYTES);
        {
            let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
            usage.decay(Instant::now());
            usage.busy += span.as_secs_f64();
        }
        let mut until = self
            .busy_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        *until = (*until).max(now) + span;
        *until - now
    }

    /// Waits until the queue is short, in the order of the calls, records a
    /// message of `bytes` bytes and returns the time until it has been sent.
    pub async fn pace(&self, bytes: usize) -> Duration {
        let _waiting = Waiting::new(&self.waiting, bytes as u64);
        let _turn = self.turn.lock().await;
        loop {
            let backlog = self.backlog();
            if backlog <= MAX_QUEUE {
                return self.reserve(bytes);
            }
            tokio::time::sleep(backlog - MAX_QUEUE).await;
        }
    }
}
