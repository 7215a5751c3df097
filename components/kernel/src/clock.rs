//! Sources of time. Clocks are passed in, so that tests and seeded runs can
//! replay decisions without waiting.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::{Millis, Timestamp};

/// A source of time. Only efficiency may depend on it, never safety
/// (docs/DESIGN.md#the-principle).
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time since this clock's start.
    fn now(&self) -> Timestamp;

    /// Returns the wall clock in milliseconds of Unix time, for logs and the
    /// time line only.
    fn wall(&self) -> Millis;
}

/// The machine's monotonic clock and wall clock.
#[derive(Debug, Clone)]
pub struct SystemClock {
    /// The time at which this clock was created.
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> SystemClock {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64)
    }

    fn wall(&self) -> Millis {
        unix_millis()
    }
}

fn unix_millis() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(since.map_or(0, |d| d.as_millis() as u64))
}

/// A clock that also counts the time for which the machine was suspended, so
/// that a VM that resumes does not mistake stale work for fresh work.
#[derive(Debug, Clone)]
pub struct BootClock {
    /// The time at which this clock was created, in microseconds since the
    /// machine's boot.
    start: u64,
}

impl BootClock {
    /// Creates a clock that starts at zero.
    ///
    /// # Errors
    ///
    /// Fails when the system has no such clock.
    pub fn new() -> std::io::Result<BootClock> {
        Ok(BootClock {
            start: boot_micros()?,
        })
    }
}

fn boot_micros() -> std::io::Result<u64> {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)?;
    Ok(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1000)
}

impl Clock for BootClock {
    fn now(&self) -> Timestamp {
        // `new` has read this clock, so reading it is not expected to fail.
        let now = boot_micros().unwrap_or(self.start);
        Timestamp(now.saturating_sub(self.start))
    }

    fn wall(&self) -> Millis {
        unix_millis()
    }
}

/// A clock that moves only by [`ManualClock::advance`], for tests and seeded runs.
#[derive(Debug, Default)]
pub struct ManualClock {
    /// The current time in microseconds.
    micros: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Millis) {
        self.micros.fetch_add(span.micros(), Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.micros.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Millis {
        Millis(self.micros.load(Ordering::SeqCst) / 1000)
    }
}
