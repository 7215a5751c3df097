//! Decides when to append the sheet in force to the log again.

use kernel::{Millis, Offset, Timestamp};

use crate::log::SheetLog;

/// The range of offsets that the log keeps, from its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogExtent {
    /// Oldest offset that the log keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
}

/// Decides when this VM appends a renewal. The VMs' ranks stagger the renewals,
/// so that normally only one VM appends. If VMs disagree about the ranks, several
/// append, which does no harm.
#[derive(Debug, Clone)]
pub struct RenewalRule {
    /// Time for which the log keeps a record.
    retention: Millis,
    /// Offset of the current anchor, and when this VM first saw it.
    first_seen: Option<(Offset, Timestamp)>,
}

/// A renewal is due when the anchor is older than the retention divided by this.
const DUE_DIVISOR: u64 = 3;

/// A renewal because of age waits until this VM has seen the anchor for the
/// retention divided by this. It limits what a VM with a wrong wall clock can
/// append.
const MIN_AGE_DIVISOR: u64 = 100;

/// Greatest number of records that a new reader should have to read.
const MAX_RECORDS: u64 = 512;

/// Additional delay of a renewal for each rank.
const RANK_DELAY: Millis = Millis(10_000);

/// Shortest time between an anchor's appearance and the next renewal.
const MIN_DELAY: Millis = Millis(5_000);

impl RenewalRule {
    /// Creates a rule for a log that keeps records for `retention`.
    pub fn new(retention: Millis) -> RenewalRule {
        RenewalRule {
            retention,
            first_seen: None,
        }
    }

    /// Returns whether this VM should append a renewal now. `wall` is Unix time,
    /// `rank` this VM's position among the live VMs, from 0. The wall clock gives
    /// the age of an anchor that was written before this VM started; a wrong
    /// clock only makes a renewal early or late.
    pub fn is_due(
        &mut self,
        now: Timestamp,
        wall: Millis,
        log: &SheetLog,
        extent: LogExtent,
        rank: usize,
    ) -> bool {
        let anchor = log.anchor();
        let first_seen = match self.first_seen {
            Some((offset, time)) if offset == anchor.offset => time,
            _ => {
                self.first_seen = Some((anchor.offset, now));
                now
            }
        };
        if log.held().is_none() || !log.is_settled() {
            return false;
        }
        let seen_for = now.since(first_seen);
        let min_delay = MIN_DELAY.0 + RANK_DELAY.0.saturating_mul(rank as u64);
        if seen_for.0 < min_delay {
            return false;
        }
        let written_ago = match anchor.at {
            Millis(0) => Millis(0),
            at => Millis(wall.0.saturating_sub(at.0)),
        };
        let age = seen_for.max(written_ago);
        let seen_long = seen_for.0 >= self.retention.0 / MIN_AGE_DIVISOR;
        let is_old = seen_long && age.0 >= self.retention.0 / DUE_DIVISOR + min_delay;
        is_old || is_far_back(anchor.offset, extent)
    }
}

/// Returns whether an anchor is in the older half of what a trimmed log keeps, or
/// more than [`MAX_RECORDS`] records follow it.
fn is_far_back(anchor: Offset, extent: LogExtent) -> bool {
    let following = extent.end.0.saturating_sub(anchor.0);
    let kept = extent.end.0.saturating_sub(extent.first.0);
    let trimmed = extent.first > Offset(0);
    following > MAX_RECORDS || (trimmed && following > kept / 2 + 1)
}
