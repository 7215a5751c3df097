//! What the rest of a VM sees of the others, immutable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Domain, Incarnation, MinionId, Offset, VmId};

use crate::vm::{Presence, Vm};

/// Whether a peer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It was heard lately.
    Live,
    /// It was not, or its last contacts failed. It may be dead, cut off, slow
    /// or not started yet.
    Suspect,
    /// The life of its process last heard of is gone for good.
    Gone,
}

/// One peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Its id.
    pub id: VmId,
    /// The life of its process last heard of; `None` when only listed.
    pub incarnation: Option<Incarnation>,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Whether it answers.
    pub health: Health,
    /// Whether it takes new work.
    pub presence: Presence,
    /// The version of the sheet that it holds.
    pub sheet: Option<Offset>,
    /// The offset up to which it has read claims.
    pub claims: Option<Offset>,
}

impl PeerView {
    /// Tells whether new work may go to the peer.
    pub fn takes_work(&self) -> bool {
        self.health == Health::Live && self.presence == Presence::Live
    }
}

/// Where the owner of tickets is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Located {
    /// It is this VM.
    Here,
    /// It is a peer that answers.
    Peer(SocketAddr),
    /// It is a peer that may be dead, cut off or slow. Nothing may be concluded
    /// about its jobs.
    Away(SocketAddr),
    /// It is gone for good.
    Gone {
        /// Who took over what it owned; `None` when nobody did.
        successor: Option<Incarnation>,
    },
    /// This VM has not heard of it, or has forgotten it. It may well exist, so
    /// that nothing may be concluded about its jobs either.
    NeverSeen,
}

/// The view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This VM.
    pub me: Vm,
    /// Whether this VM takes new work.
    pub presence: Presence,
    /// Whether a later life of this VM's id has taken its place, or peers take
    /// this process for gone. It is to stop, and a new one to start.
    pub replaced: bool,
    /// The peers in order of their ids.
    pub peers: Vec<PeerView>,
    /// This VM's place among the live ones by id, from 0.
    pub rank: usize,
    /// How many VMs are live, this one included.
    pub live: usize,
    /// The minions that are to get no new work.
    pub leaving: Arc<BTreeSet<MinionId>>,
    /// The incarnations gone for good, each with who took over in the end.
    pub departed: Arc<BTreeMap<Incarnation, Option<Incarnation>>>,
    /// Lives that another life of their VM's id has replaced while they were
    /// stopping, each with its address. They may still name a successor.
    pub parting: Vec<(Incarnation, SocketAddr)>,
}

impl View {
    /// Tells where an incarnation is. Tickets are passed on by it; the receiver
    /// compares the incarnation again, so that a wrong answer costs a message.
    pub fn locate(&self, incarnation: Incarnation) -> Located {
        if incarnation == self.me.incarnation {
            return Located::Here;
        }
        if let Some(successor) = self.departed.get(&incarnation) {
            return Located::Gone {
                successor: *successor,
            };
        }
        let parting = self.parting.iter().find(|p| p.0 == incarnation);
        if let Some((_, addr)) = parting {
            return Located::Away(*addr);
        }
        let same = |p: &&PeerView| p.incarnation == Some(incarnation);
        match self.peers.iter().find(same) {
            Some(p) if p.health == Health::Live => Located::Peer(p.peers),
            Some(p) => Located::Away(p.peers),
            None => Located::NeverSeen,
        }
    }

    /// Tells whether a minion is to get no new work.
    pub fn is_leaving(&self, minion: &MinionId) -> bool {
        self.leaving.contains(minion)
    }

    /// Returns the live peer that holds the newest sheet, if it is newer than
    /// `held`.
    pub fn ahead(&self, held: Option<Offset>) -> Option<&PeerView> {
        let live = self.peers.iter().filter(|p| p.health == Health::Live);
        live.filter(|p| p.sheet > held).max_by_key(|p| p.sheet)
    }
}
