//! What happens to membership from outside.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, MinionId, VmId};

use crate::vm::Presence;

/// The platform's list of machines, as far as it matters here. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// The entry VMs.
    pub vms: Vec<ListedVm>,
    /// The minions that the list shows as leaving.
    pub leaving: Vec<MinionId>,
}

/// An entry VM in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub id: VmId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Whether it is leaving.
    pub presence: Presence,
}

/// To whom a heartbeat is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The peer's id.
    pub id: VmId,
    /// Where it takes heartbeats.
    pub addr: SocketAddr,
    /// The life of its process that is expected there; `None` when none is
    /// known.
    pub incarnation: Option<Incarnation>,
}

/// How a real request to a peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Contact {
    /// The peer answered.
    Answered,
    /// The connection was refused.
    Refused,
    /// No answer came in time, or the connection broke.
    Lost,
}

/// Counts of what must never happen, or seldom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Offsets that a peer reported lower than before in the same life.
    pub offset_drops: u64,
    /// Heartbeats from lives that are gone or have been replaced.
    pub stale_beats: u64,
    /// Heartbeats answered by another VM than was asked.
    pub wrong_vm: u64,
    /// Times that this process seems to have been paused.
    pub pauses: u64,
}
