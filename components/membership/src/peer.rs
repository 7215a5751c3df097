//! What this VM knows of one peer.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, Millis, Offset, Timestamp, VmId};

use crate::vm::{Generation, Presence, Vm};

/// Failures in a row after which a peer is suspect.
pub(crate) const SUSPECT_FAILS: u32 = 2;

/// One peer.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its id.
    pub(crate) id: VmId,
    /// Its failure domain.
    pub(crate) domain: Domain,
    /// Where callers reach it.
    pub(crate) callers: SocketAddr,
    /// Where peers reach it.
    pub(crate) peers: SocketAddr,
    /// The life of its process last heard of; `None` when only listed.
    pub(crate) life: Option<(Generation, Incarnation)>,
    /// What it, or else the platform, last said of its work.
    pub(crate) presence: Presence,
    /// When it was last heard directly.
    pub(crate) heard: Option<Timestamp>,
    /// When anyone last heard it, as far as this VM has been told.
    pub(crate) rumored: Option<Timestamp>,
    /// When it was last found in the platform's list.
    pub(crate) listed: Option<Timestamp>,
    /// Since when the platform's list has lacked it.
    pub(crate) absent: Option<Timestamp>,
    /// Failed contacts since the last good one.
    pub(crate) fails: u32,
    /// The sheet that it holds.
    pub(crate) sheet: Option<Offset>,
    /// The offset up to which it has read claims.
    pub(crate) claims: Option<Offset>,
    /// When the next heartbeat to it is due.
    pub(crate) due: Timestamp,
    /// When the last heartbeat to it was sent.
    pub(crate) sent: Timestamp,
    /// When the last heartbeat that it answered was sent.
    pub(crate) acked: Option<Timestamp>,
    /// When a heartbeat to it was sent that has no answer yet.
    pub(crate) asked: Option<Timestamp>,
    /// The hash of its set of leaving minions.
    pub(crate) leaving_digest: u64,
    /// The hash of its set of departed incarnations.
    pub(crate) departed_digest: u64,
    /// In how many messages it was told of.
    pub(crate) told: u32,
    /// When this VM first heard of it.
    pub(crate) since: Timestamp,
}

impl Peer {
    /// Makes a peer that is known by an address alone.
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
            life: None,
            presence: Presence::Live,
            heard: None,
            rumored: None,
            listed: None,
            absent: None,
            fails: 0,
            sheet: None,
            claims: None,
            due: now,
            sent: Timestamp(0),
            acked: None,
            asked: None,
            leaving_digest: 0,
            departed_digest: 0,
            told: 0,
            since: now,
        }
    }

    /// Returns the life of its process last heard of.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.life.map(|(_, incarnation)| incarnation)
    }

    /// Takes on a life of the VM's process. What was known of another life goes.
    pub(crate) fn become_life(&mut self, vm: &Vm) {
        let new = self.incarnation() != Some(vm.incarnation);
        if new {
            self.told = 0;
            self.fails = 0;
            self.sheet = None;
            self.claims = None;
            self.heard = None;
            self.rumored = None;
            self.acked = None;
            self.leaving_digest = 0;
            self.departed_digest = 0;
        }
        self.life = Some((vm.generation, vm.incarnation));
        self.domain = vm.domain.clone();
        self.callers = vm.callers;
        self.peers = vm.peers;
    }

    /// Returns when anyone is known to have heard it.
    pub(crate) fn last_sign(&self) -> Option<Timestamp> {
        self.heard.max(self.rumored)
    }

    /// Returns how long it has been silent to all, counted from `from` at the
    /// earliest.
    pub(crate) fn silence(&self, now: Timestamp, from: Timestamp) -> Millis {
        now.since(self.last_sign().unwrap_or(self.since).max(from))
    }

    /// Returns the VM as it is told to others; `None` when only listed.
    pub(crate) fn vm(&self) -> Option<Vm> {
        let (generation, incarnation) = self.life?;
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
