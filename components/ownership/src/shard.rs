//! Shards: disjoint parts of a failure domain's minions, each with one owner.

use std::fmt;

use kernel::{Domain, MinionId, key_hash};
use serde::{Deserialize, Serialize};

/// Identifies a part of a failure domain's minions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Failure domain of the minions.
    pub domain: Domain,
    /// Index of the shard within its domain, from 0.
    pub index: u16,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.index)
    }
}

/// Returns the shard of a minion in a domain that is divided into `count`
/// shards.
pub fn shard_of(domain: &Domain, minion: &MinionId, count: u16) -> Shard {
    let hash = key_hash(minion.as_str().as_bytes());
    Shard {
        domain: domain.clone(),
        index: (hash % u128::from(count.max(1))) as u16,
    }
}
