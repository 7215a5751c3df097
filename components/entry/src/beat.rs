//! Heartbeats: what a VM tells its peers, and what it learns from them.

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
use crate::digests::{Told, take_quotas};
use crate::message::{BEAT_PATH, PeerState, STATE_PATH};
use crate::pass::{PeerError, ask};
use metrics::Count;

/// The longest wait for a heartbeat's answer.
const BEAT_WAIT: Duration = Duration::from_millis(400);

/// The longest wait for a peer's state.
const STATE_WAIT: Duration = Duration::from_secs(2);

/// What a heartbeat carries besides membership.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Load {
    /// The sender's use of slots and quotas, as it was last told.
    pub told: Arc<Told>,
    /// The sender's hybrid logical clock.
    pub stamp: Stamp,
}

impl Load {
    /// Returns what one VM needs of this, which is far less than the whole: at
    /// 40 VMs and 830 minions the rest would break the bound of control.
    pub fn addressed_to(&self, vm: &VmId, near: bool) -> Load {
        Load {
            told: Arc::new(self.told.addressed_to(vm, near)),
            stamp: self.stamp,
        }
    }
}

/// A heartbeat.
pub type Heartbeat = membership::Heartbeat<Load>;

/// Converts the platform's list to what membership knows.
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
        told: core.digests.last(),
        stamp: core.notes.recorder.stamp(),
    }
}

/// Sends the heartbeats that are due.
pub fn beat_due<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let targets = {
        let (claims, _) = core.claimer.position();
        let mut members = core.members();
        members.set_offsets(core.sheets.version(), Some(claims));
        members.tick(core.now())
    };
    if targets.is_empty() {
        return;
    }
    // One digest goes to all, as digests are counted; each gets its part.
    let load = load(core);
    let view = core.view.load();
    for target in targets {
        let peer = view.peers.iter().find(|p| p.id == target.id);
        let near = peer.is_none_or(|p| p.domain == core.cfg.domain);
        let load = load.addressed_to(&target.id, near);
        tokio::spawn(beat_one(core.clone(), target, load));
    }
}

/// Sends a heartbeat to every live peer and waits for the answers.
pub async fn beat_all<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let view = core.view.load_full();
    let live = |p: &&membership::PeerView| p.health == membership::Health::Live;
    let target = |p: &membership::PeerView| Target {
        id: p.id.clone(),
        addr: p.peers,
        incarnation: p.incarnation,
    };
    let load = load(core);
    let targets = view.peers.iter().filter(live).map(target);
    join_all(targets.map(|t| beat_one(core.clone(), t, load.clone()))).await;
}

async fn beat_one<C: Connect, P: Policy>(core: Arc<Core<C, P>>, target: Target, load: Load) {
    let beat = core.members().heartbeat(core.now(), &target, load);
    core.notes.metrics.add(Count::HeartbeatSent, 1);
    let answer =
        ask::<_, _, Heartbeat>(&core.peers, target.addr, BEAT_PATH, &beat, BEAT_WAIT).await;
    match answer {
        Ok(reply) => {
            core.members().on_reply(core.now(), &target, &reply);
            learn(&core, &reply);
        }
        Err(PeerError::Call(CallError::Refused)) => {
            let mut members = core.members();
            members.on_request(core.now(), &target.id, Contact::Refused);
        }
        Err(_) => {
            // A connection that has gone silent must not be used again.
            core.peers.close_idle(target.addr);
            core.members().on_failure(core.now(), &target);
        }
    }
}

/// Greets an address of the settings, behind which nobody is known yet.
pub async fn greet<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, addr: SocketAddr) {
    let target = Target {
        id: core.me.vm.clone(),
        addr,
        incarnation: None,
    };
    let beat = core.members().heartbeat(core.now(), &target, load(core));
    let answer = ask::<_, _, Heartbeat>(&core.peers, addr, BEAT_PATH, &beat, BEAT_WAIT).await;
    if let Ok(reply) = answer {
        core.members().on_heartbeat(core.now(), &reply);
        learn(core, &reply);
    }
}

/// Takes in a peer's heartbeat and answers with this VM's own.
pub fn answer_beat<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, beat: Heartbeat) -> Heartbeat {
    core.members().on_heartbeat(core.now(), &beat);
    learn(core, &beat);
    let near = beat.from.domain == core.cfg.domain;
    let load = load(core).addressed_to(&beat.from.id, near);
    core.members().reply(core.now(), &beat.from, load)
}

/// Takes in what a heartbeat carries besides membership.
fn learn<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, beat: &Heartbeat) {
    let load = &beat.note;
    core.notes.recorder.observe(load.stamp);
    let near = beat.from.domain == core.cfg.domain;
    take_quotas(core, &beat.from.id, &load.told, near);
    if !near {
        let fleet = &core.dispatch.fleet;
        fleet.apply_digest(&beat.from.id, &load.told.fleet, core.now());
    }
    if beat.sheet > core.sheets.version() {
        tokio::spawn(pull(core.clone(), beat.from.peers));
    }
}

/// Takes over a peer's sheet and, while the platform's list is not known, its
/// list of machines. It answers whether the peer answered.
pub async fn pull<C: Connect, P: Policy>(core: Arc<Core<C, P>>, addr: SocketAddr) -> bool {
    let answer = ask::<_, _, PeerState>(&core.peers, addr, STATE_PATH, &(), STATE_WAIT).await;
    let Ok(state) = answer else {
        return false;
    };
    if let Some(snapshot) = state.sheet {
        core.sheets.adopt(snapshot);
    }
    if let Some(listing) = state.listing
        && core.listing.load().is_none()
    {
        core.take_listing(listing);
    }
    true
}

/// Asks peers for their sheet, those of this domain first, until one answers.
pub async fn ask_peers<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    let view = core.view.load_full();
    let mut peers: Vec<_> = view.peers.iter().collect();
    peers.sort_by_key(|p| (p.health, p.domain != core.cfg.domain));
    for peer in peers {
        if pull(core.clone(), peer.peers).await {
            return;
        }
    }
}
