//! Heartbeats: what a VM tells its peers, and what it learns from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::Offset;
use limits::QuotaDigest;
use membership::{Action, View};
use routing::{Digest, Policy};
use serde::{Deserialize, Serialize};
use timeline::Stamp;
use wire::Connect;

use crate::core::Core;
use crate::message::{BEAT_PATH, PeerState, STATE_PATH};
use crate::pass::{PeerError, ask};

/// The longest wait for a heartbeat's answer.
const BEAT_WAIT: Duration = Duration::from_millis(400);

/// The longest wait for a peer's state.
const STATE_WAIT: Duration = Duration::from_secs(2);

/// What a heartbeat carries besides membership.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// The sender's use of minions and what it knows of their health.
    pub fleet: Digest,
    /// The sender's use of the teams' quotas.
    pub teams: QuotaDigest,
    /// The sender's use of the teams' quotas in its domain.
    pub home_teams: QuotaDigest,
    /// The sender's use of the services' slots.
    pub services: QuotaDigest,
    /// The sender's hybrid logical clock.
    pub stamp: Stamp,
}

/// A heartbeat.
pub type Beat = membership::Beat<Load>;

/// Writes the heartbeat that goes to all peers now.
pub fn write_beat<C: Connect, P: Policy>(core: &Core<C, P>) -> Beat {
    let now = core.now();
    let load = Load {
        fleet: core.dispatch.fleet.digest(now),
        teams: core.dispatch.teams.digest(now),
        home_teams: core.dispatch.home_teams.digest(now),
        services: core.dispatch.services.digest(now),
        stamp: core.recorder.stamp(),
    };
    let sheet = core.sheets.version();
    let (claims, _) = core.claimer.position();
    core.members().beat(now, sheet, claims, load)
}
