//! Reports how far clients use what a VM grants them (docs/design/client-memory.md).

use std::time::Duration;

use kernel::{Clock, Millis, Timestamp};
use metrics::{Count, Gauge};
use wire::{MemoryBudget, ServerUsage};

use crate::control::Minions;
use crate::engine::Engine;

/// Interval of the reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time without a refusal or a closing after which the limits count as no longer reached.
const QUIET: Millis = Millis(10_000);

/// Requests refused for want of memory, and connections closed for new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Totals {
    refused: u64,
    closed: u64,
}

/// A time in which clients reach the limits.
#[derive(Debug, Clone, Copy)]
struct Episode {
    /// The totals before it.
    before: Totals,
    begun: Timestamp,
    latest: Timestamp,
}

/// Reports the use of connections and memory until the program ends. Refusals are counted
/// and logged by episode, as one line for each would fill the log in a crowd.
pub async fn report_clients<M: Minions>(
    engine: Engine<M>,
    budget: MemoryBudget,
    usage: ServerUsage,
) {
    let metrics = engine.metrics();
    let mut totals = Totals::default();
    let mut episode: Option<Episode> = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = engine.clock().now();
        let before = totals;
        totals = Totals {
            refused: budget.refusals(),
            closed: usage.closed(),
        };
        let (used, connections) = (budget.used(), usage.connections());
        metrics.set(Gauge::ClientMemory, used as u64);
        metrics.set(Gauge::ClientConnections, connections as u64);
        metrics.add(Count::ClientRefused, totals.refused - before.refused);
        metrics.add(Count::ClientClosed, totals.closed - before.closed);
        match &mut episode {
            None if totals != before => {
                log::warn!(memory = used, limit = budget.limit(), connections = connections;
                    "clients reach the limits: large bodies refused, or silent connections closed");
                episode = Some(Episode {
                    before,
                    begun: now,
                    latest: now,
                });
            }
            Some(episode) if totals != before => episode.latest = now,
            Some(past) if now.since(past.latest) >= QUIET => {
                let refused = totals.refused - past.before.refused;
                let closed = totals.closed - past.before.closed;
                let lasted = past.latest.since(past.begun).0;
                log::info!(refused = refused, closed = closed, lasted_ms = lasted;
                    "clients no longer reach the limits");
                episode = None;
            }
            _ => {}
        }
    }
}
