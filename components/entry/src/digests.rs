//! Sends digests in rounds: all VMs of the domain get the same digest at the
//! same time, since a lease that it hands over must reach its receiver and must
//! be counted only once.

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
use crate::pass::call_peer;

/// Interval at which to check whether a round is due.
const ROUND_TICK: Duration = Duration::from_millis(5);

/// Time between two regular rounds, per four peers.
const ROUND_PERIOD: Millis = Millis(250);

/// Timeout of sending a digest to a peer.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes per second of the control budget that early rounds may use
/// (docs/CAPACITY.md).
const BYTE_RATE: u64 = 12_000;

/// Maximum number of unused bytes that the budget saves up.
const MAX_SAVED_BYTES: u64 = 6_000;

/// Bytes of a message and its answer without the digest.
const MESSAGE_OVERHEAD: u64 = 220;

/// A VM's use of quotas and slots, as sent to its peers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UsageDigest {
    /// Use of minions, without loads and without leases, as a lease may be
    /// counted only once.
    pub fleet: Digest,
    /// Use of the teams' quotas over all domains.
    pub teams: QuotaDigest,
    /// Use of the teams' quotas in the VM's domain.
    pub home_teams: QuotaDigest,
    /// Use of the services' slots in the VM's domain.
    pub services: QuotaDigest,
}

impl UsageDigest {
    /// Returns the part that one VM needs. The quotas of the sender's domain
    /// are included only if `same_domain` is set.
    pub fn addressed_to(&self, vm: &VmId, same_domain: bool) -> UsageDigest {
        let part = |all: &QuotaDigest| match same_domain {
            true => all.addressed_to(vm),
            false => QuotaDigest::default(),
        };
        UsageDigest {
            fleet: self.fleet.clone(),
            teams: self.teams.addressed_to(vm),
            home_teams: part(&self.home_teams),
            services: part(&self.services),
        }
    }
}

/// Digest that is sent to all VMs of the domain at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Round {
    /// VM that sends the digest.
    pub from: VmId,
    /// The sender's use of minions, and the leases that it hands over.
    pub fleet: Digest,
    /// The sender's use of quotas.
    #[serde(rename = "told")]
    pub usage: UsageDigest,
}

/// The usage that was last sent. Heartbeats and their answers repeat it, and
/// receivers apply each digest of quotas once, which they recognise by its
/// serial number.
#[derive(Debug, Default)]
pub struct Digests {
    /// Usage that was last sent.
    last: ArcSwap<UsageDigest>,
}

impl Digests {
    /// Returns the usage that was last sent.
    pub fn last(&self) -> Arc<UsageDigest> {
        self.last.load_full()
    }
}

/// Budget of bytes for early rounds.
#[derive(Debug)]
struct ByteBudget {
    /// Bytes left; may be below zero, as regular rounds are not limited.
    left: i64,
    /// Time of the last refill.
    at: Timestamp,
}

impl ByteBudget {
    fn refill(&mut self, now: Timestamp) {
        let gained = now.micros_since(self.at) * BYTE_RATE / 1_000_000;
        if gained > 0 {
            self.left = (self.left + gained as i64).min(MAX_SAVED_BYTES as i64);
            self.at = now;
        }
    }

    fn spend(&mut self, bytes: u64) {
        self.left = (self.left - bytes as i64).max(-(MAX_SAVED_BYTES as i64));
    }
}

/// Sends regular rounds, and early ones as soon as a lease can be handed to a
/// VM whose tasks wait and the budget allows it.
pub async fn send_rounds<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(ROUND_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut budget = ByteBudget {
        left: 0,
        at: core.now(),
    };
    let mut last = core.now();
    loop {
        ticks.tick().await;
        let now = core.now();
        budget.refill(now);
        let peers = domain_peers(&core);
        let regular = now >= last.after(round_period(peers.len()));
        if regular {
            last = now;
            update_quotas(&core, now);
        }
        if regular || (budget.left > 0 && core.dispatch.fleet.urgent(now)) {
            budget.spend(send_round(&core, peers, now));
        }
    }
}

/// Returns the time between two regular rounds.
fn round_period(peers: usize) -> Millis {
    Millis(ROUND_PERIOD.0 * peers.div_ceil(4).max(1) as u64)
}

/// Returns the peers of this domain that take work.
fn domain_peers<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<PeerView> {
    let usable = |p: &&PeerView| p.domain == core.cfg.domain && p.takes_work();
    core.view
        .load()
        .peers
        .iter()
        .filter(usable)
        .cloned()
        .collect()
}

/// Decides anew about loans of quotas. Early rounds repeat the last decision,
/// as loans decay with each decision.
fn update_quotas<C: Connect, P: Policy>(core: &Core<C, P>, now: Timestamp) {
    let dispatch = &core.dispatch;
    dispatch.request_quotas();
    let last = core.digests.last();
    core.digests.last.store(Arc::new(UsageDigest {
        fleet: last.fleet.clone(),
        teams: dispatch.teams.digest(now),
        home_teams: dispatch.home_teams.digest(now),
        services: dispatch.services.digest(now),
    }));
}

/// Sends a digest to the peers and returns the number of bytes that this takes.
fn send_round<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    peers: Vec<PeerView>,
    now: Timestamp,
) -> u64 {
    let fleet = core.dispatch.fleet.digest(now);
    let mut usage = UsageDigest::clone(&core.digests.last());
    usage.fleet = fleet.capacity_only();
    core.digests.last.store(Arc::new(usage.clone()));
    let round = Round {
        from: core.me.vm.clone(),
        fleet,
        usage,
    };
    let size = wire::encode(&round).map_or(0, |b| b.len() as u64);
    let bytes = peers.len() as u64 * (size + MESSAGE_OVERHEAD);
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
            let reply =
                call_peer::<_, _, ()>(&core.peers, peer.peers, DIGEST_PATH, round, DIGEST_TIMEOUT);
            if reply.await.is_err() {
                // Leases that were lost with the digest are restored later.
                core.peers.close_idle(peer.peers);
            }
        }
    };
    join_all(peers.into_iter().map(one)).await;
}

/// Applies a digest from another VM.
pub fn apply_round<C: Connect, P: Policy>(core: &Core<C, P>, round: &Round) {
    let now = core.now();
    core.dispatch
        .fleet
        .apply_digest(&round.from, &round.fleet, now);
    let same_domain = round.fleet.domain.as_ref() == Some(&core.cfg.domain);
    apply_quotas(core, &round.from, &round.usage, same_domain);
}

/// Applies a VM's use of quotas. The quotas of the domain are applied only if
/// `same_domain` is set.
pub fn apply_quotas<C: Connect, P: Policy>(
    core: &Core<C, P>,
    from: &VmId,
    usage: &UsageDigest,
    same_domain: bool,
) {
    let now = core.now();
    let dispatch = &core.dispatch;
    dispatch.teams.apply_digest(from, &usage.teams, now);
    if same_domain {
        dispatch
            .home_teams
            .apply_digest(from, &usage.home_teams, now);
        dispatch.services.apply_digest(from, &usage.services, now);
    }
}
