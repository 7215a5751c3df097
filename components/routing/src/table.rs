//! An immutable table of all minions, indexed by service and domain.

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
    /// The domain of the minions.
    pub(crate) domain: Domain,
    /// The positions of the minions in the table.
    pub(crate) mask: Mask,
}

/// The minions of one service.
#[derive(Debug)]
pub(crate) struct ServiceMinions {
    /// The minions of the home domain.
    pub(crate) local: Mask,
    /// The minions of other domains, the nearest domain first.
    pub(crate) remote: Vec<Pool>,
    /// The largest number of cores of any of these minions.
    pub(crate) cores: Cores,
    /// The demand for the service.
    pub(crate) demand: Arc<Demand>,
}

/// Minions by their id and address.
type StatesById<'a> = HashMap<(&'a MinionId, SocketAddr), &'a Arc<Node>>;

/// All minions, indexed for picks.
#[derive(Debug)]
pub(crate) struct Table {
    /// The minions, in the order of ids.
    pub(crate) nodes: Vec<Arc<Node>>,
    /// The minions that left the table with tasks in flight. They are kept so
    /// that these tasks count if the minion comes back.
    pub(crate) departed: Vec<Arc<Node>>,
    /// The minions that may have a free slot; a pick checks this again.
    pub(crate) open: AtomicBits,
    /// The minions that may have a free slot on soft lease; a pick checks this
    /// again.
    pub(crate) safe: AtomicBits,
    /// The minions that are not leaving, by service.
    pub(crate) services: HashMap<Service, ServiceMinions>,
    /// The positions of the home domain's minions, in the order of ids.
    pub(crate) home: Vec<usize>,
    /// The hash of the ids of the home domain's minions in their order.
    pub(crate) members: u64,
}

impl Table {
    /// Builds a table. Minions that are also in `old` keep their state;
    /// `distance` orders the other domains.
    pub(crate) fn build(
        minions: &[MinionInfo],
        home: &Domain,
        distance: impl Fn(&Domain) -> u64,
        old: Option<&Table>,
    ) -> Table {
        let mut infos = minions.to_vec();
        infos.sort_by(|a, b| a.id.cmp(&b.id));
        infos.dedup_by(|a, b| a.id == b.id);
        let old_states = old.map(Table::states).unwrap_or_default();
        let nodes: Vec<_> = infos
            .into_iter()
            .enumerate()
            .map(|(i, info)| Arc::new(node(i, info, &old_states)))
            .collect();
        let positions: Vec<_> = (0..nodes.len())
            .filter(|&i| nodes[i].info.domain == *home)
            .collect();
        Table {
            departed: old.map(|t| t.departed(&nodes)).unwrap_or_default(),
            open: AtomicBits::full(nodes.len()),
            safe: AtomicBits::full(nodes.len()),
            services: index_services(&nodes, home, distance, old),
            members: members_hash(&nodes, &positions),
            home: positions,
            nodes,
        }
    }

    /// Returns the minions by id and address, with the departed ones.
    fn states(&self) -> StatesById<'_> {
        let all = self.departed.iter().chain(&self.nodes);
        all.map(|n| ((&n.info.id, n.info.addr), n)).collect()
    }

    /// Returns the minions that are not in `nodes` but have tasks in flight.
    fn departed(&self, nodes: &[Arc<Node>]) -> Vec<Arc<Node>> {
        let remains = |n: &Arc<Node>| nodes.iter().any(|m| Arc::ptr_eq(&m.state, &n.state));
        let all = self.departed.iter().chain(&self.nodes);
        let busy = all.filter(|n| n.state.in_flight.count() > 0);
        busy.filter(|n| !remains(n)).cloned().collect()
    }
}

/// Creates a minion, with the old state if id and address are the same.
fn node(index: usize, info: MinionInfo, old_states: &StatesById) -> Node {
    let same = old_states.get(&(&info.id, info.addr));
    let state = same.map_or_else(|| Arc::new(State::default()), |n| n.state.clone());
    state.index.store(index, Ordering::SeqCst);
    Node {
        hash: id_hash(&info.id),
        info,
        state,
    }
}

/// Indexes the minions that are not leaving by service and domain.
fn index_services(
    nodes: &[Arc<Node>],
    home: &Domain,
    distance: impl Fn(&Domain) -> u64,
    old: Option<&Table>,
) -> HashMap<Service, ServiceMinions> {
    let mut services: HashMap<Service, ServiceMinions> = HashMap::default();
    for (i, node) in nodes.iter().enumerate().filter(|(_, n)| !n.info.leaving) {
        for service in &node.info.services {
            let entry = services
                .entry(service.clone())
                .or_insert_with(|| ServiceMinions {
                    local: Mask::empty(nodes.len()),
                    remote: Vec::new(),
                    cores: Cores(0),
                    demand: inherit_demand(service, old),
                });
            entry.cores = entry.cores.max(node.info.cores);
            entry.mask(&node.info.domain, home, nodes.len()).add(i);
        }
    }
    for entry in services.values_mut() {
        entry.remote.sort_by_key(|p| distance(&p.domain));
    }
    services
}

/// Returns the demand of a service from the old table, or a new one.
fn inherit_demand(service: &Service, old: Option<&Table>) -> Arc<Demand> {
    let known = old.and_then(|t| t.services.get(service));
    known.map_or_else(Arc::default, |o| o.demand.clone())
}

impl ServiceMinions {
    /// Returns the set of minions in a domain, adding an empty one if needed.
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

/// Returns the hash of the ids of the home domain's minions in their order.
fn members_hash(nodes: &[Arc<Node>], home: &[usize]) -> u64 {
    let bytes: Vec<u8> = home
        .iter()
        .flat_map(|&i| nodes[i].hash.to_be_bytes())
        .collect();
    key_hash(&bytes) as u64
}
