//! What a fleet shares with the slots that it has given out.

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
use crate::table::{Offer, Table};

/// How often loads are summed up and minions reopened.
const REFRESH: Millis = Millis(20);

/// The part of a mean run time that waiting must cost, besides the trip, before
/// a task goes to another domain, as a divisor. Spilled tasks take slots that
/// the other domain's VMs count on, and turn their tasks away.
const SPILL_PART: u64 = 2;

/// What a peer VM said last.
#[derive(Debug)]
pub(crate) struct Peer {
    /// When it came.
    at: Timestamp,
    /// What it said, with the leases that it was granted since.
    pub(crate) digest: Digest,
}

/// The state behind a fleet and its slots.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The VM's failure domain.
    pub(crate) home: Domain,
    /// The settings.
    pub(crate) cfg: RoutingConfig,
    /// Whether outliers are ejected.
    pub(crate) outliers: bool,
    /// The minions.
    pub(crate) table: ArcSwap<Table>,
    /// Held while the table is built and swapped.
    writer: Mutex<()>,
    /// This VM's rank among the domain's live VMs.
    pub(crate) rank: AtomicUsize,
    /// The number of the domain's live VMs.
    pub(crate) live: AtomicUsize,
    /// Peers' digests, by VM.
    pub(crate) peers: Mutex<HashMap<VmId, Peer>>,
    /// What is known of other domains.
    pub(crate) remotes: Mutex<Remotes>,
    /// The ordinary failure rate, as the bits of an `f64`.
    pub(crate) rate: AtomicU64,
    /// When the last digest was made, in microseconds of [`Timestamp`].
    pub(crate) told: AtomicU64,
    /// When [`Shared::urgent`] last looked at the leases, in the same unit.
    pub(crate) looked: AtomicU64,
    /// When minions were last reopened, in microseconds of [`Timestamp`].
    refreshed: AtomicU64,
    /// Own tasks on the home domain's minions at the last refresh.
    busy: AtomicU32,
    /// How many refusals may still be risked.
    pub(crate) budget: Budget,
    /// Slots given back that nobody held.
    pub(crate) broken: AtomicU64,
}

impl Shared {
    /// Starts without minions.
    pub(crate) fn new(home: Domain, cfg: RoutingConfig, outliers: bool) -> Shared {
        let table = Table::build(&[], &home, |_| 0, None);
        Shared {
            budget: Budget::new(cfg.refusals),
            home,
            cfg,
            outliers,
            table: ArcSwap::from_pointee(table),
            writer: Mutex::new(()),
            rank: AtomicUsize::new(0),
            live: AtomicUsize::new(1),
            peers: Mutex::default(),
            remotes: Mutex::default(),
            rate: AtomicU64::new(0f64.to_bits()),
            told: AtomicU64::new(0),
            looked: AtomicU64::new(0),
            refreshed: AtomicU64::new(0),
            busy: AtomicU32::new(0),
            broken: AtomicU64::new(0),
        }
    }

    /// Swaps in a table of these minions.
    pub(crate) fn update(&self, minions: &[MinionInfo]) {
        let _writer = lock(&self.writer);
        let old = self.table.load_full();
        let near = |domain: &Domain| self.trip(domain).micros();
        let table = Table::build(minions, &self.home, near, Some(&old));
        // The new table has all minions open, and slots freed from here on
        // reopen theirs in it, so that none is lost between the two.
        self.table.store(Arc::new(table));
        self.sum_loads(Timestamp(self.refreshed.load(Ordering::Relaxed)));
    }

    /// Sets the rank among the domain's live VMs.
    pub(crate) fn set_peers(&self, rank: usize, live: usize) {
        let live = live.max(1);
        self.live.store(live, Ordering::Relaxed);
        self.rank.store(rank.min(live - 1), Ordering::Relaxed);
        self.sum_loads(Timestamp(self.refreshed.load(Ordering::Relaxed)));
    }

    /// Returns this VM's part of a minion's slots. Over all ranks the parts
    /// add up to the slots; which rank gets the odd ones differs by minion.
    pub(crate) fn share(&self, node: &Node) -> u32 {
        let live = self.live.load(Ordering::Relaxed) as u32;
        if live == 1 {
            return node.info.slots.0;
        }
        let place = self.place(node);
        let odd = place < node.info.slots.0 % live;
        node.info.slots.0 / live + u32::from(odd)
    }

    /// Returns this VM's place in the order of VMs for one minion.
    pub(crate) fn place(&self, node: &Node) -> u32 {
        let live = self.live.load(Ordering::Relaxed) as u64;
        let rank = self.rank.load(Ordering::Relaxed) as u64;
        ((rank + node.hash % live) % live) as u32
    }

    /// Returns the extra round trip to a domain.
    fn trip(&self, domain: &Domain) -> Millis {
        self.cfg.trips.get(domain).copied().unwrap_or(self.cfg.trip)
    }

    /// Marks a minion open after one of its slots was freed.
    pub(crate) fn reopen(&self, node: &Arc<Node>) {
        let table = self.table.load();
        let at = node.state.index.load(Ordering::SeqCst);
        let now = table.nodes.get(at);
        if now.is_some_and(|n| Arc::ptr_eq(&n.state, &node.state)) {
            table.open.set(at);
            table.safe.set(at);
        }
    }

    /// Refreshes if that is due; one thread does it.
    pub(crate) fn refresh_due(&self, now: Timestamp) {
        let last = self.refreshed.load(Ordering::Relaxed);
        if now.0 < last.saturating_add(REFRESH.micros()) {
            return;
        }
        let swap =
            self.refreshed
                .compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if swap.is_ok() {
            self.refresh(now);
        }
    }

    /// Sums up loads, judges stuck tasks, keeps ejections within bounds and
    /// reopens minions.
    fn refresh(&self, now: Timestamp) {
        self.sum_loads(now);
        let table = self.table.load();
        if self.outliers {
            self.suspect_stuck(&table, now);
            self.bound_ejections(&table, now);
        }
        for (at, node) in table.nodes.iter().enumerate() {
            if node.state.held.count() < node.info.slots.0 {
                table.open.set(at);
                table.safe.set(at);
            }
        }
    }

    /// Sums the loads that peers reported, and drops peers not heard of.
    fn sum_loads(&self, now: Timestamp) {
        let table = self.table.load();
        let mut peers = lock(&self.peers);
        peers.retain(|_, p| now.since(p.at) < self.cfg.peer_ttl);
        let same: Vec<_> = peers
            .values()
            .filter(|p| p.digest.members == table.members)
            .collect();
        let mut busy = 0;
        for (i, &at) in table.home.iter().enumerate() {
            let state = &table.nodes[at].state;
            let loads = same.iter().filter_map(|p| p.digest.loads.get(i));
            let sum = loads.map(|&n| u32::from(n)).sum();
            state.peers.store(sum, Ordering::Relaxed);
            // Until peers are heard of, each VM keeps to its fixed part.
            if peers.is_empty() {
                let share = self.share(&table.nodes[at]);
                state.lease.store(share, Ordering::Relaxed);
            }
            busy += state.held.count();
        }
        self.busy.store(busy, Ordering::Relaxed);
    }

    /// Tells whether waiting here takes longer than the trip to a domain that
    /// has room.
    pub(crate) fn may_spill(&self, offer: &Offer, domain: &Domain, now: Timestamp) -> bool {
        let wait = offer.demand.wait(self.busy.load(Ordering::Relaxed));
        let alone = offer.local.is_empty();
        let worth = self.trip(domain).micros() + offer.demand.run() / SPILL_PART;
        if !alone && wait <= worth {
            return false;
        }
        lock(&self.remotes).open(domain, self.cfg.peer_ttl, now)
    }

    /// Notes that a task goes to another domain.
    pub(crate) fn spilled(&self, domain: &Domain, now: Timestamp) {
        lock(&self.remotes).sent(domain, self.cfg.peer_ttl, now);
    }

    /// Sums up this VM's view and hands over leases.
    pub(crate) fn digest(&self, now: Timestamp) -> Digest {
        self.refresh(now);
        let table = self.table.load();
        let grants = self.balance(&table, now);
        self.told.store(now.0, Ordering::Relaxed);
        let home = || table.home.iter().map(|&at| &table.nodes[at]);
        for node in home() {
            let own = node.state.held.count();
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
            free: home().map(|n| free(n)).sum(),
            slots: home().map(|n| n.info.slots.0).sum(),
            evidence: home()
                .filter_map(|n| evidence(n, now))
                .take(MAX_EVIDENCE)
                .collect(),
        }
    }

    /// Takes in a peer's view.
    pub(crate) fn absorb(&self, from: &VmId, digest: &Digest, now: Timestamp) {
        let Some(domain) = &digest.domain else {
            return;
        };
        if *domain != self.home {
            lock(&self.remotes).heard(domain, digest.free, digest.slots, now);
            return;
        }
        let peer = Peer {
            at: now,
            digest: digest.clone(),
        };
        let mut peers = lock(&self.peers);
        self.granted(&mut peers, digest);
        peers.insert(from.clone(), peer);
        drop(peers);
        if self.outliers {
            self.weigh(&digest.evidence, now);
        }
        self.refresh(now);
    }

    /// Lists all minions.
    pub(crate) fn status(&self) -> Vec<MinionStatus> {
        let table = self.table.load();
        let row = |n: &Arc<Node>| MinionStatus {
            id: n.info.id.clone(),
            domain: n.info.domain.clone(),
            slots: n.info.slots,
            own: n.state.held.count(),
            peers: n.state.peers.load(Ordering::Relaxed),
            mode: n.state.mode(),
            leaving: n.info.leaving,
        };
        table.nodes.iter().map(row).collect()
    }
}

/// Returns when a minion may be picked again.
pub(crate) fn closed(node: &Node) -> Timestamp {
    Timestamp(node.state.closed.load(Ordering::Relaxed))
}

/// Counts the places that a healthy minion has free, as far as known.
fn free(node: &Node) -> u32 {
    if node.info.leaving || node.state.mode() != Mode::Normal {
        return 0;
    }
    let own = node.state.held.count();
    let peers = node.state.peers.load(Ordering::Relaxed);
    node.info.slots.0.saturating_sub(own + peers)
}
