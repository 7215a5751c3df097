//! The fleet of minions, shared by all tasks of a VM.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, VmId};

use crate::bits::{AtomicBits, Mask};
use crate::config::RoutingConfig;
use crate::digest::Digest;
use crate::health::Mode;
use crate::held::MAX_HELD;
use crate::minion::{MinionInfo, MinionStatus, Node};
use crate::policy::{Load, Policy};
use crate::shared::Shared;
use crate::slot::{Slot, Unavailable};
use crate::table::{Offer, Table};

/// How often a few minions are drawn before all are looked at.
const ROUNDS: usize = 4;

/// The weight of one draw in the sequence of random numbers.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Minions, their load and their health, as one VM knows them. Picks take no
/// lock; the table is swapped as a whole.
#[derive(Debug)]
pub struct Fleet<P: Policy> {
    /// What slots refer back to.
    shared: Arc<Shared>,
    /// How a minion is picked.
    policy: P,
    /// The state of the random draws.
    draws: AtomicU64,
}

impl<P: Policy> Fleet<P> {
    /// Makes a fleet without minions for a VM of the domain `home`.
    pub fn new(home: Domain, cfg: RoutingConfig, policy: P) -> Fleet<P> {
        Fleet {
            draws: AtomicU64::new(cfg.seed),
            shared: Arc::new(Shared::new(home, cfg, P::OUTLIERS)),
            policy,
        }
    }

    /// Replaces the minions. Those that stay, with the same id and address,
    /// keep their counts and what was learned of them.
    pub fn update(&self, minions: &[MinionInfo]) {
        self.shared.update(minions);
    }

    /// Tells which of the domain's VMs this is, counted from 0, and how many
    /// of them live; the VMs share the minions' slots evenly.
    pub fn set_peers(&self, rank: usize, live_vms: usize) {
        self.shared.set_peers(rank, live_vms);
    }

    /// Tells how many tasks of a service wait for a slot, so that the wait can
    /// be weighed against the extra trip to another domain.
    pub fn set_waiting(&self, service: &Service, tasks: usize) {
        if let Some(offer) = self.shared.table.load().offers.get(service) {
            offer.demand.set_waiting(tasks);
        }
    }

    /// Takes a slot for a task that needs `cores`, on none of the minions in
    /// `avoid`. Own minions come first, other domains when waiting would take
    /// longer than the trip.
    ///
    /// # Errors
    ///
    /// Tells whether waiting helps ([`Unavailable::Full`]) or not.
    pub fn acquire(
        &self,
        service: &Service,
        cores: Cores,
        avoid: &[MinionId],
        now: Timestamp,
    ) -> Result<Slot, Unavailable> {
        self.shared.refresh_due(now);
        let table = self.shared.table.load();
        let offer = offer(&table, service, cores)?;
        let ask = Ask {
            cores,
            avoid,
            now,
            safe: false,
        };
        let local = self.pick_local(&table, &offer.local, &ask);
        let node = match local {
            Some(node) => node,
            None => self.spill(&table, offer, &ask).ok_or(Unavailable::Full)?,
        };
        self.shared.budget.earn();
        let demand = offer.demand.clone();
        Ok(Slot::new(self.shared.clone(), node, demand, now))
    }

    /// Tells whether a task could ever run, without taking a slot.
    ///
    /// # Errors
    ///
    /// Answers [`Unavailable::NoMinion`] or [`Unavailable::TooLarge`].
    pub fn fits(&self, service: &Service, cores: Cores) -> Result<(), Unavailable> {
        offer(&self.shared.table.load(), service, cores).map(|_| ())
    }

    /// Sums up load and evidence for the heartbeats to other VMs.
    pub fn digest(&self, now: Timestamp) -> Digest {
        self.shared.digest(now)
    }

    /// Tells whether a digest should go out now and not wait for the next
    /// heartbeat, because leases would go where tasks wait. Asked whenever
    /// tasks wait or a digest came in, it is true at most 40 times a second.
    pub fn urgent(&self, now: Timestamp) -> bool {
        self.shared.urgent(now)
    }

    /// Takes in another VM's digest.
    pub fn absorb(&self, from: &VmId, digest: &Digest, now: Timestamp) {
        self.shared.absorb(from, digest, now);
    }

    /// Lists all minions for operators.
    pub fn status(&self) -> Vec<MinionStatus> {
        self.shared.status()
    }

    /// Counts the times that a slot was given back that nobody held; any but
    /// zero is a fault in this crate.
    pub fn broken(&self) -> u64 {
        self.shared.broken.load(Ordering::Relaxed)
    }

    /// Counts the slots that a service could use in the home domain, for
    /// admission.
    pub fn capacity(&self, service: &Service) -> Slots {
        let table = self.shared.table.load();
        let slots = |offer: &Offer| {
            let all = offer.local.iter().map(|i| &table.nodes[i]);
            let good = all.filter(|n| n.state.mode() != Mode::Ejected);
            good.map(|n| n.info.slots.0).sum()
        };
        Slots(table.offers.get(service).map_or(0, slots))
    }

    /// Takes a place on a minion of another domain, if that is worth the trip.
    fn spill(&self, table: &Table, offer: &Offer, ask: &Ask) -> Option<Arc<Node>> {
        for pool in &offer.remote {
            if !self.shared.may_spill(offer, &pool.domain, ask.now) {
                continue;
            }
            if let Some(node) = self.pick(table, &pool.mask, ask) {
                self.shared.spilled(&pool.domain, ask.now);
                return Some(node);
            }
        }
        None
    }

    /// Picks a minion of the home domain: on soft lease first, else where the
    /// budget allows to risk a refusal.
    fn pick_local(&self, table: &Table, mask: &Mask, ask: &Ask) -> Option<Arc<Node>> {
        let safe = Ask { safe: true, ..*ask };
        let leased = self.pick(table, mask, &safe);
        if leased.is_some() || !self.shared.budget.allows() {
            return leased;
        }
        self.pick(table, mask, ask)
    }

    /// Picks a minion of the set and takes a place on it.
    fn pick(&self, table: &Table, mask: &Mask, ask: &Ask) -> Option<Arc<Node>> {
        if P::CHOICES == usize::MAX {
            return self.scan(table, mask, ask);
        }
        for _ in 0..ROUNDS {
            let open = mask.count(ask.bits(table));
            if open == 0 {
                return None;
            }
            let Some(best) = self.sample(table, mask, open, ask) else {
                continue;
            };
            if self.take(&table.nodes[best], ask) {
                return Some(table.nodes[best].clone());
            }
        }
        self.scan(table, mask, ask)
    }

    /// Draws a few open minions and returns the position of the best.
    fn sample(&self, table: &Table, mask: &Mask, open: u32, ask: &Ask) -> Option<usize> {
        let mut best = None;
        for _ in 0..P::CHOICES.min(open as usize) {
            let nth = self.draw(open);
            let Some(at) = mask.nth(ask.bits(table), nth) else {
                continue;
            };
            let Some(cost) = self.cost(table, at, ask) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Looks at all minions of the set, from a random one on, and takes a
    /// place on the best.
    fn scan(&self, table: &Table, mask: &Mask, ask: &Ask) -> Option<Arc<Node>> {
        loop {
            let from = self.draw(u32::MAX);
            let mut best = None;
            for at in mask.walk(ask.bits(table), from) {
                let Some(cost) = self.cost(table, at, ask) else {
                    continue;
                };
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, at));
                }
            }
            let (_, at) = best?;
            if self.take(&table.nodes[at], ask) {
                return Some(table.nodes[at].clone());
            }
        }
    }

    /// Returns the cost of a minion, or `None` when it can't be used. One
    /// that takes no task at all is struck from the open ones.
    fn cost(&self, table: &Table, at: usize, ask: &Ask) -> Option<u32> {
        let node = &table.nodes[at];
        if node.info.cores < ask.cores || ask.avoid.contains(&node.info.id) {
            return None;
        }
        let load = self.load(node, node.state.held.count());
        if self.usable(node, &load, ask) {
            return Some(self.policy.cost(&load));
        }
        // A slot freed between the look and the strike would be lost, so look
        // again.
        ask.bits(table).clear(at);
        if self.usable(node, &self.load(node, node.state.held.count()), ask) {
            ask.bits(table).set(at);
        }
        None
    }

    /// Takes a place on a minion, unless others were faster.
    fn take(&self, node: &Node, ask: &Ask) -> bool {
        loop {
            let seen = node.state.held.read();
            let load = self.load(node, seen.count());
            if !self.usable(node, &load, ask) {
                return false;
            }
            if node.state.held.add(seen, ask.now) {
                return true;
            }
        }
    }

    /// Tells whether the minion may get another task.
    fn usable(&self, node: &Node, load: &Load, ask: &Ask) -> bool {
        if load.own >= load.slots || node.state.closed.load(Ordering::Relaxed) > ask.now.0 {
            return false;
        }
        match node.state.mode() {
            Mode::Normal if ask.safe => self.policy.safe(load),
            Mode::Normal => self.policy.open(load),
            // A probe, too, needs a slot on lease, so that it is not refused.
            Mode::Suspect | Mode::Ejected => load.own == 0 && (!ask.safe || self.policy.safe(load)),
        }
    }

    /// Reads the load of a minion.
    fn load(&self, node: &Node, own: u32) -> Load {
        Load {
            own,
            peers: node.state.peers.load(Ordering::Relaxed),
            share: self.shared.share(node),
            lease: node.state.lease.load(Ordering::Relaxed),
            reported: node.state.reported.load(Ordering::Relaxed),
            slots: node.info.slots.0.min(MAX_HELD),
        }
    }

    /// Draws a number below `end`.
    fn draw(&self, end: u32) -> u32 {
        let mut z = self.draws.fetch_add(GAMMA, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
        ((z >> 32).wrapping_mul(u64::from(end)) >> 32) as u32
    }
}

/// What a task needs.
struct Ask<'a> {
    /// The cores.
    cores: Cores,
    /// Minions that refused it already.
    avoid: &'a [MinionId],
    /// The time.
    now: Timestamp,
    /// Whether only slots on soft lease will do.
    safe: bool,
}

impl Ask<'_> {
    /// Returns the hint of where such slots are.
    fn bits<'t>(&self, table: &'t Table) -> &'t AtomicBits {
        if self.safe { &table.safe } else { &table.open }
    }
}

/// Finds a service's minions.
fn offer<'a>(table: &'a Table, service: &Service, cores: Cores) -> Result<&'a Offer, Unavailable> {
    let offer = table.offers.get(service).ok_or(Unavailable::NoMinion)?;
    if offer.cores < cores {
        return Err(Unavailable::TooLarge);
    }
    Ok(offer)
}

/// Takes a lock whose holder may have panicked; the data is only a belief.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
