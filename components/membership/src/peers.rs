//! The bounded table of peers.

use std::collections::BTreeMap;

use kernel::{Timestamp, VmId};

use crate::peer::Peer;

/// Maximum number of peers remembered, dead ones included: six times the design
/// size.
pub const MAX_PEERS: usize = 256;

/// Bounded table of peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    /// Peers by VM id.
    map: BTreeMap<VmId, Peer>,
}

impl Peers {
    /// Returns the number of peers.
    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns the peers in order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.map.values()
    }

    /// Returns the peers in order of their ids.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.map.values_mut()
    }

    /// Returns the peer with the given id.
    pub(crate) fn get(&self, id: &VmId) -> Option<&Peer> {
        self.map.get(id)
    }

    /// Returns the peer with the given id for update.
    pub(crate) fn get_mut(&mut self, id: &VmId) -> Option<&mut Peer> {
        self.map.get_mut(id)
    }

    /// Returns the peer with the given id, or inserts a new one. If the table is
    /// full, the peer without a message for the longest time is evicted first;
    /// the new peer stays, since this VM has just learned of it.
    pub(crate) fn entry(&mut self, id: &VmId, new: impl FnOnce() -> Peer) -> &mut Peer {
        if !self.map.contains_key(id) && self.map.len() >= MAX_PEERS {
            self.evict_stale();
        }
        self.map.entry(id.clone()).or_insert_with(new)
    }

    /// Removes the peers for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.map.retain(|_, peer| keep(peer));
    }

    fn evict_stale(&mut self) {
        let rank = |p: &Peer| (p.last_seen().unwrap_or(Timestamp(0)), p.first_seen);
        let stalest = self.map.values().min_by_key(|p| rank(p));
        if let Some(id) = stalest.map(|p| p.id.clone()) {
            self.map.remove(&id);
        }
    }
}
