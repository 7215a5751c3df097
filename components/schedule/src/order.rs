//! Order in which waiting jobs are started.
//!
//! A job is complete only when its last task ends, so jobs are ordered and not
//! tasks. The job with the earliest latest start goes first; jobs that can no
//! longer meet their objective go after all that can.

use kernel::Timestamp;

use crate::job::Job;

/// Delay of a job's latest start per level of lower priority, in microseconds.
/// It is about the slack that objectives leave: short jobs of a higher level go
/// first while there is capacity, and old jobs of a lower level still get their
/// turn.
const PRIORITY_STEP_US: u64 = 300_000;

/// Fraction of the expected time that is used to tell whether a job is late.
/// Estimates may be too long, and refusing a start because of a wrong estimate
/// would fail the job for certain.
const LATE_FACTOR: f64 = 0.7;

/// Sort key of a job in the queue; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// True if the job can no longer meet its objective.
    late: bool,
    /// Latest start in microseconds, delayed by priority.
    latest_start: u64,
}

/// Returns the rank of a job at `now`.
pub(crate) fn rank(job: &Job, now: Timestamp) -> Rank {
    Rank {
        late: is_late(job, now),
        latest_start: job.latest_start().0 + u64::from(job.spec.priority) * PRIORITY_STEP_US,
    }
}

/// Returns whether a job can no longer end in time.
pub(crate) fn is_late(job: &Job, now: Timestamp) -> bool {
    let min_time = (job.expected.micros() as f64 * LATE_FACTOR) as u64;
    match job.started {
        true => now > job.due(),
        false => Timestamp(now.0 + min_time) > job.due(),
    }
}
