//! What a VM tells its peers on heartbeats.

use kernel::{Domain, Millis};
use serde::{Deserialize, Serialize};

/// The most minions whose load a digest carries.
pub(crate) const MAX_LOADS: usize = 512;

/// The most minions of which a digest carries evidence.
pub(crate) const MAX_EVIDENCE: usize = 32;

/// A VM's view in at most about two kilobytes: one byte a minion of its domain
/// (two with more than 15 slots), 14 for each of at most 32 suspects and 4 for
/// each of at most 128 grants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's domain; `None` only in the empty digest.
    pub domain: Option<Domain>,
    /// A hash of the domain's minions, in whose order `loads` stands.
    pub members: u64,
    /// The sender's tasks on each minion of its domain, in the order of ids.
    #[serde(with = "crate::packed")]
    pub loads: Vec<u8>,
    /// The slots that the sender has on lease there, in the same order.
    #[serde(with = "crate::packed")]
    pub leases: Vec<u8>,
    /// Leases that the sender hands over with this digest; `leases` is less
    /// by them.
    pub grants: Vec<Grant>,
    /// The sender's rank among the domain's live VMs.
    pub rank: u8,
    /// Free leases of the sender, less its tasks that wait.
    pub spare: i32,
    /// Free slots in the domain, as the sender believes.
    pub free: u32,
    /// All slots in the domain.
    pub slots: u32,
    /// Minions that failed tasks of the sender.
    pub evidence: Vec<Evidence>,
}

impl Digest {
    /// Returns what other domains and heartbeats need to know: whether there is
    /// room. Leases and loads are left out, as a grant may count only once.
    pub fn abroad(&self) -> Digest {
        Digest {
            domain: self.domain.clone(),
            free: self.free,
            slots: self.slots,
            ..Digest::default()
        }
    }
}

/// Leases handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The minion's position in the order of ids.
    pub minion: u16,
    /// The rank of the VM that gets them.
    pub rank: u8,
    /// How many.
    pub slots: u8,
}

/// A minion that failed tasks of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The hash of the minion's id.
    pub minion: u64,
    /// Failures since the last good answer.
    pub fails: u8,
    /// How much longer the sender keeps the minion ejected.
    pub hold: Millis,
}
