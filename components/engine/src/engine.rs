//! The handle by which a program starts, configures and stops the engine.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use kernel::{BootClock, Clock, Domain, HashMap, Incarnation, Millis, Offset};
use metrics::{Gauge, Metrics};
use ownership::{Peers, Tokens, VmInfo};
use schedule::{JobSpec, MinionInfo, Outcome};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wire::{Client, Server, TcpConnect};

use crate::beats;
use crate::calls::PeerHandler;
use crate::config::EngineConfig;
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::drive;
use crate::evacuation::{self, Evacuations};
use crate::first_reads::{self, read_first};
use crate::handover;
use crate::model::Configuration;
use crate::register::{RegisterRead, merge};
use crate::stall::Ticks;
use crate::startup::{Startup, Step};
use crate::submit::submit;

/// Number of VMs of a domain, besides the first candidate, that follow the
/// register so that they can take a shard while the store is unavailable.
const STANDBYS: usize = 1;

/// Interval at which a request that waits for the first configuration checks for
/// it.
const CONFIGURATION_POLL: Millis = Millis(10);

/// Error that prevents an engine from starting.
#[derive(Debug)]
pub enum StartError {
    /// The machine has no clock that counts suspended time.
    Clock(std::io::Error),
    /// An address cannot be bound.
    Bind(SocketAddr, std::io::Error),
    /// The VM's address is not an IPv4 address, which heartbeats and tokens
    /// need.
    Address(IpAddr),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Clock(e) => write!(f, "cannot read the clock of the time since boot: {e}"),
            StartError::Bind(addr, e) => write!(f, "cannot bind {addr}: {e}"),
            StartError::Address(ip) => write!(f, "{ip} is not an IPv4 address"),
        }
    }
}

impl std::error::Error for StartError {}

/// Handle of a running engine. Clones refer to the same engine.
#[derive(Debug)]
pub struct Engine<M> {
    core: Arc<Core<M>>,
}

impl<M> Clone for Engine<M> {
    fn clone(&self) -> Engine<M> {
        Engine {
            core: self.core.clone(),
        }
    }
}

impl<M: Minions> Engine<M> {
    /// Starts an engine. It runs no job until it has a configuration and a
    /// register.
    ///
    /// # Errors
    ///
    /// Returns an error if the machine has no clock of the time since boot, if
    /// the VM's address is not an IPv4 address, or if an address cannot be
    /// bound.
    pub async fn start(cfg: EngineConfig, minions: M) -> Result<Engine<M>, StartError> {
        let clock = BootClock::new().map_err(StartError::Clock)?;
        let IpAddr::V4(ip) = cfg.peer_addr.ip() else {
            return Err(StartError::Address(cfg.peer_addr.ip()));
        };
        let heartbeat_addr = SocketAddr::from((cfg.listen, cfg.heartbeat_port));
        let socket = UdpSocket::bind(heartbeat_addr).await;
        let socket = socket.map_err(|e| StartError::Bind(heartbeat_addr, e))?;
        let calls_addr = SocketAddr::from((cfg.listen, cfg.peer_addr.port()));
        let server = Server::bind(calls_addr, cfg.server).await;
        let server = server.map_err(|e| StartError::Bind(calls_addr, e))?;
        let me = VmInfo {
            addr: cfg.peer_addr,
            domain: cfg.domain.clone(),
            share: cfg.share,
            room: cfg.room,
            incarnation: Incarnation::draw(&mut rand::rng()),
            leaving: false,
        };
        let now = clock.now();
        let mut peers = Peers::new(cfg.ownership, me, now);
        for seed in &cfg.seeds {
            peers.add_address(*seed, now);
        }
        let tokens = Tokens::new(ip, clock.wall());
        let core = Arc::new(Core {
            client: Client::new(TcpConnect, cfg.pool),
            metrics: Metrics::new(),
            minions,
            socket,
            configuration: ArcSwapOption::empty(),
            evacuations: ArcSwap::default(),
            register: ArcSwapOption::empty(),
            register_read: Mutex::default(),
            register_needed: Notify::new(),
            owned: ArcSwap::default(),
            peers: Mutex::new(peers),
            evidence: Mutex::default(),
            crashes: Mutex::default(),
            tokens: Mutex::new(tokens),
            calls: Mutex::default(),
            room_found: AtomicBool::new(false),
            startup: Startup::new(),
            sent_work: Mutex::default(),
            ticks: Ticks::default(),
            stopping: AtomicBool::new(false),
            clock,
            cfg,
        });
        tokio::spawn(server.serve(PeerHandler(core.clone())));
        tokio::spawn(beats::receive(core.clone()));
        tokio::spawn(beats::run(core.clone()));
        tokio::spawn(read_first(core.clone()));
        Ok(Engine { core })
    }

    /// Puts a configuration in force unless a later version is in force.
    pub fn configure(&self, configuration: Configuration) {
        configure(&self.core, configuration);
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.core.configuration.load_full()
    }

    /// Puts a state of evacuations that was read from the store in force, unless
    /// a later one is in force.
    pub fn evacuate(&self, evacuations: &Evacuations) {
        evacuation::adopt(&self.core, evacuations, "store");
    }

    /// Returns the state of evacuations in force.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.core.evacuations.load_full()
    }

    /// Returns all failure domains of the site, each with whether it is being
    /// evacuated.
    pub fn evacuated_domains(&self) -> Vec<(Domain, bool)> {
        let evacuations = self.core.evacuations.load();
        let domains = self.core.cfg.domains.iter();
        domains
            .map(|d| (d.clone(), evacuations.contains(d)))
            .collect()
    }

    /// Replaces the register of minions.
    pub fn register(&self, minions: Vec<MinionInfo>) {
        self.core.register.store(Some(Arc::new(minions)));
        lock(&self.core.register_read).current = self.core.now();
        sync_minions(&self.core);
    }

    /// Records that the register in the store was read up to `end` and, if it had
    /// changed, passed to [`Engine::register`].
    pub fn register_read(&self, end: Offset) {
        let now = self.core.now();
        *lock(&self.core.register_read) = RegisterRead {
            end,
            tried: now,
            current: now,
        };
        first_reads::end_waits(&self.core);
    }

    /// Waits until this VM takes a shard and needs the present register for it.
    pub async fn register_needed(&self) {
        self.core.register_needed.notified().await;
    }

    /// Returns the register of minions.
    pub fn minions(&self) -> Option<Arc<Vec<MinionInfo>>> {
        self.core.register.load_full()
    }

    /// Adds an address at which another VM may be.
    pub fn add_address(&self, addr: Ipv4Addr) {
        self.core.peers().add_address(addr, self.core.now());
    }

    /// Runs a job. Dropping the future cancels it.
    pub async fn submit(&self, spec: JobSpec) -> Outcome {
        submit(&self.core, spec).await
    }

    /// Returns whether this VM should receive requests: it has a configuration,
    /// knows an owner of minions, and is not stopping. When all VMs start, it
    /// receives them before the first owner is known and keeps the jobs: a
    /// balancer that probes once a second would notice the owner up to a second
    /// late.
    pub fn ready(&self) -> bool {
        let configured = self.core.configuration.load().is_some();
        let serves = self.knows_owner() || self.starts_with_others();
        !self.stopping() && configured && serves
    }

    /// Returns whether all VMs seem to be starting and this one keeps jobs until
    /// there is an owner.
    fn starts_with_others(&self) -> bool {
        let now = self.core.now();
        let peers = self.core.peers();
        peers.starting(now) && peers.is_cold_start(now)
    }

    /// Returns the configuration in force. A VM that has just started waits for
    /// it, for at most `limit`: it arrives within some ten milliseconds, while a
    /// refused client returns a second later.
    pub async fn first_configuration(&self, limit: Millis) -> Option<Arc<Configuration>> {
        let until = self.core.now().after(limit);
        loop {
            let held = self.configuration();
            let now = self.core.now();
            if held.is_some() || now >= until || !self.core.peers().starting(now) {
                return held;
            }
            tokio::time::sleep(CONFIGURATION_POLL.duration()).await;
        }
    }

    /// Returns whether this VM knows the owner of at least one shard.
    fn knows_owner(&self) -> bool {
        self.owns() || self.core.peers().owners().next().is_some()
    }

    /// Returns whether the planned stop of this VM has begun.
    pub fn stopping(&self) -> bool {
        beats::stopping(&self.core)
    }

    /// Returns whether this VM owns a shard.
    pub fn owns(&self) -> bool {
        !self.core.owned.load().is_empty()
    }

    /// Returns whether this VM should follow the register of minions in the
    /// store: it owns a shard, is among the first candidates for a shard of its
    /// domain, or has just started while no shard of its domain has a known
    /// owner, so that any VM may be the one to take it. Other VMs get the
    /// register from an owner when they need it, as the store cannot serve the
    /// records of thousands of minions to hundreds of VMs.
    pub fn follows_register(&self) -> bool {
        let now = self.core.now();
        let peers = self.core.peers();
        let shards = peers.shards(&self.core.cfg.domain, self.core.cfg.shards, now);
        let mut ranks = shards.iter().map(|shard| peers.rank(shard, now));
        let domain = &self.core.cfg.domain;
        let vacant = peers.owners().all(|(shard, _)| shard.domain != *domain);
        let first = vacant && peers.starting(now);
        self.owns() || first || ranks.any(|rank| rank <= STANDBYS)
    }

    /// Returns the number of accepted jobs on this VM's shards that have not
    /// started.
    pub fn pending(&self) -> usize {
        let owned = self.core.owned.load();
        owned.values().map(|o| o.lock().scheduler.pending()).sum()
    }

    /// Returns the counters and gauges, which all clones share.
    pub fn metrics(&self) -> Metrics {
        self.core.metrics.clone()
    }

    /// Returns the engine's clock.
    pub(crate) fn clock(&self) -> &BootClock {
        &self.core.clock
    }

    /// Returns the record of the steps of this VM's start.
    pub fn startup(&self) -> &Startup {
        &self.core.startup
    }

    /// Hands this VM's shards over to other VMs and waits until callers have
    /// switched to them. The engine answers requests until the program ends.
    pub async fn leave(&self) {
        if self.core.stopping.swap(true, Ordering::Relaxed) {
            return;
        }
        handover::leave(&self.core).await;
    }
}

/// Adds to the register the entries of another VM that are later, and those of
/// minions that it lacks. `end` is the offset up to which that VM has read.
pub(crate) fn merge_register<M: Minions>(core: &Arc<Core<M>>, minions: &[MinionInfo], end: Offset) {
    {
        let mut read = lock(&core.register_read);
        read.end = read.end.max(end);
        read.current = core.now();
    }
    let mut changed = false;
    core.register.rcu(|held| {
        let mut merged = held.as_ref().map_or_else(Vec::new, |held| held.to_vec());
        changed = merge(&mut merged, minions);
        Some(Arc::new(merged))
    });
    if changed {
        sync_minions(core);
    }
    first_reads::end_waits(core);
}

/// Takes the register of another VM if none has been read from the store.
pub(crate) fn adopt_register<M: Minions>(core: &Arc<Core<M>>, minions: Vec<MinionInfo>) {
    let fresh = Arc::new(minions);
    let held = core
        .register
        .compare_and_swap(&None::<Arc<Vec<MinionInfo>>>, Some(fresh));
    if held.is_none() {
        lock(&core.register_read).current = core.now();
        sync_minions(core);
    }
}

/// Brings the minions of all owned shards in line with the register.
fn sync_minions<M: Minions>(core: &Arc<Core<M>>) {
    let mut counts = HashMap::default();
    for minion in core.register.load().iter().flat_map(|all| all.iter()) {
        *counts.entry(minion.domain.clone()).or_insert(0) += 1;
    }
    core.peers().set_minions(counts);
    core.startup.reach(Step::Register);
    for owned in core.owned.load().values() {
        drive::sync_register(core, owned);
    }
}

/// Puts a configuration in force unless a later version is in force.
pub(crate) fn configure<M>(core: &Core<M>, configuration: Configuration) {
    let version = configuration.version;
    let queues = configuration.queues.len();
    let fresh = Arc::new(configuration);
    let mut changed = false;
    core.configuration.rcu(|held| {
        changed = held.as_ref().is_none_or(|c| c.version < version);
        match changed {
            true => Some(fresh.clone()),
            false => held.clone(),
        }
    });
    if changed {
        core.metrics.set(Gauge::ConfigurationVersion, version);
        log::info!(version = version, queues = queues; "configuration in force");
        core.startup.reach(Step::Configuration);
    }
}
