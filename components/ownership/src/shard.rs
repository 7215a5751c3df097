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
    /// Number of shards that the domain is divided into, a power of two. VMs
    /// may disagree about it for a while.
    pub count: u16,
}

/// Largest number of shards of a domain.
pub(crate) const MAX_SHARDS: u16 = 64;

impl Shard {
    /// Returns whether a domain can have this shard. Shards in messages of other
    /// VMs are checked, as each tick goes through all shards of a division.
    pub fn is_valid(&self) -> bool {
        self.count.is_power_of_two() && self.count <= MAX_SHARDS && self.index < self.count
    }

    /// Returns whether the two shards have minions in common. As counts are
    /// powers of two, one of them is then a part of the other.
    pub fn overlaps(&self, other: &Shard) -> bool {
        let count = self.count.min(other.count).max(1);
        self.domain == other.domain && self.index % count == other.index % count
    }

    /// Returns the shard of which this one is a half, or `None` if it is a whole
    /// domain.
    pub fn whole(&self) -> Option<Shard> {
        let count = self.count / 2;
        (count > 0).then(|| Shard {
            domain: self.domain.clone(),
            index: self.index % count,
            count,
        })
    }

    /// Returns the two halves of the shard.
    pub fn halves(&self) -> [Shard; 2] {
        let count = self.count.max(1);
        [self.index, self.index + count].map(|index| Shard {
            domain: self.domain.clone(),
            index,
            count: count * 2,
        })
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.index)?;
        match self.count {
            0 | 1 => Ok(()),
            count => write!(f, "of{count}"),
        }
    }
}

/// Returns the shard of a minion in a domain that is divided into `count`
/// shards.
pub fn shard_of(domain: &Domain, minion: &MinionId, count: u16) -> Shard {
    let count = count.max(1);
    let hash = key_hash(minion.as_str().as_bytes());
    Shard {
        domain: domain.clone(),
        index: (hash % u128::from(count)) as u16,
        count,
    }
}
