//! What a VM shows operators.

use kernel::{Offset, Service, VmId};
use limits::QuotaStatus;
use membership::{Health, Presence};
use metrics::Count;
use routing::{MinionStatus, Policy};
use serde::Serialize;
use std::collections::BTreeMap;
use wire::Connect;

use crate::core::{Core, Stage};
use crate::faults;

/// One VM's view of the fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// The life of its process.
    pub incarnation: String,
    /// How far the VM is: serving, stopping or stopped.
    pub stage: &'static str,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// The offset of the change whose sheet is in force here.
    pub sheet: Option<Offset>,
    /// The last changes of the sheet, newest first.
    pub changes: Vec<ChangeStatus>,
    /// Times that an older sheet was offered and not taken, or a newer one was
    /// contradicted; any but zero deserves a look.
    pub sheet_faults: u64,
    /// Whether the platform's log answers.
    pub log: &'static str,
    /// The next claim to read from the log.
    pub claims_next: Offset,
    /// Keys of which the owner is known.
    pub claims: usize,
    /// Appends made to the log.
    pub appends: u64,
    /// The peers.
    pub peers: Vec<PeerStatus>,
    /// Slots and queues by service.
    pub services: Vec<ServiceStatus>,
    /// The minions.
    pub minions: Vec<MinionStatus>,
    /// The quotas of teams.
    pub teams: Vec<QuotaStatus>,
    /// Jobs that run.
    pub running: usize,
    /// Answers kept.
    pub kept: usize,
    /// The bytes that kept answers take.
    pub kept_bytes: usize,
    /// Counters since the process's start.
    pub counts: BTreeMap<&'static str, u64>,
    /// Slots given back that nobody held; any but zero is a fault.
    pub broken_slots: u64,
    /// Counts of what must never happen; any but zero is a fault.
    pub faults: BTreeMap<&'static str, u64>,
}

/// What became of a change of the sheet.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeStatus {
    /// The change's id.
    pub id: String,
    /// Its offset.
    pub offset: Offset,
    /// Whether it came into force.
    pub accepted: bool,
    /// Why it was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
}

/// A peer as this VM sees it.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub vm: VmId,
    /// The life of its process.
    pub incarnation: Option<String>,
    /// What this VM believes of it.
    pub belief: &'static str,
    /// The sheet in force there.
    pub sheet: Option<Offset>,
}

/// A service's slots and queue.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// Tasks that wait here.
    pub waiting: usize,
    /// Slots held here.
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
        stage: stage_word(core.stage()),
        ready: core.ready(),
        sheet: core.sheets.version(),
        changes: changes(core),
        sheet_faults: counters.reverts + counters.forks,
        log: if core.claimer.away() {
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
        counts: counts(core),
        broken_slots: core.dispatch.fleet.violations(),
        faults: faults::read(core),
    }
}

/// Returns every counter by its metric's name.
fn counts<C: Connect, P: Policy>(core: &Core<C, P>) -> BTreeMap<&'static str, u64> {
    let read = |count: &Count| (count.name(), core.notes.metrics.count(*count));
    Count::ALL.iter().map(read).collect()
}

fn stage_word(stage: Stage) -> &'static str {
    match stage {
        Stage::Serving => "serving",
        Stage::Stopping => "stopping",
        Stage::Stopped => "stopped",
    }
}

fn changes<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<ChangeStatus> {
    let told = |past: sheet::ChangeSummary| {
        let judged = core.sheets.judged(past.id);
        ChangeStatus {
            id: past.id.to_string(),
            offset: past.offset,
            accepted: past.accepted,
            refusal: judged.and_then(|j| j.refusal).map(|r| r.to_string()),
        }
    };
    core.sheets.recent().into_iter().map(told).collect()
}

fn peers<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<PeerStatus> {
    let status = |p: &membership::PeerView| PeerStatus {
        vm: p.id.clone(),
        incarnation: p.incarnation.map(|i| i.to_string()),
        belief: belief(p),
        sheet: p.sheet,
    };
    core.view.load().peers.iter().map(status).collect()
}

fn belief(peer: &membership::PeerView) -> &'static str {
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
