//! What VMs tell each other all the time.

use std::cmp::Ordering;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::num::ParseIntError;
use std::str::FromStr;

use kernel::{Domain, Incarnation};
use schedule::Load;
use serde::{Deserialize, Serialize};

use crate::shard::Shard;

/// How often a shard has changed hands, as far as its owner knows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Epoch {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Epoch, ParseIntError> {
        s.parse().map(Epoch)
    }
}

/// Who a VM is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Where it takes calls of other VMs.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its share of a processor in thousandths; larger VMs own shards.
    pub share: u32,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// True once it stops.
    pub leaving: bool,
}

/// A VM's claim to a shard. The greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// True if the owner is in the shard's own domain.
    pub home: bool,
    /// How often the shard has changed hands.
    pub epoch: Epoch,
    /// The owner's address, which decides between equal epochs.
    pub addr: SocketAddr,
}

impl Claim {
    /// Tells whether this claim wins over another VM's.
    pub fn beats(&self, other: &Claim) -> bool {
        let order = self.home.cmp(&other.home);
        let order = order.then(self.epoch.cmp(&other.epoch));
        order.then(self.addr.cmp(&other.addr)) == Ordering::Greater
    }
}

/// What an owner tells of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The shard.
    pub shard: Shard,
    /// The claim.
    pub claim: Claim,
    /// How busy it is.
    pub load: Load,
}

/// A datagram from one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: VmInfo,
    /// The version of the configuration that it holds.
    pub version: u64,
    /// The shards that it owns.
    pub reports: Vec<Report>,
    /// Some VMs that it knows.
    pub known: Vec<Ipv4Addr>,
}
