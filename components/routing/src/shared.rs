//! The state that a fleet shares with its slots in use.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use kernel::{Domain, HashMap, Millis, Timestamp, VmId};

use crate::budget::Budget;
use crate::config::RoutingConfig;
use crate::digest::{Digest, MAX_EVIDENCE, MAX_LOADS};
use crate::fleet::lock;
use crate::health::Mode;
use crate::minion::{MinionInfo, MinionStatus, Node};
use crate::outliers::evidence;
use crate::remote::Remotes;
use crate::table::{ServiceMinions, Table};

/// Time between two updates of the summed loads and the open minions.
const REFRESH_INTERVAL: Millis = Millis(20);

/// Divisor of the mean run time: a task goes to another domain only if it would
/// otherwise wait for this part of a run time on top of the extra trip. Spilled
/// tasks take slots that the VMs there count on, so that their tasks are
/// refused.
const SPILL_DIVISOR: u64 = 2;

/// The last digest of a peer VM.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The time at which the digest arrived.
    received: Timestamp,
    /// The digest, with the leases added that the VM was granted since.
    pub(crate) digest: Digest,
}

/// The state behind a fleet and its slots.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The VM's failure domain.
    pub(crate) home: Domain,
    /// The settings of the fleet.
    pub(crate) cfg: RoutingConfig,
    /// Whether outliers are ejected.
    pub(crate) outliers: bool,
    /// The current table of minions.
    pub(crate) table: ArcSwap<Table>,
    /// The lock held while a new table is built and swapped in.
    update_lock: Mutex<()>,
    /// The rank of this VM among the domain's live VMs, from 0.
    pub(crate) rank: AtomicUsize,
    /// The number of the domain's live VMs.
    pub(crate) live: AtomicUsize,
    /// The last digests of the domain's other VMs.
    pub(crate) peers: Mutex<HashMap<VmId, Peer>>,
    /// The states of other domains.
    pub(crate) remotes: Mutex<Remotes>,
    /// The ordinary failure rate of tasks, as the bits of an `f64`.
    pub(crate) failure_rate: AtomicU64,
    /// The time of the last digest of this VM, in microseconds of
    /// [`Timestamp`].
    pub(crate) last_digest: AtomicU64,
    /// The time at which [`Shared::urgent`] last compared the leases, in
    /// microseconds of [`Timestamp`].
    pub(crate) last_check: AtomicU64,
    /// The time of the last refresh, in microseconds of [`Timestamp`].
    last_refresh: AtomicU64,
    /// The number of this VM's tasks on the home domain's minions at the last
    /// refresh.
    busy: AtomicU32,
    /// The budget of refusals that may be risked.
    pub(crate) budget: Budget,
    /// The number of times that a slot was freed that was not in use.
    pub(crate) violations: AtomicU64,
}

impl Shared {
    /// Creates the state of a fleet without minions.
    pub(crate) fn new(home: Domain, cfg: RoutingConfig, outliers: bool) -> Shared {
        let table = Table::build(&[], &home, |_| 0, None);
        Shared {
            budget: Budget::new(cfg.refusals),
            home,
            cfg,
            outliers,
            table: ArcSwap::from_pointee(table),
            update_lock: Mutex::new(()),
            rank: AtomicUsize::new(0),
            live: AtomicUsize::new(1),
            peers: Mutex::default(),
            remotes: Mutex::default(),
            failure_rate: AtomicU64::new(0f64.to_bits()),
            last_digest: AtomicU64::new(0),
            last_check: AtomicU64::new(0),
            last_refresh: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            violations: AtomicU64::new(0),
        }
    }

    /// Replaces the table by one of these minions.
    pub(crate) fn update(&self, minions: &[MinionInfo]) {
        let _guard = lock(&self.update_lock);
        let old = self.table.load_full();
        let distance = |domain: &Domain| self.extra_trip(domain).micros();
        let table = Table::build(minions, &self.home, distance, Some(&old));
        // All minions are open in the new table, and slots freed from now on
        // reopen their minions in it, so that no free slot is missed.
        self.table.store(Arc::new(table));
        self.sum_loads(Timestamp(self.last_refresh.load(Ordering::Relaxed)));
    }

    /// Sets the rank of this VM among the domain's live VMs, and their number.
    pub(crate) fn set_peers(&self, rank: usize, live: usize) {
        let live = live.max(1);
        self.live.store(live, Ordering::Relaxed);
        self.rank.store(rank.min(live - 1), Ordering::Relaxed);
        self.sum_loads(Timestamp(self.last_refresh.load(Ordering::Relaxed)));
    }

    /// Returns this VM's fixed part of a minion's slots. The parts of all ranks
    /// add up to the slots; which ranks get the remainder differs by minion.
    pub(crate) fn share(&self, node: &Node) -> u32 {
        let live = self.live.load(Ordering::Relaxed) as u32;
        if live == 1 {
            return node.info.slots.0;
        }
        let rank = self.rotated_rank(node);
        let odd = rank < node.info.slots.0 % live;
        node.info.slots.0 / live + u32::from(odd)
    }

    /// Returns this VM's rank, rotated by the minion's hash, so that a
    /// different VM comes first for each minion.
    pub(crate) fn rotated_rank(&self, node: &Node) -> u32 {
        let live = self.live.load(Ordering::Relaxed) as u64;
        let rank = self.rank.load(Ordering::Relaxed) as u64;
        ((rank + node.hash % live) % live) as u32
    }

    /// Returns the extra round trip to a domain.
    fn extra_trip(&self, domain: &Domain) -> Millis {
        self.cfg
            .domain_trips
            .get(domain)
            .copied()
            .unwrap_or(self.cfg.extra_trip)
    }

    /// Marks a minion open after one of its slots was freed.
    pub(crate) fn reopen(&self, node: &Arc<Node>) {
        let table = self.table.load();
        let at = node.state.index.load(Ordering::SeqCst);
        let current = table.nodes.get(at);
        if current.is_some_and(|n| Arc::ptr_eq(&n.state, &node.state)) {
            table.open.set(at);
            table.safe.set(at);
        }
    }

    /// Refreshes if [`REFRESH_INTERVAL`] has passed; only one thread does so.
    pub(crate) fn refresh_due(&self, now: Timestamp) {
        let last = self.last_refresh.load(Ordering::Relaxed);
        if now.0 < last.saturating_add(REFRESH_INTERVAL.micros()) {
            return;
        }
        let swap =
            self.last_refresh
                .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if swap.is_ok() {
            self.refresh(now);
        }
    }

    /// Updates the summed loads, suspects minions with stuck tasks, bounds the
    /// ejections and reopens minions with free slots.
    fn refresh(&self, now: Timestamp) {
        self.sum_loads(now);
        let table = self.table.load();
        if self.outliers {
            self.suspect_stuck(&table, now);
            self.bound_ejections(&table, now);
        }
        for (at, node) in table.nodes.iter().enumerate() {
            if node.state.in_flight.count() < node.info.slots.0 {
                table.open.set(at);
                table.safe.set(at);
            }
        }
    }

    /// Drops expired digests of peers and sums the loads in the others.
    fn sum_loads(&self, now: Timestamp) {
        let table = self.table.load();
        let mut peers = lock(&self.peers);
        peers.retain(|_, p| now.since(p.received) < self.cfg.peer_ttl);
        let current: Vec<_> = peers
            .values()
            .filter(|p| p.digest.members == table.members)
            .collect();
        let mut busy = 0;
        for (i, &at) in table.home.iter().enumerate() {
            let state = &table.nodes[at].state;
            let loads = current.iter().filter_map(|p| p.digest.loads.get(i));
            let sum = loads.map(|&n| u32::from(n)).sum();
            state.peers.store(sum, Ordering::Relaxed);
            // Without digests from peers, each VM uses only its fixed part.
            if peers.is_empty() {
                let share = self.share(&table.nodes[at]);
                state.lease.store(share, Ordering::Relaxed);
            }
            busy += state.in_flight.count();
        }
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Returns whether a task should go to the domain: waiting here would take
    /// longer than the trip, and the domain has free capacity.
    pub(crate) fn may_spill(
        &self,
        service: &ServiceMinions,
        domain: &Domain,
        now: Timestamp,
    ) -> bool {
        let wait = service
            .demand
            .estimate_wait(self.busy.load(Ordering::Relaxed));
        let no_local = service.local.is_empty();
        let spill_cost =
            self.extra_trip(domain).micros() + service.demand.mean_run() / SPILL_DIVISOR;
        if !no_local && wait <= spill_cost {
            return false;
        }
        lock(&self.remotes).accepts(domain, self.cfg.peer_ttl, now)
    }

    /// Records that a task is sent to another domain.
    pub(crate) fn record_spill(&self, domain: &Domain, now: Timestamp) {
        lock(&self.remotes).record_sent(domain, self.cfg.peer_ttl, now);
    }

    /// Builds the digest of this VM and grants spare leases in it.
    pub(crate) fn digest(&self, now: Timestamp) -> Digest {
        self.refresh(now);
        let table = self.table.load();
        let grants = self.balance(&table, now);
        self.last_digest.store(now.0, Ordering::Relaxed);
        let home = || table.home.iter().map(|&at| &table.nodes[at]);
        for node in home() {
            let own = node.state.in_flight.count();
            node.state.reported.store(own, Ordering::Relaxed);
        }
        let byte = |n: &AtomicU32| n.load(Ordering::Relaxed).min(255) as u8;
        let listed = || home().take(MAX_LOADS);
        Digest {
            domain: Some(self.home.clone()),
            members: table.members,
            loads: listed().map(|n| byte(&n.state.reported)).collect(),
            leases: listed().map(|n| byte(&n.state.lease)).collect(),
            grants,
            rank: self.rank.load(Ordering::Relaxed).min(255) as u8,
            spare: self.spare(&table, now),
            free: home().map(|n| free_slots(n)).sum(),
            slots: home().map(|n| n.info.slots.0).sum(),
            evidence: home()
                .filter_map(|n| evidence(n, now))
                .take(MAX_EVIDENCE)
                .collect(),
        }
    }

    /// Applies the digest of another VM.
    pub(crate) fn apply_digest(&self, from: &VmId, digest: &Digest, now: Timestamp) {
        let Some(domain) = &digest.domain else {
            return;
        };
        if *domain != self.home {
            lock(&self.remotes).record_report(domain, digest.free, digest.slots, now);
            return;
        }
        let peer = Peer {
            received: now,
            digest: digest.clone(),
        };
        let mut peers = lock(&self.peers);
        self.apply_grants(&mut peers, digest);
        peers.insert(from.clone(), peer);
        drop(peers);
        if self.outliers {
            self.apply_evidence(&digest.evidence, now);
        }
        self.refresh(now);
    }

    /// Returns the status of all minions.
    pub(crate) fn status(&self) -> Vec<MinionStatus> {
        let table = self.table.load();
        let row = |n: &Arc<Node>| MinionStatus {
            id: n.info.id.clone(),
            domain: n.info.domain.clone(),
            slots: n.info.slots,
            own: n.state.in_flight.count(),
            peers: n.state.peers.load(Ordering::Relaxed),
            mode: n.state.mode(),
            leaving: n.info.leaving,
        };
        table.nodes.iter().map(row).collect()
    }
}

/// Returns the time from which a minion may be picked again.
pub(crate) fn closed_until(node: &Node) -> Timestamp {
    Timestamp(node.state.closed_until.load(Ordering::Relaxed))
}

/// Returns the free slots of a minion, as far as known; none unless it is
/// healthy.
fn free_slots(node: &Node) -> u32 {
    if node.info.leaving || node.state.mode() != Mode::Normal {
        return 0;
    }
    let own = node.state.in_flight.count();
    let peers = node.state.peers.load(Ordering::Relaxed);
    node.info.slots.0.saturating_sub(own + peers)
}
