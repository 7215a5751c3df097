//! Rounds of digests: all VMs of the domain get the same one at once, since a
//! lease that it hands over may count only once and must reach its receiver.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::future::join_all;
use kernel::{Millis, Timestamp, VmId};
use limits::QuotaDigest;
use membership::PeerView;
use metrics::Count;
use routing::{Digest, Policy};
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use wire::Connect;

use crate::core::Core;
use crate::message::DIGEST_PATH;
use crate::pass::ask;

/// How often it is looked whether a round is due.
const LOOK: Duration = Duration::from_millis(5);

/// The time between two rounds that nothing hastens, for each four peers.
const ROUND: Millis = Millis(250);

/// The longest wait for a peer to take a digest.
const DIGEST_WAIT: Duration = Duration::from_millis(400);

/// The bytes a second that hastened rounds may use of the control budget
/// (docs/CAPACITY.md).
const BYTE_RATE: u64 = 12_000;

/// The bytes that may be saved up.
const BYTE_MAX: u64 = 6_000;

/// The bytes of a message and its answer besides the digest.
const HEAD_SIZE: u64 = 220;

/// A VM's use of quotas and slots, as it was last told.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Told {
    /// The use of minions, without what may count only once.
    pub fleet: Digest,
    /// The use of the teams' quotas.
    pub teams: QuotaDigest,
    /// The use of the teams' quotas in its domain.
    pub home_teams: QuotaDigest,
    /// The use of the services' slots in its domain.
    pub services: QuotaDigest,
}

impl Told {
    /// Returns what one VM needs of this. The use of what holds in the domain
    /// concerns its own VMs only.
    pub fn addressed_to(&self, vm: &VmId, near: bool) -> Told {
        let part = |all: &QuotaDigest| match near {
            true => all.addressed_to(vm),
            false => QuotaDigest::default(),
        };
        Told {
            fleet: self.fleet.clone(),
            teams: self.teams.addressed_to(vm),
            home_teams: part(&self.home_teams),
            services: part(&self.services),
        }
    }
}

/// A digest to the VMs of the domain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Round {
    /// The sender.
    pub from: VmId,
    /// Its use of minions, and the leases that it hands over.
    pub fleet: Digest,
    /// Its use of quotas.
    pub told: Told,
}

/// What was last told, which heartbeats and their answers repeat: receivers
/// know a digest of quotas by its serial and take it in once.
#[derive(Debug, Default)]
pub struct Digests {
    /// The digests.
    last: ArcSwap<Told>,
}

impl Digests {
    /// Returns what was last told.
    pub fn last(&self) -> Arc<Told> {
        self.last.load_full()
    }
}

/// The bytes that hastened rounds may still use.
#[derive(Debug)]
struct Allowance {
    /// The bytes left; below zero after a regular round.
    left: i64,
    /// When they were last counted.
    at: Timestamp,
}

impl Allowance {
    fn refill(&mut self, now: Timestamp) {
        let gained = now.micros_since(self.at) * BYTE_RATE / 1_000_000;
        if gained > 0 {
            self.left = (self.left + gained as i64).min(BYTE_MAX as i64);
            self.at = now;
        }
    }

    fn spend(&mut self, bytes: u64) {
        self.left = (self.left - bytes as i64).max(-(BYTE_MAX as i64));
    }
}

/// Sends rounds: regular ones, and others as soon as leases would go where
/// tasks wait.
pub async fn send_rounds<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut left = Allowance {
        left: 0,
        at: core.now(),
    };
    let mut last = core.now();
    loop {
        look.tick().await;
        let now = core.now();
        left.refill(now);
        let peers = near_peers(&core);
        let regular = now >= last.after(pause(peers.len()));
        if regular {
            last = now;
            renew(&core, now);
        }
        if regular || (left.left > 0 && core.dispatch.fleet.urgent(now)) {
            left.spend(send(&core, peers, now));
        }
    }
}

/// Returns the time between two regular rounds.
fn pause(peers: usize) -> Millis {
    Millis(ROUND.0 * peers.div_ceil(4).max(1) as u64)
}

/// Lists the live VMs of this domain.
fn near_peers<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<PeerView> {
    let near = |p: &&PeerView| p.domain == core.cfg.domain && p.takes_work();
    core.view
        .load()
        .peers
        .iter()
        .filter(near)
        .cloned()
        .collect()
}

/// Decides about loans of quotas anew. Hastened rounds repeat the last
/// decision, as loans decay with each.
fn renew<C: Connect, P: Policy>(core: &Core<C, P>, now: Timestamp) {
    let dispatch = &core.dispatch;
    dispatch.tell_wants();
    let last = core.digests.last();
    core.digests.last.store(Arc::new(Told {
        fleet: last.fleet.clone(),
        teams: dispatch.teams.digest(now),
        home_teams: dispatch.home_teams.digest(now),
        services: dispatch.services.digest(now),
    }));
}

/// Sends a digest to peers and returns the bytes that it takes.
fn send<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    peers: Vec<PeerView>,
    now: Timestamp,
) -> u64 {
    let fleet = core.dispatch.fleet.digest(now);
    let mut told = Told::clone(&core.digests.last());
    told.fleet = fleet.capacity_only();
    core.digests.last.store(Arc::new(told.clone()));
    let round = Round {
        from: core.me.vm.clone(),
        fleet,
        told,
    };
    let size = wire::encode(&round).map_or(0, |b| b.len() as u64);
    let bytes = peers.len() as u64 * (size + HEAD_SIZE);
    tokio::spawn(send_all(core.clone(), peers, round));
    bytes
}

async fn send_all<C: Connect, P: Policy>(
    core: Arc<Core<C, P>>,
    peers: Vec<PeerView>,
    round: Round,
) {
    let one = |peer: PeerView| {
        let (core, round) = (&core, &round);
        async move {
            core.notes.metrics.add(Count::DigestSent, 1);
            let told = ask::<_, _, ()>(&core.peers, peer.peers, DIGEST_PATH, round, DIGEST_WAIT);
            if told.await.is_err() {
                // Leases that are lost with it are made up for later.
                core.peers.close_idle(peer.peers);
            }
        }
    };
    join_all(peers.into_iter().map(one)).await;
}

/// Takes in a digest of a VM of this domain.
pub fn take_round<C: Connect, P: Policy>(core: &Core<C, P>, round: &Round) {
    let now = core.now();
    core.dispatch
        .fleet
        .apply_digest(&round.from, &round.fleet, now);
    let near = round.fleet.domain.as_ref() == Some(&core.cfg.domain);
    take_quotas(core, &round.from, &round.told, near);
}

/// Takes in a VM's use of quotas; those of a domain concern its own VMs only.
pub fn take_quotas<C: Connect, P: Policy>(core: &Core<C, P>, from: &VmId, told: &Told, near: bool) {
    let now = core.now();
    let dispatch = &core.dispatch;
    dispatch.teams.apply_digest(from, &told.teams, now);
    if near {
        dispatch
            .home_teams
            .apply_digest(from, &told.home_teams, now);
        dispatch.services.apply_digest(from, &told.services, now);
    }
}
