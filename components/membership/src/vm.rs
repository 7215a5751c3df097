//! An entry VM as its peers know it.

use std::net::SocketAddr;

use kernel::{Domain, Incarnation, VmId};
use serde::{Deserialize, Serialize};

/// Orders the incarnations of one VM id. It begins as the wall clock at the
/// process's start; a process that finds itself behind an earlier one just
/// after its start goes ahead of it, so that a clock set back does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Whether a VM takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// It does.
    Live,
    /// It is stopping as planned and takes none.
    Leaving,
}

/// What names a VM and says where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its id, which outlives its process.
    pub id: VmId,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// The place of this life among those of the id.
    pub generation: Generation,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
}

impl Vm {
    /// Tells whether this life of the id comes behind the other.
    pub(crate) fn is_after(&self, generation: Generation, incarnation: Incarnation) -> bool {
        (self.generation, self.incarnation) > (generation, incarnation)
    }
}
