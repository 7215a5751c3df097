//! What VMs tell each other all the time.

use std::cmp::Ordering;
use std::net::{Ipv4Addr, SocketAddr};

use kernel::{Domain, Epoch, Incarnation};
use schedule::Load;
use serde::{Deserialize, Serialize};

use crate::shard::Shard;

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
    /// The owner's share of a processor: of VMs that take a shard together at a
    /// cold start the largest keeps it.
    pub share: u32,
    /// The owner's address, which decides between equals.
    pub addr: SocketAddr,
}

impl Claim {
    /// Tells whether this claim wins over another VM's.
    pub fn beats(&self, other: &Claim) -> bool {
        let order = self.home.cmp(&other.home);
        let order = order.then(self.epoch.cmp(&other.epoch));
        let order = order.then(self.share.cmp(&other.share));
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
