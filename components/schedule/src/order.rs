//! In which order waiting jobs get room.
//!
//! A job counts only when its last task ends, so the order is by job. The job
//! that must start first to meet its objective goes first; jobs that can't meet
//! it any more wait behind all that can.

use kernel::Timestamp;

use crate::job::Job;

/// How much sooner a job of one priority level higher is taken, in
/// microseconds: about what objectives leave to spare, so that short jobs of a
/// high level get room while it lasts, and old ones of a low level still do.
const PRIORITY_STEP_US: u64 = 300_000;

/// How far estimates may be off: a job counts as late when it would be with so
/// much of its expected time, as refusing it a start on a wrong estimate would
/// fail it for certain.
const LATE_FACTOR: f64 = 0.7;

/// A job's place in the queue; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// True if it can't meet its objective any more.
    late: bool,
    /// Its latest start, by priority.
    latest_start: u64,
}

/// Ranks a job at `now`.
pub(crate) fn rank(job: &Job, now: Timestamp) -> Rank {
    Rank {
        late: is_late(job, now),
        latest_start: job.latest_start().0 + u64::from(job.spec.priority) * PRIORITY_STEP_US,
    }
}

/// Tells whether a job can't end in time any more.
pub(crate) fn is_late(job: &Job, now: Timestamp) -> bool {
    let min_time = (job.expected.micros() as f64 * LATE_FACTOR) as u64;
    match job.started {
        true => now > job.due(),
        false => Timestamp(now.0 + min_time) > job.due(),
    }
}
