//! The status that a VM shows to operators.

use kernel::{Offset, Service, VmId};
use limits::QuotaStatus;
use membership::{Health, Presence};
use metrics::Count;
use routing::{MinionStatus, Policy};
use serde::Serialize;
use std::collections::BTreeMap;
use wire::Connect;

use crate::core::{Core, Stage};
use crate::violations;

/// A VM's status and its view of the fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Stage of the VM: serving, stopping or stopped.
    pub stage: &'static str,
    /// Whether the balancer may send callers to the VM.
    pub ready: bool,
    /// Offset of the change whose sheet is in force on the VM.
    pub sheet: Option<Offset>,
    /// Last changes of the sheet, newest first.
    pub changes: Vec<ChangeStatus>,
    /// Number of times that an older sheet was offered and rejected, or that
    /// two sheets contradicted each other. A value other than zero should be
    /// investigated.
    pub sheet_faults: u64,
    /// Whether the platform's log answers: `answers` or `away`.
    pub log: &'static str,
    /// Offset of the next claim to read from the log.
    pub claims_next: Offset,
    /// Number of keys whose owner is known.
    pub claims: usize,
    /// Number of appends made to the log.
    pub appends: u64,
    /// Peers as the VM sees them.
    pub peers: Vec<PeerStatus>,
    /// Slots and queues of each service.
    pub services: Vec<ServiceStatus>,
    /// Minions as the VM sees them.
    pub minions: Vec<MinionStatus>,
    /// Quotas of teams.
    pub teams: Vec<QuotaStatus>,
    /// Number of running jobs.
    pub running: usize,
    /// Number of kept outcomes.
    pub kept: usize,
    /// Bytes that kept outcomes take.
    pub kept_bytes: usize,
    /// Bytes of the memory for callers' bodies that are reserved.
    pub body_memory: usize,
    /// Counters since the process's start.
    pub counts: BTreeMap<&'static str, u64>,
    /// Number of slots given back that were not held. A value other than zero
    /// is a bug.
    pub broken_slots: u64,
    /// Counters of violated invariants. A value other than zero is a bug.
    #[serde(rename = "faults")]
    pub violations: BTreeMap<&'static str, u64>,
}

/// Result of a change of the sheet.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeStatus {
    /// Id of the change.
    pub id: String,
    /// Offset of the change in the log.
    pub offset: Offset,
    /// Whether the change came into force.
    pub accepted: bool,
    /// Reason why the change was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
}

/// A peer as this VM sees it.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Id of the peer.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Option<String>,
    /// Health of the peer: live, leaving, suspect or gone.
    #[serde(rename = "belief")]
    pub health: &'static str,
    /// Offset of the sheet in force on the peer.
    pub sheet: Option<Offset>,
}

/// Slots and queue of a service on this VM.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: Service,
    /// Number of tasks that wait for a slot.
    pub waiting: usize,
    /// Number of slots that the VM holds.
    pub held: usize,
}

/// Reads a VM's status.
pub fn read<C: Connect, P: Policy>(core: &Core<C, P>) -> Status {
    let (claims_next, claims) = core.claimer.position();
    let (running, kept, kept_bytes) = core.table.sizes();
    let counters = core.sheets.counters();
    Status {
        vm: core.me.vm.clone(),
        incarnation: core.me.incarnation.to_string(),
        stage: stage_name(core.stage()),
        ready: core.ready(),
        sheet: core.sheets.version(),
        changes: changes(core),
        sheet_faults: counters.reverts + counters.forks,
        log: if core.claimer.is_log_away() {
            "away"
        } else {
            "answers"
        },
        claims_next,
        claims,
        appends: core.claimer.appends(),
        peers: peers(core),
        services: services(core),
        minions: core.dispatch.fleet.status(),
        teams: core.dispatch.teams.status(),
        running,
        kept,
        kept_bytes,
        body_memory: core.bodies.used(),
        counts: counts(core),
        broken_slots: core.dispatch.fleet.violations(),
        violations: violations::read(core),
    }
}

/// Returns every counter by its metric's name.
fn counts<C: Connect, P: Policy>(core: &Core<C, P>) -> BTreeMap<&'static str, u64> {
    let read = |count: &Count| (count.name(), core.notes.metrics.count(*count));
    Count::ALL.iter().map(read).collect()
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Serving => "serving",
        Stage::Stopping => "stopping",
        Stage::Stopped => "stopped",
    }
}

fn changes<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<ChangeStatus> {
    let status = |past: sheet::ChangeSummary| {
        let outcome = core.sheets.outcome(past.id);
        ChangeStatus {
            id: past.id.to_string(),
            offset: past.offset,
            accepted: past.accepted,
            refusal: outcome.and_then(|o| o.refusal).map(|r| r.to_string()),
        }
    };
    core.sheets.recent().into_iter().map(status).collect()
}

fn peers<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<PeerStatus> {
    let status = |p: &membership::PeerView| PeerStatus {
        vm: p.id.clone(),
        incarnation: p.incarnation.map(|i| i.to_string()),
        health: health_name(p),
        sheet: p.sheet,
    };
    core.view.load().peers.iter().map(status).collect()
}

fn health_name(peer: &membership::PeerView) -> &'static str {
    match (peer.health, peer.presence) {
        (Health::Gone, _) => "gone",
        (Health::Suspect, _) => "suspect",
        (Health::Live, Presence::Leaving) => "leaving",
        (Health::Live, Presence::Live) => "live",
    }
}

fn services<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<ServiceStatus> {
    let status = |(service, waiting, held)| ServiceStatus {
        service,
        waiting,
        held,
    };
    core.dispatch.load().into_iter().map(status).collect()
}
