//! When the sheet is to be written to the log again.

use kernel::{Millis, Offset, Timestamp};

use crate::log::SheetLog;

/// The offsets that the log keeps, as its last answer told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogExtent {
    /// The oldest offset kept.
    pub first: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
}

/// Decides when this VM renews. Ranks make it normally one VM; when beliefs
/// about ranks differ, several do, which is harmless.
#[derive(Debug, Clone)]
pub struct RenewalRule {
    /// How long the log keeps a record.
    retention: Millis,
    /// The anchor last seen, and when this VM saw it first.
    seen: Option<(Offset, Timestamp)>,
}

/// The part of the retention after which a renewal is due, as a divisor.
const DUE_DIVISOR: u64 = 3;

/// The part of the retention that must pass between an anchor's appearance and
/// a renewal for age, as a divisor. It bounds what a VM with a wrong wall clock
/// can append.
const REST_DIVISOR: u64 = 100;

/// The most records that a new reader should have to read.
const MAX_RECORDS: u64 = 512;

/// How much later each further rank renews.
const RANK_STEP: Millis = Millis(10_000);

/// The least time between an anchor's appearance and the next renewal.
const MIN_GAP: Millis = Millis(5_000);

impl RenewalRule {
    /// Makes a rule for a log that keeps records for `retention`.
    pub fn new(retention: Millis) -> RenewalRule {
        RenewalRule {
            retention,
            seen: None,
        }
    }

    /// Tells whether this VM should append a renewal now. `wall` is Unix time,
    /// `rank` this VM's place among the live ones, from 0. The wall clock only
    /// makes a renewal early or late: a VM that started after the anchor was
    /// written knows its age by it.
    pub fn due(
        &mut self,
        now: Timestamp,
        wall: Millis,
        log: &SheetLog,
        extent: LogExtent,
        rank: usize,
    ) -> bool {
        let anchor = log.anchor();
        let since = match self.seen {
            Some((offset, since)) if offset == anchor.offset => since,
            _ => {
                self.seen = Some((anchor.offset, now));
                now
            }
        };
        if log.held().is_none() || !log.is_settled() {
            return false;
        }
        let here = now.since(since);
        let turn = MIN_GAP.0 + RANK_STEP.0.saturating_mul(rank as u64);
        if here.0 < turn {
            return false;
        }
        let written = match anchor.at {
            Millis(0) => Millis(0),
            at => Millis(wall.0.saturating_sub(at.0)),
        };
        let age = here.max(written);
        let rested = here.0 >= self.retention.0 / REST_DIVISOR;
        let old = rested && age.0 >= self.retention.0 / DUE_DIVISOR + turn;
        old || is_far_back(anchor.offset, extent)
    }
}

/// Tells whether an anchor is in the older half of what a trimmed log keeps, or
/// too many records lie behind it.
fn is_far_back(anchor: Offset, extent: LogExtent) -> bool {
    let behind = extent.end.0.saturating_sub(anchor.0);
    let kept = extent.end.0.saturating_sub(extent.first.0);
    let trimmed = extent.first > Offset(0);
    behind > MAX_RECORDS || (trimmed && behind > kept / 2 + 1)
}
