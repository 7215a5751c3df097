//! Early refusal of jobs that could not meet their deadline.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::{Millis, Slots};

use crate::config::LimitsConfig;

/// The shortest time after which a refused caller is told to try again.
const RETRY_MIN: Millis = Millis(100);

/// The longest time after which a refused caller is told to try again.
const RETRY_MAX: Millis = Millis(10_000);

/// What a new job meets.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Tasks that wait for the service already.
    pub queued: usize,
    /// Tasks of the new job.
    pub tasks: usize,
    /// The slots that this VM can count on: its part of its domain's.
    pub slots: Slots,
    /// The mean run time of the service's tasks.
    pub mean: Millis,
    /// A high quantile of the team's run times, for the job's longest task.
    pub long: Millis,
    /// The time left until the job's deadline.
    pub left: Millis,
}

/// A refusal, with the time after which another try makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// How long the caller should wait.
    pub retry_after: Millis,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "overloaded, try again after {}", self.retry_after)
    }
}

impl std::error::Error for Refused {}

/// Decides about new jobs.
#[derive(Debug)]
pub struct Admission {
    /// The settings.
    cfg: LimitsConfig,
    /// Jobs refused.
    refused: AtomicU64,
}

impl Admission {
    /// Decides by these settings.
    pub fn new(cfg: LimitsConfig) -> Admission {
        Admission {
            cfg,
            refused: AtomicU64::new(0),
        }
    }

    /// Admits a job whose tasks can wait and be done in time.
    ///
    /// # Errors
    ///
    /// Refuses a job that would overfill the queue or miss its deadline;
    /// nothing of it has run.
    pub fn admit(&self, demand: &Demand) -> Result<(), Refused> {
        let over = demand.queued + demand.tasks > self.cfg.queue_max;
        let allowed = demand.left.0 * u64::from(self.cfg.deadline_part) / 100;
        let late = self.cfg.admission && estimate(demand).0 > allowed;
        if !over && !late {
            return Ok(());
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        let wait = queue_time(demand);
        let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
        Err(Refused { retry_after })
    }

    /// Counts the jobs refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Estimates how long a job takes: the queue and its own tasks drain through
/// the slots, then its last task runs.
pub fn estimate(demand: &Demand) -> Millis {
    Millis(queue_time(demand).0 + demand.long.0)
}

/// Estimates how long it takes until the job's last task starts.
fn queue_time(demand: &Demand) -> Millis {
    let slots = u64::from(demand.slots.0.max(1));
    let tasks = (demand.queued + demand.tasks) as u64;
    let ahead = tasks.saturating_sub(slots.min(demand.tasks as u64));
    Millis(ahead * demand.mean.0 / slots)
}
