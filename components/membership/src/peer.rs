//! State that this VM keeps for one peer.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, Millis, Offset, Timestamp, VmId};

use crate::vm::{Generation, Presence, Vm};

/// Number of consecutive failures after which a peer is suspect.
pub(crate) const SUSPECT_FAILURES: u32 = 2;

/// A peer VM and the state of its heartbeats.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Id of the VM.
    pub(crate) id: VmId,
    /// Failure domain of the VM.
    pub(crate) domain: Domain,
    /// Address at which callers reach the VM.
    pub(crate) callers: SocketAddr,
    /// Address at which peers reach the VM.
    pub(crate) peers: SocketAddr,
    /// Latest known process; `None` if the VM is only known from the VM list.
    pub(crate) process: Option<(Generation, Incarnation)>,
    /// Whether the VM takes new work, as last reported by itself, by gossip or
    /// by the VM list.
    pub(crate) presence: Presence,
    /// Time when the peer's own message last arrived.
    pub(crate) last_heartbeat: Option<Timestamp>,
    /// Latest time at which another VM received a message of the peer, by
    /// gossip.
    pub(crate) last_gossip: Option<Timestamp>,
    /// Time when the VM list last contained the peer.
    pub(crate) last_listed: Option<Timestamp>,
    /// Time since which the VM list no longer contains the peer.
    pub(crate) absent_since: Option<Timestamp>,
    /// Number of failed contacts since the last successful one.
    pub(crate) failures: u32,
    /// Version of the sheet that the peer holds.
    pub(crate) sheet: Option<Offset>,
    /// Offset up to which the peer has read claims.
    pub(crate) claims: Option<Offset>,
    /// Time at which the next heartbeat to the peer is due.
    pub(crate) due: Timestamp,
    /// Time when the last heartbeat to the peer was sent.
    pub(crate) last_sent: Timestamp,
    /// Time when the last heartbeat that the peer answered was sent.
    pub(crate) last_acked: Option<Timestamp>,
    /// Time when the heartbeat was sent whose answer is pending.
    pub(crate) pending_since: Option<Timestamp>,
    /// Hash of the peer's set of leaving minions.
    pub(crate) leaving_digest: u64,
    /// Hash of the peer's set of departed incarnations.
    pub(crate) departed_digest: u64,
    /// Number of messages that carried gossip about the peer.
    pub(crate) gossip_count: u32,
    /// Time when this VM first learned of the peer.
    pub(crate) first_seen: Timestamp,
}

impl Peer {
    /// Creates a peer of which no process is known yet.
    pub(crate) fn new(
        now: Timestamp,
        id: VmId,
        domain: Domain,
        callers: SocketAddr,
        peers: SocketAddr,
    ) -> Peer {
        Peer {
            id,
            domain,
            callers,
            peers,
            process: None,
            presence: Presence::Live,
            last_heartbeat: None,
            last_gossip: None,
            last_listed: None,
            absent_since: None,
            failures: 0,
            sheet: None,
            claims: None,
            due: now,
            last_sent: Timestamp(0),
            last_acked: None,
            pending_since: None,
            leaving_digest: 0,
            departed_digest: 0,
            gossip_count: 0,
            first_seen: now,
        }
    }

    /// Returns the incarnation of the latest known process.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.process.map(|(_, incarnation)| incarnation)
    }

    /// Sets the VM's process. If its incarnation is new, the state of the
    /// previous process is reset.
    pub(crate) fn set_process(&mut self, vm: &Vm) {
        let is_new = self.incarnation() != Some(vm.incarnation);
        if is_new {
            self.gossip_count = 0;
            self.failures = 0;
            self.sheet = None;
            self.claims = None;
            self.last_heartbeat = None;
            self.last_gossip = None;
            self.last_acked = None;
            self.leaving_digest = 0;
            self.departed_digest = 0;
        }
        self.process = Some((vm.generation, vm.incarnation));
        self.domain = vm.domain.clone();
        self.callers = vm.callers;
        self.peers = vm.peers;
    }

    /// Returns the last time at which any VM is known to have received a message
    /// of the peer.
    pub(crate) fn last_seen(&self) -> Option<Timestamp> {
        self.last_heartbeat.max(self.last_gossip)
    }

    /// Returns the time since any VM is known to have received a message of the
    /// peer, counted from `from` at the earliest.
    pub(crate) fn silence(&self, now: Timestamp, from: Timestamp) -> Millis {
        now.since(self.last_seen().unwrap_or(self.first_seen).max(from))
    }

    /// Returns the VM for use in gossip; `None` if no process is known.
    pub(crate) fn vm(&self) -> Option<Vm> {
        let (generation, incarnation) = self.process?;
        Some(Vm {
            id: self.id.clone(),
            incarnation,
            generation,
            domain: self.domain.clone(),
            callers: self.callers,
            peers: self.peers,
        })
    }
}
