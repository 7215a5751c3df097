//! The heartbeat message. The answer to a heartbeat has the same form.

use kernel::{Incarnation, Millis, MinionId, Offset};
use serde::{Deserialize, Serialize};

use crate::vm::{Presence, Vm};

/// Maximum number of other VMs in one heartbeat.
pub const MAX_VM_NEWS: usize = 2;

/// Maximum number of leaving minions in one heartbeat.
pub const MAX_MINION_NEWS: usize = 64;

/// Maximum number of departed incarnations in one heartbeat.
pub const MAX_DEPARTED_NEWS: usize = 8;

/// State of the sending VM, with some gossip about other VMs and minions. The
/// note is not read by this crate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat<N> {
    /// VM that sent the heartbeat.
    pub from: Vm,
    /// Whether the sender takes new work.
    pub presence: Presence,
    /// Incarnation that took over what the sender owned. Once it is set, the
    /// sender counts as gone for good.
    pub successor: Option<Incarnation>,
    /// Version of the sheet that the sender holds.
    pub sheet: Option<Offset>,
    /// Offset up to which the sender has read claims.
    pub claims: Option<Offset>,
    /// Some other VMs, at most [`MAX_VM_NEWS`].
    pub vms: Vec<VmNews>,
    /// Leaving minions, at most [`MAX_MINION_NEWS`].
    pub leaving: LeavingNews,
    /// Incarnations gone for good, at most [`MAX_DEPARTED_NEWS`].
    pub departed: Sync<DepartedNews>,
    /// Data that the sender adds for other features.
    pub note: N,
}

/// Gossip about leaving minions.
pub type LeavingNews = Sync<MinionNews>;

/// Part of a set, with the hash of the whole set. Two VMs compare the hashes to
/// see whether their sets still differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync<T> {
    /// Hash of the sender's set.
    pub digest: u64,
    /// Some members of the set; few or none if the receiver last reported the same
    /// hash.
    pub news: Vec<T>,
}

/// Gossip about another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmNews {
    /// VM that the gossip is about.
    pub vm: Vm,
    /// Whether the VM takes new work.
    pub presence: Presence,
    /// Time since the VM's last message that the sender knows of, received by
    /// itself or by another VM.
    pub age: Millis,
}

/// A minion that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionNews {
    /// Id of the minion.
    pub minion: MinionId,
    /// Time until the mark expires, unless it is renewed.
    pub left: Millis,
}

/// An incarnation that is gone for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedNews {
    /// Incarnation that is gone.
    pub incarnation: Incarnation,
    /// Incarnation that took over what it owned, if it ended in a planned stop.
    pub successor: Option<Incarnation>,
    /// Time until the departure is forgotten.
    pub left: Millis,
}
