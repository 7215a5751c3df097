//! The peers, bounded.

use std::collections::BTreeMap;

use kernel::{Timestamp, VmId};

use crate::peer::Peer;

/// The most peers remembered, dead ones included: six times the design size.
pub const MAX_PEERS: usize = 256;

/// The peers by id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    /// By id.
    map: BTreeMap<VmId, Peer>,
}

impl Peers {
    /// Returns how many there are.
    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns them in order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.map.values()
    }

    /// Returns them in order of their ids.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.map.values_mut()
    }

    /// Returns a peer.
    pub(crate) fn get(&self, id: &VmId) -> Option<&Peer> {
        self.map.get(id)
    }

    /// Returns a peer.
    pub(crate) fn get_mut(&mut self, id: &VmId) -> Option<&mut Peer> {
        self.map.get_mut(id)
    }

    /// Returns a peer, or puts in a new one. When there are too many, the one
    /// silent for longest goes; the one last put in stays, as whoever puts it in
    /// has just heard of it.
    pub(crate) fn entry(&mut self, id: &VmId, new: impl FnOnce() -> Peer) -> &mut Peer {
        if !self.map.contains_key(id) && self.map.len() >= MAX_PEERS {
            self.drop_silent();
        }
        self.map.entry(id.clone()).or_insert_with(new)
    }

    /// Drops those that `keep` does not want.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.map.retain(|_, peer| keep(peer));
    }

    fn drop_silent(&mut self) {
        let rank = |p: &Peer| (p.last_sign().unwrap_or(Timestamp(0)), p.since);
        let worst = self.map.values().min_by_key(|p| rank(p));
        if let Some(id) = worst.map(|p| p.id.clone()) {
            self.map.remove(&id);
        }
    }
}
