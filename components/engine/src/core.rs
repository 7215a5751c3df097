//! What the parts of the engine share.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use kernel::{BootClock, Clock, HashMap, Timestamp};
use metrics::Metrics;
use ownership::{Peers, Shard, Tokens};
use schedule::MinionInfo;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use wire::{Client, TcpConnect};

use crate::config::EngineConfig;
use crate::model::Configuration;
use crate::owned::Owned;

/// The shared state of one VM.
#[derive(Debug)]
pub(crate) struct Core<M> {
    pub cfg: EngineConfig,
    pub clock: BootClock,
    /// Counters and levels.
    pub metrics: Metrics,
    /// Gives orders to minions.
    pub minions: M,
    /// Calls other VMs.
    pub client: Client<TcpConnect>,
    /// Beats of other VMs.
    pub socket: UdpSocket,
    /// The configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// The register of minions; none before it was read.
    pub register: ArcSwapOption<Vec<MinionInfo>>,
    /// The shards that this VM owns.
    pub owned: ArcSwap<HashMap<Shard, Arc<Owned>>>,
    /// What is known of other VMs.
    pub peers: Mutex<Peers>,
    /// Tokens for minions.
    pub tokens: Mutex<Tokens>,
    /// How many jobs other VMs run for this one.
    pub away: Mutex<HashMap<SocketAddr, usize>>,
    /// Changes whenever a shard changes hands, for jobs that wait on its owner.
    pub moves: watch::Sender<u64>,
    /// True once the VM stops.
    pub stopping: AtomicBool,
}

impl<M> Core<M> {
    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks what is known of other VMs.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub fn version(&self) -> u64 {
        self.configuration.load().as_ref().map_or(0, |c| c.version)
    }

    /// Returns a shard that this VM owns.
    pub fn owned(&self, shard: &Shard) -> Option<Arc<Owned>> {
        self.owned.load().get(shard).cloned()
    }
}

/// Locks, also after a panic elsewhere: the data are plain values.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
