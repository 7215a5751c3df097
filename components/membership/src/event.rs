//! Inputs of membership, and the targets of its heartbeats.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, MinionId, VmId};

use crate::vm::Presence;

/// The parts of the platform's VM list that membership uses. The list lags
/// behind the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Entry VMs in the list.
    pub vms: Vec<ListedVm>,
    /// Minions that the list shows as leaving.
    pub leaving: Vec<MinionId>,
}

/// An entry VM in the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Id of the VM.
    pub id: VmId,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Address at which callers reach the VM.
    pub callers: SocketAddr,
    /// Address at which peers reach the VM.
    pub peers: SocketAddr,
    /// Whether the VM takes new work.
    pub presence: Presence,
}

/// Peer to which a heartbeat is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the peer.
    pub id: VmId,
    /// Address to which the heartbeat is sent.
    pub addr: SocketAddr,
    /// Incarnation expected at the address; `None` if none is known.
    pub incarnation: Option<Incarnation>,
}

/// Result of a request to a peer other than a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Contact {
    /// The peer answered.
    Answered,
    /// The connection was refused.
    Refused,
    /// No answer came in time, or the connection broke.
    Lost,
}

/// Counts of events that must never happen, or only rarely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Number of offsets that a peer's process reported lower than before.
    pub offset_drops: u64,
    /// Number of heartbeats from processes that are gone or have been replaced.
    pub stale_heartbeats: u64,
    /// Number of heartbeats answered by a VM other than the target.
    pub wrong_vm: u64,
    /// Number of times that this process seems to have been paused.
    pub pauses: u64,
}
