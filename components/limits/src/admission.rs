//! Early refusal of jobs that would miss their deadline.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::{Millis, Slots};

use crate::config::LimitsConfig;

/// Shortest time after which a refused caller should retry.
const RETRY_MIN: Millis = Millis(100);

/// Longest time after which a refused caller should retry.
const RETRY_MAX: Millis = Millis(10_000);

/// A new job and the load of its service, from which its duration is estimated.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The number of tasks that already wait for the service.
    pub queued: usize,
    /// The number of tasks of the new job.
    pub tasks: usize,
    /// The number of slots that this VM can count on, which is its part of the
    /// domain's slots.
    pub slots: Slots,
    /// The mean run time of the service's tasks.
    pub mean_run: Millis,
    /// The expected run time of the job's longest task: a high quantile of the
    /// team's run times.
    pub longest_run: Millis,
    /// The time left until the job's deadline.
    pub time_left: Millis,
}

/// The error that a job was refused because of overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The time that the caller should wait before it retries.
    pub retry_after: Millis,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "overloaded, try again after {}", self.retry_after)
    }
}

impl std::error::Error for Refused {}

/// Admits or refuses new jobs.
#[derive(Debug)]
pub struct Admission {
    /// The settings of the limits.
    cfg: LimitsConfig,
    /// The number of jobs refused.
    refused: AtomicU64,
}

impl Admission {
    /// Creates an admission with these settings.
    pub fn new(cfg: LimitsConfig) -> Admission {
        Admission {
            cfg,
            refused: AtomicU64::new(0),
        }
    }

    /// Admits a job if its tasks fit into the queue and can finish in time.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] for a job that would overfill the queue or miss its
    /// deadline. None of its tasks has run.
    pub fn admit(&self, demand: &Demand) -> Result<(), Refused> {
        let over = demand.queued + demand.tasks > self.cfg.queue_max;
        let allowed = demand.time_left.0 * u64::from(self.cfg.deadline_percent) / 100;
        let late = self.cfg.admission && estimate(demand).0 > allowed;
        if !over && !late {
            return Ok(());
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        let wait = queue_time(demand);
        let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
        Err(Refused { retry_after })
    }

    /// Returns the number of jobs refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Estimates the duration of a job: the time until its last task starts, while
/// the slots work off the queue and its other tasks, plus the run time of that
/// task.
pub fn estimate(demand: &Demand) -> Millis {
    Millis(queue_time(demand).0 + demand.longest_run.0)
}

/// Estimates the time until the job's last task starts.
fn queue_time(demand: &Demand) -> Millis {
    let slots = u64::from(demand.slots.0.max(1));
    let tasks = (demand.queued + demand.tasks) as u64;
    let ahead = tasks.saturating_sub(slots.min(demand.tasks as u64));
    Millis(ahead * demand.mean_run.0 / slots)
}
