//! The digest of load and health that a VM sends to its peers with heartbeats.

use kernel::{Domain, Millis};
use serde::{Deserialize, Serialize};

/// Largest number of minions whose load a digest carries.
pub(crate) const MAX_LOADS: usize = 512;

/// Largest number of minions for which a digest carries evidence.
pub(crate) const MAX_EVIDENCE: usize = 32;

/// A VM's view of its domain in at most about two kilobytes: one byte per
/// minion (two with more than 15 slots), 14 bytes for each of at most 32
/// minions with failures and 4 bytes for each of at most 128 grants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's domain; `None` only in the empty digest.
    pub domain: Option<Domain>,
    /// The hash of the ids of the domain's minions in their order, which is the
    /// order of `loads` and `leases`.
    pub members: u64,
    /// The number of the sender's tasks on each minion of its domain, in the
    /// order of ids.
    #[serde(with = "crate::packed")]
    pub loads: Vec<u8>,
    /// The number of slots that the sender has on lease on each minion, in the
    /// same order, without those in `grants`.
    #[serde(with = "crate::packed")]
    pub leases: Vec<u8>,
    /// The leases that the sender passes to other VMs with this digest.
    pub grants: Vec<Grant>,
    /// The sender's rank among the domain's live VMs.
    pub rank: u8,
    /// The free leases of the sender less its waiting tasks.
    pub spare: i32,
    /// The number of free slots in the domain, as far as the sender knows.
    pub free: u32,
    /// The number of all slots in the domain.
    pub slots: u32,
    /// The minions that failed tasks of the sender.
    pub evidence: Vec<Evidence>,
}

impl Digest {
    /// Returns a digest of the free capacity alone, for other domains and for
    /// heartbeats. It has no grants, because heartbeats repeat it and a grant
    /// must be applied only once.
    pub fn capacity_only(&self) -> Digest {
        Digest {
            domain: self.domain.clone(),
            free: self.free,
            slots: self.slots,
            ..Digest::default()
        }
    }
}

/// Leases on one minion that pass from the sender to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The position of the minion in the order of ids.
    pub minion: u16,
    /// The rank of the VM that receives the leases.
    pub rank: u8,
    /// The number of leases.
    pub slots: u8,
}

/// A minion that failed tasks of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The hash of the minion's id.
    pub minion: u64,
    /// The number of failures since the last good answer.
    pub fails: u8,
    /// The time for which the sender will keep the minion ejected.
    pub hold: Millis,
}
