//! Updates the gauges, and the counters whose values are kept outside the
//! metrics.

use std::sync::Arc;
use std::time::Duration;

use metrics::{Count, Gauge};
use routing::{Mode, Policy};
use tokio::time::{MissedTickBehavior, interval};
use wire::Connect;

use crate::core::Core;
use crate::status::{self, Status};

/// Interval at which the gauges are updated.
const UPDATE_PERIOD: Duration = Duration::from_secs(1);

/// Updates gauges and counters in a loop.
pub async fn watch<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(UPDATE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut appends, mut missed, mut refused) = (0, 0, 0);
    loop {
        ticks.tick().await;
        let status = status::read(&core);
        for gauge in Gauge::ALL {
            core.notes.metrics.set(*gauge, gauge_value(&status, *gauge));
        }
        raise_counter(
            &core,
            Count::ClientRefused,
            &mut refused,
            core.bodies.refusals(),
        );
        raise_counter(&core, Count::WasteClaim, &mut appends, status.appends);
        raise_counter(
            &core,
            Count::EventMissed,
            &mut missed,
            core.notes.recorder.missed(),
        );
    }
}

/// Raises a counter by what its source has grown since the last update.
fn raise_counter<C: Connect, P: Policy>(core: &Core<C, P>, count: Count, last: &mut u64, now: u64) {
    core.notes.metrics.add(count, now.saturating_sub(*last));
    *last = now;
}

fn gauge_value(status: &Status, gauge: Gauge) -> u64 {
    let minions = status.minions.iter();
    let value = match gauge {
        Gauge::JobsRunning => status.running,
        Gauge::TasksQueued => status.services.iter().map(|s| s.waiting).sum(),
        Gauge::TasksRunning => status.services.iter().map(|s| s.held).sum(),
        Gauge::MinionsEjected => minions.filter(|m| m.mode == Mode::Ejected).count(),
        Gauge::MinionsLeaving => minions.filter(|m| m.leaving).count(),
        Gauge::PeersLive => status.peers.iter().filter(|p| p.health == "live").count(),
        Gauge::SheetOffset => return status.sheet.map_or(0, |at| at.0),
        Gauge::LogAway => usize::from(status.log == "away"),
        Gauge::KeptBytes => status.kept_bytes,
        Gauge::TeamsAtQuota => status.teams.iter().filter(|t| t.held >= t.limit).count(),
        Gauge::ClientMemory => status.body_memory,
        // Gauges of the `engine` crate, which this VM does not run.
        Gauge::ShardsOwned
        | Gauge::MinionsHeld
        | Gauge::CoresFree
        | Gauge::ConfigurationVersion
        | Gauge::DomainsEvacuated
        | Gauge::EvacuationOffset
        | Gauge::ShardsUneven
        | Gauge::SpeedContrast
        | Gauge::CrashRecords
        | Gauge::ClientConnections
        | Gauge::HeartbeatAge => 0,
    };
    value as u64
}
