//! State shared by the modules of the engine.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use kernel::{BootClock, Clock, HashMap, Millis, Timestamp};
use metrics::Metrics;
use ownership::{Peers, Reports, SentWork, Shard, Tokens};
use schedule::MinionInfo;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wire::{Client, TcpConnect};

use crate::config::EngineConfig;
use crate::crashes::Crashes;
use crate::evacuation::Evacuations;
use crate::leases::CallTable;
use crate::model::Configuration;
use crate::owned::Owned;
use crate::register::RegisterRead;
use crate::stall::Ticks;
use crate::startup::Startup;

/// The shared state of one VM.
#[derive(Debug)]
pub(crate) struct Core<M> {
    pub cfg: EngineConfig,
    pub clock: BootClock,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Sends orders to minions.
    pub minions: M,
    /// Client for calls to other VMs.
    pub client: Client<TcpConnect>,
    /// Socket for heartbeats.
    pub socket: UdpSocket,
    /// Configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// Domains that are being evacuated.
    pub evacuations: ArcSwap<Evacuations>,
    /// Register of minions; empty until it has been read.
    pub register: ArcSwapOption<Vec<MinionInfo>>,
    /// Progress of reading the register.
    pub register_read: Mutex<RegisterRead>,
    /// Notified when the register must be read now, for a shard that was taken.
    pub register_needed: Notify,
    /// Shards that this VM owns.
    pub owned: ArcSwap<HashMap<Shard, Arc<Owned>>>,
    /// State of other VMs and of ownership.
    pub peers: Mutex<Peers>,
    /// Run times that other owners have reported.
    pub evidence: Mutex<Reports>,
    /// Runs that were lost with their minions, as far as this VM knows.
    pub crashes: Mutex<Crashes>,
    /// Generator of fencing tokens.
    pub tokens: Mutex<Tokens>,
    /// Calls to other VMs that run jobs for this one.
    pub calls: Mutex<CallTable>,
    /// True while all VMs are to get a heartbeat at the next tick, because a
    /// shard of this VM has got room for jobs.
    pub room_found: AtomicBool,
    /// Steps of this VM's start.
    pub startup: Startup,
    /// Jobs sent to shards of other VMs since their last reports.
    pub sent_work: Mutex<SentWork>,
    /// Times of the periodic work.
    pub ticks: Ticks,
    /// True once the planned stop of this VM has begun.
    pub stopping: AtomicBool,
}

impl<M> Core<M> {
    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the time that a start order waits for this VM's link.
    pub fn link_delay(&self) -> Millis {
        Millis(self.cfg.link.delay().as_millis() as u64)
    }

    /// Locks the state of other VMs and of ownership.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the progress of reading the register.
    pub fn register_read(&self) -> RegisterRead {
        *lock(&self.register_read)
    }

    /// Returns the version of the configuration in force, or 0 without one.
    pub fn version(&self) -> u64 {
        self.configuration.load().as_ref().map_or(0, |c| c.version)
    }

    /// Returns the state of a shard, or of one that overlaps it, if this VM owns
    /// one.
    pub fn owned_part(&self, shard: &Shard) -> Option<Arc<Owned>> {
        let owned = self.owned.load();
        let part = owned.iter().find(|(s, _)| s.overlaps(shard));
        owned.get(shard).or(part.map(|(_, o)| o)).cloned()
    }

    /// Returns the state of a shard if this VM owns it.
    pub fn owned(&self, shard: &Shard) -> Option<Arc<Owned>> {
        self.owned.load().get(shard).cloned()
    }
}

/// Locks a mutex, even if it is poisoned: the data are plain values, which a
/// panic elsewhere leaves usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
