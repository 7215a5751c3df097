//! Whether a job is worth taking: a job that can't be served is refused when it
//! arrives, while its caller can still do something else.

use kernel::Millis;

use crate::config::ScheduleConfig;
use crate::job::JobSpec;

/// The part of its expected time that a hopeless job exceeds its caller's wait
/// with: estimates are off by two fifths, and a job that is refused is lost for
/// certain.
const PATIENCE_FACTOR: f64 = 0.45;

/// How much more the work ahead of a job counts: part of the room that ends
/// meanwhile is of another size, and jobs that arrive later go ahead of it. A
/// job that is taken and refused later has only cost its caller time.
const AHEAD_FACTOR: f64 = 1.5;

/// The part of the work of higher priority that goes on arriving ahead of a job
/// while it waits; a job with time to spare is not displaced by all of it.
const URGENT_FRACTION: f64 = 0.5;

/// The part of the room that work of lower priority may count on at least, so
/// that it is not shut out.
const MIN_CORES_FRACTION: f64 = 0.1;

/// The hint for a job whose tasks take longer than its caller waits, or that no
/// minion can hold: trying again soon won't help.
pub(crate) const UNSERVABLE_RETRY: Millis = Millis(60_000);

/// The decision on a job that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is queued or already starting.
    Taken,
    /// It won't be served here.
    Refused {
        /// When room is expected.
        retry: Millis,
    },
}

/// What the decision rests on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Core milliseconds of work that goes before the job.
    pub ahead: f64,
    /// Core milliseconds of the job.
    pub own: f64,
    /// Core milliseconds that are free for the job while it lasts.
    pub free: f64,
    /// Cores that tasks of the job's size can use, free or not.
    pub cores: f64,
    /// Cores that jobs of higher priority have kept busy lately.
    pub urgent: f64,
    /// When the last task of the job is expected to end if it starts at once.
    pub expected: Millis,
}

/// Decides on a job.
pub(crate) fn decide(spec: &JobSpec, backlog: Backlog, cfg: &ScheduleConfig) -> Admission {
    if backlog.cores <= 0.0 {
        return Admission::Refused {
            retry: cfg.eject_time,
        };
    }
    if backlog.expected.0 as f64 * PATIENCE_FACTOR > spec.patience.0 as f64 {
        return Admission::Refused {
            retry: UNSERVABLE_RETRY,
        };
    }
    let urgent = backlog.urgent * URGENT_FRACTION;
    let cores = (backlog.cores - urgent).max(backlog.cores * MIN_CORES_FRACTION);
    let work = (backlog.ahead * AHEAD_FACTOR + backlog.own - backlog.free).max(0.0);
    let wait = Millis((work / cores) as u64);
    // A job in its objective may use the slack that it has; one that can't meet
    // it is not worth the room of those that can.
    let slack = spec.objective.0.saturating_sub(backlog.expected.0);
    let patience = spec
        .patience
        .0
        .saturating_sub(backlog.expected.0 + cfg.reply_slack.0);
    let max_wait =
        (slack.max((spec.objective.0 as f64 * cfg.refuse_fraction) as u64)).min(patience);
    // A job that is too wide for its objective even with nothing before it is
    // late, but no job is refused for its width alone.
    let alone_wait = ((backlog.own - backlog.free).max(0.0) / cores) as u64;
    let max_wait = match alone_wait > max_wait {
        true => (alone_wait + max_wait / 2).min(patience),
        false => max_wait,
    };
    if wait.0 > max_wait {
        return Admission::Refused { retry: wait };
    }
    Admission::Taken
}
