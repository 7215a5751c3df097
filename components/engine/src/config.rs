//! The engine's settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kernel::{Domain, Millis};
use ownership::OwnershipConfig;
use schedule::ScheduleConfig;
use wire::{Link, PoolLimits, ServerLimits};

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address at which other VMs call this one.
    pub peer_addr: SocketAddr,
    /// IP address that the sockets for calls and heartbeats are bound to. It
    /// differs from the address in `peer_addr` behind a relay.
    pub listen: IpAddr,
    /// UDP port of heartbeats.
    pub heartbeat_port: u16,
    /// Failure domain of this VM.
    pub domain: Domain,
    /// All failure domains of the site, whose shards need owners.
    pub domains: Vec<Domain>,
    /// This VM's share of a processor in thousandths.
    pub share: u32,
    /// Number of minions that this VM can own.
    pub room: u32,
    /// This VM's network link.
    pub link: Link,
    /// Addresses at which other VMs may be.
    pub seeds: Vec<Ipv4Addr>,
    /// Least number of shards in each failure domain. It has more if its VMs are
    /// too small for that number.
    pub shards: u16,
    /// Settings of shard ownership.
    pub ownership: OwnershipConfig,
    /// Settings of the scheduler.
    pub schedule: ScheduleConfig,
    /// Limits on connections to other VMs.
    pub pool: PoolLimits,
    /// Limits on connections from other VMs.
    pub server: ServerLimits,
    /// Interval between checks for deadlines, lost VMs and hung runs. It is
    /// a small part of the shortest objective and a large part of a processor's
    /// time slice.
    pub tick: Millis,
    /// Time for which a leaving VM continues to serve requests, until the
    /// platform's balancer and the clients have switched to other VMs.
    pub linger: Millis,
}
