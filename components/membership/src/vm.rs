//! Identity and addresses of an entry VM.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Orders the incarnations of one VM id. It starts as the wall clock at process
/// start. A process that meets an earlier one with a higher generation just
/// after its start raises its own above it, so that a clock set back does no
/// harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Whether a VM takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// The VM takes new work.
    Live,
    /// The VM is in a planned stop and takes no new work.
    Leaving,
}

/// Identity, failure domain and addresses of a VM's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the VM, which stays the same when its process restarts.
    pub id: VmId,
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// Generation, which orders this incarnation among those of the id.
    pub generation: Generation,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Address at which callers reach the VM.
    pub callers: SocketAddr,
    /// Address at which peers reach the VM.
    pub peers: SocketAddr,
}

impl Vm {
    /// Returns whether this incarnation is later than the given one.
    pub(crate) fn is_after(&self, generation: Generation, incarnation: Incarnation) -> bool {
        (self.generation, self.incarnation) > (generation, incarnation)
    }
}
