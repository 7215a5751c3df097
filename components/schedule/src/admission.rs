//! Whether a job is worth taking: a job that can't be served is refused when it
//! arrives, while its caller can still do something else.

use kernel::Millis;

use crate::config::ScheduleConfig;
use crate::job::JobSpec;

/// The part of its expected time that a hopeless job exceeds its caller's wait
/// with: estimates are off by two fifths, and a job that is refused is lost for
/// certain.
const HOPELESS: f64 = 0.45;

/// The hint for a job whose tasks take longer than its caller waits, or that no
/// minion can hold: trying again soon won't help.
pub(crate) const HOPELESS_RETRY: Millis = Millis(60_000);

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
    /// Cores of the minions that may take work.
    pub cores: f64,
    /// When the last task of the job is expected to end if it starts at once.
    pub expected: Millis,
}

/// Decides on a job.
pub(crate) fn decide(spec: &JobSpec, load: Backlog, cfg: &ScheduleConfig) -> Admission {
    if load.cores <= 0.0 {
        return Admission::Refused {
            retry: cfg.eject_time,
        };
    }
    if load.expected.0 as f64 * HOPELESS > spec.patience.0 as f64 {
        return Admission::Refused {
            retry: HOPELESS_RETRY,
        };
    }
    let wait = Millis((load.ahead / load.cores) as u64);
    // A job in its objective may use the slack that it has; one that can't meet
    // it is not worth the room of those that can.
    let slack = spec.objective.0.saturating_sub(load.expected.0);
    let patience = spec
        .patience
        .0
        .saturating_sub(load.expected.0 + cfg.reply_slack.0);
    let most = (slack.max((spec.objective.0 as f64 * cfg.refuse_part) as u64)).min(patience);
    if wait.0 > most {
        return Admission::Refused { retry: wait };
    }
    Admission::Taken
}
