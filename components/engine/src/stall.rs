//! Notices that this VM did nothing for a while: it was suspended, or its process got
//! no processor time (docs/design/job-leases.md#stalls).

use std::sync::atomic::{AtomicU64, Ordering};

use kernel::{Millis, Timestamp};

/// Time without a tick that counts as a stall. A client sends a job again 1.3 s after it
/// has given it up, so a shorter stall does no harm.
const STALL: Millis = Millis(1_000);

/// Time after a stall within which requests may have waited for its end.
const AFTERMATH: Millis = Millis(250);

/// Time within which the closed connections of such requests are noticed.
pub(crate) const NOTICE_TIME: Millis = Millis(50);

/// Times of the periodic work, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Ticks {
    last: AtomicU64,
    /// End of the last stall.
    resumed: AtomicU64,
}

impl Ticks {
    /// Records that the periodic work is done now.
    pub fn record(&self, now: Timestamp) {
        let last = Timestamp(self.last.swap(now.0, Ordering::Relaxed));
        if last > Timestamp(0) && now.since(last) >= STALL {
            log::warn!(stalled_ms = now.since(last).0; "this VM was suspended or got no processor time");
            self.resumed.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns whether a request that is read now may have waited for the end of a
    /// stall. The first requests are read before the next tick.
    pub fn after_stall(&self, now: Timestamp) -> bool {
        let last = Timestamp(self.last.load(Ordering::Relaxed));
        let resumed = Timestamp(self.resumed.load(Ordering::Relaxed));
        let stalled = last > Timestamp(0) && now.since(last) >= STALL;
        stalled || resumed > Timestamp(0) && now.since(resumed) < AFTERMATH
    }
}
