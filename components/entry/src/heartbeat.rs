//! Sends and answers heartbeats, and applies what they carry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use kernel::VmId;
use membership::{Contact, ListedVm, Listing, Presence, Target};
use routing::Policy;
use serde::{Deserialize, Serialize};
use timeline::Stamp;
use wire::{CallError, Connect};

use crate::core::Core;
use crate::digests::{UsageDigest, apply_quotas};
use crate::message::{HEARTBEAT_PATH, PeerState, STATE_PATH};
use crate::pass::{PeerError, call_peer};
use metrics::Count;

/// Timeout of a heartbeat's answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of reading a peer's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Data that a heartbeat carries besides membership.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Load {
    /// The sender's use of slots and quotas, as last sent to its peers.
    #[serde(rename = "told")]
    pub usage: Arc<UsageDigest>,
    /// Time of the sender's hybrid logical clock.
    pub stamp: Stamp,
}

impl Load {
    /// Returns the part that one VM needs. At 40 VMs and 830 minions the whole
    /// would exceed the bandwidth bound of control messages.
    pub fn addressed_to(&self, vm: &VmId, same_domain: bool) -> Load {
        Load {
            usage: Arc::new(self.usage.addressed_to(vm, same_domain)),
            stamp: self.stamp,
        }
    }
}

/// Heartbeat between entry VMs.
pub type Heartbeat = membership::Heartbeat<Load>;

/// Converts the platform's list of machines to the form that membership uses.
pub fn listed(listing: &logstore::MachineList) -> Listing {
    let vm = |row: &logstore::VmRow| ListedVm {
        id: row.id.clone(),
        domain: row.domain.clone(),
        callers: row.callers,
        peers: row.peers,
        presence: match row.presence {
            logstore::Presence::Live => Presence::Live,
            logstore::Presence::Leaving => Presence::Leaving,
        },
    };
    let leaving = |row: &&logstore::MinionRow| row.presence == logstore::Presence::Leaving;
    let minions = listing.minions.iter().filter(leaving);
    Listing {
        vms: listing.vms.iter().map(vm).collect(),
        leaving: minions.map(|row| row.id.clone()).collect(),
    }
}

fn load<C: Connect, P: Policy>(core: &Core<C, P>) -> Load {
    Load {
        usage: core.digests.last(),
        stamp: core.notes.recorder.stamp(),
    }
}

/// Sends the heartbeats that are due.
pub fn send_due_heartbeats<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let targets = {
        let (claims, _) = core.claimer.position();
        let mut members = core.members();
        members.set_offsets(core.sheets.version(), Some(claims));
        members.tick(core.now())
    };
    if targets.is_empty() {
        return;
    }
    // The load is read once, as digests are numbered: all peers must get parts of
    // the same one.
    let load = load(core);
    let view = core.view.load();
    for target in targets {
        let peer = view.peers.iter().find(|p| p.id == target.id);
        let same_domain = peer.is_none_or(|p| p.domain == core.cfg.domain);
        let load = load.addressed_to(&target.id, same_domain);
        tokio::spawn(send_heartbeat(core.clone(), target, load));
    }
}

/// Sends a heartbeat to every live peer and waits for the answers.
pub async fn send_all_heartbeats<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let view = core.view.load_full();
    let live = |p: &&membership::PeerView| p.health == membership::Health::Live;
    let target = |p: &membership::PeerView| Target {
        id: p.id.clone(),
        addr: p.peers,
        incarnation: p.incarnation,
    };
    let load = load(core);
    let targets = view.peers.iter().filter(live).map(target);
    join_all(targets.map(|t| send_heartbeat(core.clone(), t, load.clone()))).await;
}

async fn send_heartbeat<C: Connect, P: Policy>(core: Arc<Core<C, P>>, target: Target, load: Load) {
    let heartbeat = core.members().heartbeat(core.now(), &target, load);
    core.notes.metrics.add(Count::HeartbeatSent, 1);
    let answer = call_peer::<_, _, Heartbeat>(
        &core.peers,
        target.addr,
        HEARTBEAT_PATH,
        &heartbeat,
        HEARTBEAT_TIMEOUT,
    )
    .await;
    match answer {
        Ok(reply) => {
            core.members().on_reply(core.now(), &target, &reply);
            apply_load(&core, &reply);
        }
        Err(PeerError::Call(CallError::Refused)) => {
            let mut members = core.members();
            members.on_request(core.now(), &target.id, Contact::Refused);
        }
        Err(_) => {
            // The connections may have gone silent and must not be reused.
            core.peers.close_idle(target.addr);
            core.members().on_failure(core.now(), &target);
        }
    }
}

/// Sends a heartbeat to a seed address of the settings, whose VM is not known
/// yet.
pub async fn contact_seed<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, addr: SocketAddr) {
    let target = Target {
        id: core.me.vm.clone(),
        addr,
        incarnation: None,
    };
    let heartbeat = core.members().heartbeat(core.now(), &target, load(core));
    let answer = call_peer::<_, _, Heartbeat>(
        &core.peers,
        addr,
        HEARTBEAT_PATH,
        &heartbeat,
        HEARTBEAT_TIMEOUT,
    )
    .await;
    if let Ok(reply) = answer {
        core.members().on_heartbeat(core.now(), &reply);
        apply_load(core, &reply);
    }
}

/// Applies a peer's heartbeat and returns this VM's own as the answer.
pub fn answer_heartbeat<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    heartbeat: Heartbeat,
) -> Heartbeat {
    core.members().on_heartbeat(core.now(), &heartbeat);
    apply_load(core, &heartbeat);
    let same_domain = heartbeat.from.domain == core.cfg.domain;
    let load = load(core).addressed_to(&heartbeat.from.id, same_domain);
    core.members().reply(core.now(), &heartbeat.from, load)
}

/// Applies the data that a heartbeat carries besides membership, and fetches
/// the sender's sheet if it is newer.
fn apply_load<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, heartbeat: &Heartbeat) {
    let load = &heartbeat.note;
    core.notes.recorder.observe(load.stamp);
    let same_domain = heartbeat.from.domain == core.cfg.domain;
    apply_quotas(core, &heartbeat.from.id, &load.usage, same_domain);
    if !same_domain {
        let fleet = &core.dispatch.fleet;
        fleet.apply_digest(&heartbeat.from.id, &load.usage.fleet, core.now());
    }
    if heartbeat.sheet > core.sheets.version() {
        tokio::spawn(fetch_state(core.clone(), heartbeat.from.peers));
    }
}

/// Reads a peer's state and adopts its sheet and, while the platform's list of
/// machines is not known, its list. Returns whether the peer answered.
pub async fn fetch_state<C: Connect, P: Policy>(core: Arc<Core<C, P>>, addr: SocketAddr) -> bool {
    let answer =
        call_peer::<_, _, PeerState>(&core.peers, addr, STATE_PATH, &(), STATE_TIMEOUT).await;
    let Ok(state) = answer else {
        return false;
    };
    if let Some(snapshot) = state.sheet {
        core.sheets.adopt(snapshot);
    }
    if let Some(listing) = state.listing
        && core.listing.load().is_none()
    {
        core.set_listing(listing);
    }
    true
}

/// Reads the state of peers, those of this domain first, until one answers.
pub async fn fetch_sheet<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let view = core.view.load_full();
    let mut peers: Vec<_> = view.peers.iter().collect();
    peers.sort_by_key(|p| (p.health, p.domain != core.cfg.domain));
    for peer in peers {
        if fetch_state(core.clone(), peer.peers).await {
            return;
        }
    }
}
