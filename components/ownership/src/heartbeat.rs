//! The heartbeat that VMs send each other.

use std::cmp::Ordering;
use std::net::{Ipv4Addr, SocketAddr};

use kernel::{Domain, Epoch, Incarnation, Millis, Offset, Timestamp};
use schedule::{CrashRecord, EvidenceReport, Load};
use serde::{Deserialize, Serialize};

use crate::open_calls::OpenCalls;
use crate::shard::Shard;

/// Identity and state of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Address at which the VM takes calls from other VMs.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Share of a processor in thousandths. Larger VMs are preferred as owners.
    pub share: u32,
    /// Number of minions that the VM can own.
    pub room: u32,
    /// Identifies this run of the VM's process.
    pub incarnation: Incarnation,
    /// True once the VM has begun a planned stop.
    pub leaving: bool,
}

/// A VM's claim to a shard. Of two claims the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// True if the owner is in the shard's own domain.
    pub home: bool,
    /// Number of times that the shard has changed its owner.
    pub epoch: Epoch,
    /// The owner's share of a processor: if several VMs take a shard at the
    /// same time at a cold start, the largest keeps it.
    pub share: u32,
    /// The owner's address, which breaks ties.
    pub addr: SocketAddr,
}

impl Claim {
    /// Returns whether this claim to `shard` wins over another VM's claim to
    /// `theirs`, which overlaps it. At the same epoch the larger shard wins: a
    /// VM that knows more of the others divides the domain less.
    pub fn wins_over(&self, shard: &Shard, other: &Claim, theirs: &Shard) -> bool {
        let order = self.home.cmp(&other.home);
        let order = order.then(self.epoch.cmp(&other.epoch));
        let order = order.then(theirs.count.cmp(&shard.count));
        let order = order.then(self.share.cmp(&other.share));
        order.then(self.addr.cmp(&other.addr)) == Ordering::Greater
    }
}

/// An owner's report of one of its shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The shard that is reported.
    pub shard: Shard,
    /// The owner's claim to the shard.
    pub claim: Claim,
    /// The current load of the shard's minions.
    pub load: Load,
}

/// A datagram that each VM sends to the others at regular intervals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The VM that sends the heartbeat.
    pub from: VmInfo,
    /// Longest time until the receiver gets the sender's next heartbeat.
    pub interval: Millis,
    /// Version of the configuration that the sender has.
    pub version: u64,
    /// The shards that the sender owns.
    pub reports: Vec<Report>,
    /// Addresses of some VMs that the sender knows.
    pub known: Vec<Ipv4Addr>,
    /// Offset of the sender's state of evacuations; 0 if it knows none.
    #[serde(default)]
    pub evacuations: Offset,
    /// Run times that the sender has observed as an owner. Most heartbeats have
    /// none.
    #[serde(default)]
    pub evidence: EvidenceReport,
    /// Offset up to which the sender has read the register; 0 if it has none from
    /// the store.
    #[serde(default)]
    pub register: Offset,
    /// New records of runs that were lost with their minions. Most heartbeats have
    /// none.
    #[serde(default)]
    pub crashes: Vec<CrashRecord>,
    /// Time on the sender's clock, from which the receiver tells when its messages
    /// to the sender were sent; 0 from VMs that don't tell it.
    #[serde(default)]
    pub sent: Timestamp,
    /// The calls to the receiver that the sender waits for; `None` for a VM that it
    /// hasn't called.
    #[serde(default)]
    pub calls: Option<OpenCalls>,
}
