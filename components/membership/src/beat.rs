//! The heartbeat, which is also its own answer.

use kernel::{Incarnation, Millis, MinionId, Offset};
use serde::{Deserialize, Serialize};

use crate::vm::{Presence, Vm};

/// The most VMs that one heartbeat tells of.
pub const MAX_VM_NEWS: usize = 2;

/// The most leaving minions that one heartbeat tells of.
pub const MAX_MINION_NEWS: usize = 64;

/// The most departed incarnations that one heartbeat tells of.
pub const MAX_DEPARTED_NEWS: usize = 8;

/// What a VM says of itself, and some of what it has heard. The note is the
/// sender's own business and is not read here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat<N> {
    /// The sender.
    pub from: Vm,
    /// Whether the sender takes new work.
    pub presence: Presence,
    /// To whom the sender has handed over what it owned; it then counts as
    /// gone for good.
    pub successor: Option<Incarnation>,
    /// The version of the sheet that the sender holds.
    pub sheet: Option<Offset>,
    /// The offset up to which the sender has read claims.
    pub claims: Option<Offset>,
    /// Some other VMs, at most [`MAX_VM_NEWS`].
    pub vms: Vec<VmNews>,
    /// Leaving minions, at most [`MAX_MINION_NEWS`].
    pub leaving: LeavingNews,
    /// Incarnations gone for good, at most [`MAX_DEPARTED_NEWS`].
    pub departed: Sync<DepartedNews>,
    /// What the sender adds for other features.
    pub note: N,
}

/// News of leaving minions.
pub type LeavingNews = Sync<MinionNews>;

/// A part of a set, and the hash of the whole of it, by which two VMs see
/// whether they still have something to tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync<T> {
    /// The hash of the sender's set.
    pub digest: u64,
    /// Some of it; none when the receiver's set had the same hash last.
    pub news: Vec<T>,
}

/// Hearsay of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmNews {
    /// The VM.
    pub vm: Vm,
    /// Whether it takes new work.
    pub presence: Presence,
    /// How long ago anyone known to the sender heard it directly.
    pub age: Millis,
}

/// A minion that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionNews {
    /// The minion.
    pub minion: MinionId,
    /// How much longer that holds if nobody says it again.
    pub left: Millis,
}

/// An incarnation that is gone for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedNews {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Who took over what it owned, if it stopped as planned.
    pub successor: Option<Incarnation>,
    /// How much longer that is remembered.
    pub left: Millis,
}
