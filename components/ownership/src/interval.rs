//! Intervals of heartbeats. They grow with the number of VMs, so that heartbeats
//! take a bounded part of each VM's link and processor
//! (docs/design/platform.md#heartbeats).

use kernel::{BitRate, Millis};

use crate::config::OwnershipConfig;

/// Part of the sender's link that its heartbeats to all VMs may use.
const LINK_PART: u64 = 16;

/// Heartbeats per second that a VM receives from all VMs without shards.
const IDLE_RATE: u64 = 200;

/// Heartbeats per second that a VM receives from all owners.
const OWNER_RATE: u64 = 100;

/// Bytes of packet headers of a datagram.
const DATAGRAM_BYTES: u64 = 28;

/// Inputs to the interval of a VM's heartbeats to all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broadcast {
    /// Number of the other VMs.
    pub peers: usize,
    /// Number of VMs that own shards.
    pub owners: usize,
    /// True if the sender owns a shard.
    pub is_owner: bool,
    /// Size of a heartbeat in bytes.
    pub bytes: usize,
    /// Rate of the sender's link.
    pub link: BitRate,
}

impl Broadcast {
    /// Returns the interval between heartbeats to all VMs.
    pub fn interval(&self, cfg: &OwnershipConfig) -> Millis {
        let (least, received) = match self.is_owner {
            true => (
                cfg.heartbeat_interval,
                self.owners as u64 * 1_000 / OWNER_RATE,
            ),
            false => (cfg.idle_interval, self.peers as u64 * 1_000 / IDLE_RATE),
        };
        let bits = (self.bytes as u64 + DATAGRAM_BYTES) * 8 * self.peers as u64;
        let sent = bits * 1_000 * LINK_PART / self.link.0.max(1);
        least.max(Millis(received.max(sent)))
    }
}
