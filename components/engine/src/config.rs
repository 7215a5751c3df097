//! The engine's settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kernel::{Domain, Millis};
use ownership::OwnershipConfig;
use schedule::ScheduleConfig;
use wire::{PoolLimits, ServerLimits};

/// What an engine is started with.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Where other VMs call this one.
    pub peers: SocketAddr,
    /// The address that their calls and beats arrive at, which differs from the
    /// former's behind a relay.
    pub listen: IpAddr,
    /// The port of beats, over UDP.
    pub beats: u16,
    /// The failure domain.
    pub domain: Domain,
    /// All failure domains, whose shards need owners.
    pub domains: Vec<Domain>,
    /// The share of a processor in thousandths.
    pub share: u32,
    /// Addresses where other VMs may be.
    pub seeds: Vec<Ipv4Addr>,
    /// Shards in each failure domain; the same on every VM.
    pub shards: u16,
    /// Who owns what.
    pub ownership: OwnershipConfig,
    /// What runs where.
    pub schedule: ScheduleConfig,
    /// Connections to other VMs.
    pub pool: PoolLimits,
    /// Connections of other VMs.
    pub server: ServerLimits,
    /// Time between two looks at deadlines, silent VMs and hung runs. A small
    /// part of the shortest objective, a large one of a processor's time slice.
    pub tick: Millis,
    /// How long a leaving VM goes on serving, so that the platform's balancer
    /// and its clients have gone elsewhere.
    pub linger: Millis,
}
