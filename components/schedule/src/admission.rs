//! Admission control: a job that can't be served in time is refused on arrival,
//! while its caller can still do something else.

use kernel::Millis;

use crate::config::ScheduleConfig;
use crate::job::JobSpec;

/// Fraction of a job's expected time that must fit into the caller's timeout.
/// Estimates can be off by two fifths, and a job that is refused is lost for
/// certain.
const TIMEOUT_FACTOR: f64 = 0.45;

/// Factor on the work ahead of a job. Some of the capacity that becomes free is
/// of the wrong size, and jobs that arrive later may go first. An admitted job
/// that is refused later only costs its caller time.
const AHEAD_FACTOR: f64 = 1.5;

/// Submitted work, as a share of what the cores can do, above which there is an
/// overload. The rate of some seconds varies by a tenth around a load that fits.
const OVERLOAD: f64 = 1.1;

/// Increase of the factor on the work ahead for each multiple of the cores by which an
/// overload exceeds that share. The queue does not drain then, and jobs of lower rank are
/// passed by one arrival after another.
const OVERLOAD_WEIGHT: f64 = 8.0;

/// Upper limit of the factor.
const MAX_AHEAD_FACTOR: f64 = 5.0;

/// Fraction of the recent work of higher priority that is expected to keep
/// arriving ahead of a waiting job. A job with slack is not displaced by all of
/// it.
const URGENT_FRACTION: f64 = 0.5;

/// Smallest fraction of the cores that a job of lower priority may count on, so
/// that it is not starved.
const MIN_CORES_FRACTION: f64 = 0.1;

/// Retry hint for a job whose tasks take longer than its caller waits, or that
/// no minion can hold: an earlier retry would not help.
pub(crate) const UNSERVABLE_RETRY: Millis = Millis(60_000);

/// Admission decision on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is queued or already starting.
    Taken,
    /// The job will not be served here.
    Refused {
        /// Time until capacity is expected to be free.
        retry: Millis,
    },
}

/// Load figures on which the admission decision is based.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Work ahead of the job, in core milliseconds.
    pub ahead: f64,
    /// Work of the job itself, in core milliseconds.
    pub own: f64,
    /// Free capacity over the expected time of the job, in core milliseconds.
    pub free: f64,
    /// Number of cores that tasks of the job's size can use, free or not.
    pub cores: f64,
    /// Number of cores that jobs of higher priority have recently kept busy.
    pub urgent: f64,
    /// Share of the cores that all submitted jobs would have kept busy lately.
    pub offered: f64,
    /// Expected time until the job's last task ends if the job starts at once.
    pub expected: Millis,
    /// Time that a start order waits before it is sent.
    pub delay: Millis,
}

/// Returns the factor on the work ahead of a job.
fn ahead_factor(backlog: &Backlog) -> f64 {
    let excess = (backlog.offered - OVERLOAD).max(0.0);
    (AHEAD_FACTOR + OVERLOAD_WEIGHT * excess).min(MAX_AHEAD_FACTOR)
}

/// Decides whether to admit a job.
pub(crate) fn decide(spec: &JobSpec, backlog: Backlog, cfg: &ScheduleConfig) -> Admission {
    if backlog.cores <= 0.0 {
        return Admission::Refused {
            retry: cfg.eject_time,
        };
    }
    if backlog.expected.0 as f64 * TIMEOUT_FACTOR > spec.timeout.0 as f64 {
        return Admission::Refused {
            retry: UNSERVABLE_RETRY,
        };
    }
    let urgent = backlog.urgent * URGENT_FRACTION;
    let cores = (backlog.cores - urgent).max(backlog.cores * MIN_CORES_FRACTION);
    let work = (backlog.ahead * ahead_factor(&backlog) + backlog.own - backlog.free).max(0.0);
    let wait = Millis((work / cores) as u64 + backlog.delay.0);
    // A job that can meet its objective may wait as long as its slack. One that
    // can't is not worth the capacity of those that can.
    let slack = spec.objective.0.saturating_sub(backlog.expected.0);
    let timeout_left = spec
        .timeout
        .0
        .saturating_sub(backlog.expected.0 + cfg.reply_slack.0);
    let max_wait =
        (slack.max((spec.objective.0 as f64 * cfg.refuse_fraction) as u64)).min(timeout_left);
    // A job may be too wide for its objective even on idle minions. It is late
    // then, but no job is refused for its width alone.
    let alone_wait = ((backlog.own - backlog.free).max(0.0) / cores) as u64;
    let max_wait = match alone_wait > max_wait {
        true => (alone_wait + max_wait / 2).min(timeout_left),
        false => max_wait,
    };
    if wait.0 > max_wait {
        return Admission::Refused { retry: wait };
    }
    Admission::Taken
}
