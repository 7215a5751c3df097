//! The order of jobs within a team.

use kernel::{JobKey, Millis, Timestamp};

/// Delay in the order of jobs for each task that a job still has to start. A
/// job of 140 tasks lets small jobs pass that arrive up to 4.2 s later, but
/// none that arrive after that.
const TASK_STEP: Millis = Millis(30);

/// The properties of a job that decide its place in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOrder {
    /// The key of the job.
    pub key: JobKey,
    /// The time at which the job arrived.
    pub arrival: Timestamp,
    /// The number of its tasks that had not started when this task was queued.
    pub tasks_left: usize,
    /// The time at which its caller stops waiting.
    pub deadline: Timestamp,
}

/// Returns the rank of a job that arrived at `arrival` and has `left` tasks to
/// start. The lowest rank goes first. Because the arrival counts, no job
/// starves.
pub(crate) fn rank(arrival: Timestamp, left: usize) -> u64 {
    arrival.0 + TASK_STEP.micros() * left as u64
}
