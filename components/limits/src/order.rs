//! The order of jobs within a team.

use kernel::{JobKey, Millis, Timestamp};

/// How long a job steps back for each task that it still has to start. A job
/// of 140 tasks lets small ones pass that arrive up to 4.2 s later, and no
/// job waits behind later ones for longer than that.
const TASK_STEP: Millis = Millis(30);

/// What a job's place in the queue rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOrder {
    /// The job.
    pub key: JobKey,
    /// When it arrived.
    pub arrival: Timestamp,
    /// How many of its tasks had not started when this task was queued.
    pub tasks_left: usize,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
}

/// Ranks a job that arrived at `arrival` and has `left` tasks to start; the
/// lowest goes first. Arrival counts as much as size, so nothing starves.
pub(crate) fn rank(arrival: Timestamp, left: usize) -> u64 {
    arrival.0 + TASK_STEP.micros() * left as u64
}
