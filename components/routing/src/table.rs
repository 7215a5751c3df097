//! An immutable snapshot of all minions, indexed for the pick.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{Cores, Domain, HashMap, MinionId, Service, key_hash};

use crate::bits::{AtomicBits, Mask};
use crate::demand::Demand;
use crate::minion::{MinionInfo, Node, State, id_hash};

/// The minions of one service in one domain.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The domain.
    pub(crate) domain: Domain,
    /// Positions in the table.
    pub(crate) mask: Mask,
}

/// The minions of one service.
#[derive(Debug)]
pub(crate) struct Offer {
    /// Those of the home domain.
    pub(crate) local: Mask,
    /// Those of other domains, the nearest first.
    pub(crate) remote: Vec<Pool>,
    /// The most cores that any of them has.
    pub(crate) cores: Cores,
    /// The demand for the service.
    pub(crate) demand: Arc<Demand>,
}

/// Minions by id and address.
type States<'a> = HashMap<(&'a MinionId, SocketAddr), &'a Arc<Node>>;

/// All minions.
#[derive(Debug)]
pub(crate) struct Table {
    /// The minions, in the order of ids.
    pub(crate) nodes: Vec<Arc<Node>>,
    /// Minions that left the table with tasks in flight, so that these count
    /// when one comes back.
    pub(crate) gone: Vec<Arc<Node>>,
    /// Those that may have a free place; a hint that the pick checks.
    pub(crate) open: AtomicBits,
    /// Those that may have a place on soft lease; a hint likewise.
    pub(crate) safe: AtomicBits,
    /// Minions that stay, by service.
    pub(crate) offers: HashMap<Service, Offer>,
    /// Positions of the home domain's minions, in the order of ids.
    pub(crate) home: Vec<usize>,
    /// A hash of the home domain's minions and their order.
    pub(crate) members: u64,
}

impl Table {
    /// Builds a table; minions that stay keep their state from `old`.
    pub(crate) fn build(
        minions: &[MinionInfo],
        home: &Domain,
        near: impl Fn(&Domain) -> u64,
        old: Option<&Table>,
    ) -> Table {
        let mut infos = minions.to_vec();
        infos.sort_by(|a, b| a.id.cmp(&b.id));
        infos.dedup_by(|a, b| a.id == b.id);
        let kept = old.map(Table::states).unwrap_or_default();
        let nodes: Vec<_> = infos
            .into_iter()
            .enumerate()
            .map(|(i, info)| Arc::new(node(i, info, &kept)))
            .collect();
        let positions: Vec<_> = (0..nodes.len())
            .filter(|&i| nodes[i].info.domain == *home)
            .collect();
        Table {
            gone: old.map(|t| t.left_out(&nodes)).unwrap_or_default(),
            open: AtomicBits::full(nodes.len()),
            safe: AtomicBits::full(nodes.len()),
            offers: offers(&nodes, home, near, old),
            members: members(&nodes, &positions),
            home: positions,
            nodes,
        }
    }

    /// Returns the states by id and address.
    fn states(&self) -> States<'_> {
        let all = self.gone.iter().chain(&self.nodes);
        all.map(|n| ((&n.info.id, n.info.addr), n)).collect()
    }

    /// Lists the minions that are not in `nodes` but still hold slots.
    fn left_out(&self, nodes: &[Arc<Node>]) -> Vec<Arc<Node>> {
        let stays = |n: &Arc<Node>| nodes.iter().any(|m| Arc::ptr_eq(&m.state, &n.state));
        let all = self.gone.iter().chain(&self.nodes);
        let held = all.filter(|n| n.state.held.count() > 0);
        held.filter(|n| !stays(n)).cloned().collect()
    }
}

/// Makes a minion, with its state from before where id and address stay.
fn node(index: usize, info: MinionInfo, kept: &States) -> Node {
    let same = kept.get(&(&info.id, info.addr));
    let state = same.map_or_else(|| Arc::new(State::default()), |n| n.state.clone());
    state.index.store(index, Ordering::SeqCst);
    Node {
        hash: id_hash(&info.id),
        info,
        state,
    }
}

/// Indexes the minions that stay by service and domain.
fn offers(
    nodes: &[Arc<Node>],
    home: &Domain,
    near: impl Fn(&Domain) -> u64,
    old: Option<&Table>,
) -> HashMap<Service, Offer> {
    let mut offers: HashMap<Service, Offer> = HashMap::default();
    for (i, node) in nodes.iter().enumerate().filter(|(_, n)| !n.info.leaving) {
        for service in &node.info.services {
            let offer = offers.entry(service.clone()).or_insert_with(|| Offer {
                local: Mask::empty(nodes.len()),
                remote: Vec::new(),
                cores: Cores(0),
                demand: demand(service, old),
            });
            offer.cores = offer.cores.max(node.info.cores);
            offer.mask(&node.info.domain, home, nodes.len()).add(i);
        }
    }
    for offer in offers.values_mut() {
        offer.remote.sort_by_key(|p| near(&p.domain));
    }
    offers
}

/// Returns what was learned of a service before, or a fresh start.
fn demand(service: &Service, old: Option<&Table>) -> Arc<Demand> {
    let known = old.and_then(|t| t.offers.get(service));
    known.map_or_else(Arc::default, |o| o.demand.clone())
}

impl Offer {
    /// Returns the set for a domain, making an empty one at need.
    fn mask(&mut self, domain: &Domain, home: &Domain, len: usize) -> &mut Mask {
        if domain == home {
            return &mut self.local;
        }
        let known = self.remote.iter().position(|p| p.domain == *domain);
        let at = known.unwrap_or(self.remote.len());
        if known.is_none() {
            self.remote.push(Pool {
                domain: domain.clone(),
                mask: Mask::empty(len),
            });
        }
        &mut self.remote[at].mask
    }
}

/// Hashes the ids of the home domain's minions in their order.
fn members(nodes: &[Arc<Node>], home: &[usize]) -> u64 {
    let bytes: Vec<u8> = home
        .iter()
        .flat_map(|&i| nodes[i].hash.to_be_bytes())
        .collect();
    key_hash(&bytes) as u64
}
