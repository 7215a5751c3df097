//! Maps events and outcomes to the counters that they raise.

use jobs::{Outcome, Ran};
use metrics::Count;
use timeline::EventKind;

/// Returns the counter of an outcome.
pub fn of_outcome(outcome: &Outcome) -> Count {
    match outcome {
        Outcome::Complete(_) => Count::JobComplete,
        Outcome::Failed { ran: Ran::No, .. } => Count::JobNotRun,
        Outcome::Failed { .. } => Count::JobMayHaveRun,
        Outcome::Unknown(_) => Count::JobUnknown,
    }
}

/// Returns the counter of an event, if it has one.
pub fn of_event(event: &EventKind) -> Option<Count> {
    let count = match event {
        EventKind::JobReceived => Count::JobReceived,
        EventKind::JobAttached => Count::JobAttached,
        EventKind::JobCancelled => Count::JobCancelled,
        EventKind::JobForgotten => Count::JobForgotten,
        EventKind::TaskSent => Count::TaskSent,
        EventKind::TaskAnswered => Count::TaskAnswered,
        EventKind::TaskFailed => Count::TaskFailed,
        EventKind::TaskLost => Count::TaskLost,
        EventKind::TaskNotStarted => Count::WasteNotStarted,
        EventKind::TaskResent => Count::WasteResent,
        EventKind::MinionEjected => Count::MinionEjected,
        EventKind::MinionProbed => Count::WasteProbe,
        EventKind::SheetRefused(_) => Count::SheetRefused,
        EventKind::VersionRefused => Count::WasteVersion,
        EventKind::BrokenRefused => Count::WasteBroken,
        _ => return None,
    };
    Some(count)
}
