//! An immutable snapshot of membership for the rest of the program.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Domain, Incarnation, MinionId, Offset, VmId};

use crate::vm::{Presence, Vm};

/// Whether a peer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// The peer sent a message recently.
    Live,
    /// No message arrived recently, or the last contacts failed. The peer may be
    /// dead, cut off, slow or not started yet.
    Suspect,
    /// The latest known process of the peer is gone for good.
    Gone,
}

/// State of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Id of the VM.
    pub id: VmId,
    /// Incarnation of the latest known process; `None` if the VM is only known
    /// from the VM list.
    pub incarnation: Option<Incarnation>,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Address at which callers reach the VM.
    pub callers: SocketAddr,
    /// Address at which peers reach the VM.
    pub peers: SocketAddr,
    /// Whether the peer answers.
    pub health: Health,
    /// Whether the peer takes new work.
    pub presence: Presence,
    /// Version of the sheet that the peer holds.
    pub sheet: Option<Offset>,
    /// Offset up to which the peer has read claims.
    pub claims: Option<Offset>,
}

impl PeerView {
    /// Returns whether new work may go to the peer.
    pub fn takes_work(&self) -> bool {
        self.health == Health::Live && self.presence == Presence::Live
    }
}

/// Location of the incarnation that owns a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Location {
    /// The owner is this VM.
    Here,
    /// The owner is a peer that answers.
    Peer(SocketAddr),
    /// The owner is a peer that may be dead, cut off or slow. Nothing may be
    /// concluded about its jobs.
    Away(SocketAddr),
    /// The owner is gone for good.
    Gone {
        /// Incarnation that took over what it owned; `None` if none did.
        successor: Option<Incarnation>,
    },
    /// The owner is unknown to this VM, or forgotten. It may still exist, so
    /// nothing may be concluded about its jobs either.
    Unknown,
}

/// Snapshot of the known VMs and of the leaving minions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Identity of this VM.
    pub me: Vm,
    /// Whether this VM takes new work.
    pub presence: Presence,
    /// Whether a later process with this VM's id has replaced this one, or peers
    /// consider this one gone. This process must stop and a new one start.
    pub replaced: bool,
    /// Peers in order of their ids.
    pub peers: Vec<PeerView>,
    /// Whether the VM list is known. Until then `peers` may lack VMs, so that
    /// asking all of them proves nothing.
    pub is_listed: bool,
    /// Position of this VM among the live ones in order of ids, from 0.
    pub rank: usize,
    /// Number of live VMs, including this one.
    pub live: usize,
    /// Minions that must get no new work.
    pub leaving: Arc<BTreeSet<MinionId>>,
    /// Incarnations that are gone for good, each with its final successor.
    pub departed: Arc<BTreeMap<Incarnation, Option<Incarnation>>>,
    /// Processes that were replaced by another process of the same VM id during
    /// their planned stop, with their addresses. They may still name a
    /// successor.
    pub stopping: Vec<(Incarnation, SocketAddr)>,
}

impl View {
    /// Returns where an incarnation is. Tickets are passed on accordingly; the
    /// receiver checks the incarnation again, so a wrong result only costs a
    /// message.
    pub fn locate(&self, incarnation: Incarnation) -> Location {
        if incarnation == self.me.incarnation {
            return Location::Here;
        }
        if let Some(successor) = self.departed.get(&incarnation) {
            return Location::Gone {
                successor: *successor,
            };
        }
        let stopping = self.stopping.iter().find(|p| p.0 == incarnation);
        if let Some((_, addr)) = stopping {
            return Location::Away(*addr);
        }
        let same = |p: &&PeerView| p.incarnation == Some(incarnation);
        match self.peers.iter().find(same) {
            Some(p) if p.health == Health::Live => Location::Peer(p.peers),
            Some(p) => Location::Away(p.peers),
            None => Location::Unknown,
        }
    }

    /// Returns whether a minion is leaving and must get no new work.
    pub fn is_leaving(&self, minion: &MinionId) -> bool {
        self.leaving.contains(minion)
    }

    /// Returns the live peer that holds the newest sheet, if that sheet is newer
    /// than `held`.
    pub fn newest_sheet(&self, held: Option<Offset>) -> Option<&PeerView> {
        let live = self.peers.iter().filter(|p| p.health == Health::Live);
        live.filter(|p| p.sheet > held).max_by_key(|p| p.sheet)
    }
}
