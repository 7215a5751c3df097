//! The set of minions that a VM can use, shared by all its tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, VmId};

use crate::bits::{AtomicBits, Mask};
use crate::config::RoutingConfig;
use crate::digest::Digest;
use crate::health::Mode;
use crate::in_flight::MAX_IN_FLIGHT;
use crate::minion::{MinionInfo, MinionStatus, Node};
use crate::policy::{Load, Policy};
use crate::shared::Shared;
use crate::slot::{Slot, Unavailable};
use crate::table::{ServiceMinions, Table};

/// Number of random samples tried before all minions are scanned.
const SAMPLE_ROUNDS: usize = 4;

/// Increment of the SplitMix64 random number generator.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The minions with their load and health, as one VM knows them. A pick takes
/// no lock, because updates swap the table as a whole.
#[derive(Debug)]
pub struct Fleet<P: Policy> {
    /// The state shared with the slots in use.
    shared: Arc<Shared>,
    /// The policy that picks a minion.
    policy: P,
    /// The state of the random number generator.
    rng_state: AtomicU64,
}

impl<P: Policy> Fleet<P> {
    /// Creates a fleet without minions for a VM of the domain `home`.
    pub fn new(home: Domain, cfg: RoutingConfig, policy: P) -> Fleet<P> {
        Fleet {
            rng_state: AtomicU64::new(cfg.seed),
            shared: Arc::new(Shared::new(home, cfg, P::OUTLIERS)),
            policy,
        }
    }

    /// Replaces the minions. A minion whose id and address are unchanged keeps
    /// its counts and its health.
    pub fn update(&self, minions: &[MinionInfo]) {
        self.shared.update(minions);
    }

    /// Sets the rank of this VM among the live VMs of its domain, counted from
    /// 0, and their number. The VMs share the slots of the minions evenly.
    pub fn set_peers(&self, rank: usize, live_vms: usize) {
        self.shared.set_peers(rank, live_vms);
    }

    /// Sets the number of tasks of a service that wait for a slot, so that the
    /// expected wait can be compared with the extra trip to another domain.
    pub fn set_waiting(&self, service: &Service, tasks: usize) {
        if let Some(minions) = self.shared.table.load().services.get(service) {
            minions.demand.set_waiting(tasks);
        }
    }

    /// Takes a slot for a task that needs `cores`, on none of the minions in
    /// `avoid`. Minions of the home domain come first; other domains are used
    /// when waiting would take longer than the trip.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable::Full`] when a slot may become free later, and
    /// another [`Unavailable`] when waiting would not help.
    pub fn acquire(
        &self,
        service: &Service,
        cores: Cores,
        avoid: &[MinionId],
        now: Timestamp,
    ) -> Result<Slot, Unavailable> {
        self.shared.refresh_due(now);
        let table = self.shared.table.load();
        let minions = find_service(&table, service, cores)?;
        let request = Request {
            cores,
            avoid,
            now,
            safe: false,
        };
        let local = self.pick_local(&table, &minions.local, &request);
        let node = match local {
            Some(node) => node,
            None => self
                .pick_remote(&table, minions, &request)
                .ok_or(Unavailable::Full)?,
        };
        self.shared.budget.earn();
        let demand = minions.demand.clone();
        Ok(Slot::new(self.shared.clone(), node, demand, now))
    }

    /// Checks whether any minion offers the service and has enough cores, without
    /// taking a slot.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable::NoMinion`] or [`Unavailable::TooLarge`].
    pub fn fits(&self, service: &Service, cores: Cores) -> Result<(), Unavailable> {
        find_service(&self.shared.table.load(), service, cores).map(|_| ())
    }

    /// Builds the digest of load and evidence that is sent to other VMs, and
    /// grants spare leases in it.
    pub fn digest(&self, now: Timestamp) -> Digest {
        self.shared.digest(now)
    }

    /// Returns whether a digest should go out before the next heartbeat,
    /// because it would move leases to a VM whose tasks wait. Callers check
    /// this when tasks wait or a digest arrived; it is true at most 40 times a
    /// second.
    pub fn urgent(&self, now: Timestamp) -> bool {
        self.shared.urgent(now)
    }

    /// Applies the digest of another VM.
    pub fn apply_digest(&self, from: &VmId, digest: &Digest, now: Timestamp) {
        self.shared.apply_digest(from, digest, now);
    }

    /// Returns the status of all minions, for operators.
    pub fn status(&self) -> Vec<MinionStatus> {
        self.shared.status()
    }

    /// Returns how often a slot was freed that was not in use. Any value but
    /// zero is a bug in this crate.
    pub fn violations(&self) -> u64 {
        self.shared.violations.load(Ordering::Relaxed)
    }

    /// Returns the number of slots of the home domain that a service can use,
    /// for admission. Ejected minions don't count.
    pub fn capacity(&self, service: &Service) -> Slots {
        let table = self.shared.table.load();
        let slots = |minions: &ServiceMinions| {
            let all = minions.local.iter().map(|i| &table.nodes[i]);
            let good = all.filter(|n| n.state.mode() != Mode::Ejected);
            good.map(|n| n.info.slots.0).sum()
        };
        Slots(table.services.get(service).map_or(0, slots))
    }

    /// Takes a slot on a minion of another domain, if waiting here would take
    /// longer than the trip.
    fn pick_remote(
        &self,
        table: &Table,
        minions: &ServiceMinions,
        request: &Request,
    ) -> Option<Arc<Node>> {
        for pool in &minions.remote {
            if !self.shared.may_spill(minions, &pool.domain, request.now) {
                continue;
            }
            if let Some(node) = self.pick(table, &pool.mask, request) {
                self.shared.record_spill(&pool.domain, request.now);
                return Some(node);
            }
        }
        None
    }

    /// Picks a minion of the home domain, first among slots on soft lease, then
    /// among others if the budget allows to risk a refusal.
    fn pick_local(&self, table: &Table, mask: &Mask, request: &Request) -> Option<Arc<Node>> {
        let leased_only = Request {
            safe: true,
            ..*request
        };
        let leased = self.pick(table, mask, &leased_only);
        if leased.is_some() || !self.shared.budget.allows() {
            return leased;
        }
        self.pick(table, mask, request)
    }

    /// Picks a minion of the set and takes a slot on it.
    fn pick(&self, table: &Table, mask: &Mask, request: &Request) -> Option<Arc<Node>> {
        if P::CHOICES == usize::MAX {
            return self.scan(table, mask, request);
        }
        for _ in 0..SAMPLE_ROUNDS {
            let count = mask.count(request.bits(table));
            if count == 0 {
                return None;
            }
            let Some(best) = self.sample(table, mask, count, request) else {
                continue;
            };
            if self.reserve(&table.nodes[best], request) {
                return Some(table.nodes[best].clone());
            }
        }
        self.scan(table, mask, request)
    }

    /// Samples a few open minions and returns the position of the one with the
    /// lowest cost.
    fn sample(&self, table: &Table, mask: &Mask, count: u32, request: &Request) -> Option<usize> {
        let mut best = None;
        for _ in 0..P::CHOICES.min(count as usize) {
            let nth = self.random_below(count);
            let Some(at) = mask.nth(request.bits(table), nth) else {
                continue;
            };
            let Some(cost) = self.cost(table, at, request) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Compares all minions of the set, starting at a random one, and takes a
    /// slot on the one with the lowest cost.
    fn scan(&self, table: &Table, mask: &Mask, request: &Request) -> Option<Arc<Node>> {
        loop {
            let from = self.random_below(u32::MAX);
            let mut best = None;
            for at in mask.iter_from(request.bits(table), from) {
                let Some(cost) = self.cost(table, at, request) else {
                    continue;
                };
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, at));
                }
            }
            let (_, at) = best?;
            if self.reserve(&table.nodes[at], request) {
                return Some(table.nodes[at].clone());
            }
        }
    }

    /// Returns the cost of a minion, or `None` when it can't be used. A minion
    /// that can't take any task is removed from the open ones.
    fn cost(&self, table: &Table, at: usize, request: &Request) -> Option<u32> {
        let node = &table.nodes[at];
        if node.info.cores < request.cores || request.avoid.contains(&node.info.id) {
            return None;
        }
        let load = self.load(node, node.state.in_flight.count());
        if self.usable(node, &load, request) {
            return Some(self.policy.cost(&load));
        }
        // A slot may have been freed between the check and the removal, so the
        // check is repeated.
        request.bits(table).clear(at);
        if self.usable(
            node,
            &self.load(node, node.state.in_flight.count()),
            request,
        ) {
            request.bits(table).set(at);
        }
        None
    }

    /// Takes a slot on a minion; returns false if it can no longer be used, for
    /// instance because other threads took its last slots.
    fn reserve(&self, node: &Node, request: &Request) -> bool {
        loop {
            let snapshot = node.state.in_flight.read();
            let load = self.load(node, snapshot.count());
            if !self.usable(node, &load, request) {
                return false;
            }
            if node.state.in_flight.add(snapshot, request.now) {
                return true;
            }
        }
    }

    /// Returns whether the minion may get another task.
    fn usable(&self, node: &Node, load: &Load, request: &Request) -> bool {
        if load.own >= load.slots || node.state.closed_until.load(Ordering::Relaxed) > request.now.0
        {
            return false;
        }
        match node.state.mode() {
            Mode::Normal if request.safe => self.policy.safe(load),
            Mode::Normal => self.policy.open(load),
            // A probe needs a slot on lease as well, or it might be refused.
            Mode::Suspect | Mode::Ejected => {
                load.own == 0 && (!request.safe || self.policy.safe(load))
            }
        }
    }

    /// Returns the load of a minion.
    fn load(&self, node: &Node, own: u32) -> Load {
        Load {
            own,
            peers: node.state.peers.load(Ordering::Relaxed),
            share: self.shared.share(node),
            lease: node.state.lease.load(Ordering::Relaxed),
            reported: node.state.reported.load(Ordering::Relaxed),
            slots: node.info.slots.0.min(MAX_IN_FLIGHT),
        }
    }

    /// Returns a random number below `end`.
    fn random_below(&self, end: u32) -> u32 {
        let mut z = self.rng_state.fetch_add(GAMMA, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
        ((z >> 32).wrapping_mul(u64::from(end)) >> 32) as u32
    }
}

/// The requirements of a task on its minion.
struct Request<'a> {
    /// The cores that the task needs.
    cores: Cores,
    /// Minions that have refused the task.
    avoid: &'a [MinionId],
    /// The current time.
    now: Timestamp,
    /// Whether only slots on soft lease are acceptable.
    safe: bool,
}

impl Request<'_> {
    /// Returns the positions of the minions that may have such a slot.
    fn bits<'t>(&self, table: &'t Table) -> &'t AtomicBits {
        if self.safe { &table.safe } else { &table.open }
    }
}

/// Returns the minions of a service, if one of them has enough cores.
fn find_service<'a>(
    table: &'a Table,
    service: &Service,
    cores: Cores,
) -> Result<&'a ServiceMinions, Unavailable> {
    let minions = table.services.get(service).ok_or(Unavailable::NoMinion)?;
    if minions.cores < cores {
        return Err(Unavailable::TooLarge);
    }
    Ok(minions)
}

/// Locks a mutex even if a holder panicked. The data behind it are estimates,
/// so a half-made update does no harm.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
