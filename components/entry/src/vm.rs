//! Starts an entry VM and returns the handle that observes and stops it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;

use arc_swap::{ArcSwap, ArcSwapOption};
use jobs::{JobTable, Owner, TableLimits, Windows};
use kernel::{Clock, Incarnation, Millis, SystemClock, VmId};
use limits::LimitsConfig;
use logstore::HttpPlatform;
use membership::{Generation, Membership};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{Balanced, Fleet, LeastOwn, Policy, PolicyKind, Random, RoutingConfig, Split};
use timeline::{EventKind, Note, Recorder};
use tokio::sync::{mpsc, watch};
use wire::{Client, Connect, MemoryBudget, PoolLimits, Server, ServerLimits};

use crate::callers::CallerServer;
use crate::claimer::Claimer;
use crate::config::Config;
use crate::control;
use crate::core::Core;
use crate::digests::Digests;
use crate::dispatch::Dispatch;
use crate::notes::Notes;
use crate::passing::Passing;
use crate::peers::PeerServer;
use crate::sheets::Sheets;
use crate::stop::stop;
use crate::violations::Violations;
use metrics::Metrics;

/// Error of starting a VM.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind {
        /// Key of the settings that holds the address.
        key: &'static str,
        /// Address that could not be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind { key, addr, error } => {
                write!(f, "{key}: {addr} can't be bound: {error}")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Handle of a running VM.
#[derive(Debug)]
pub struct Vm {
    /// The VM's id.
    id: VmId,
    /// Incarnation of the VM's process.
    incarnation: Incarnation,
    /// Address on which callers reach the VM.
    callers: SocketAddr,
    /// Address on which peers reach the VM.
    peers: SocketAddr,
    /// Time line of the VM.
    recorder: Recorder,
    /// Metrics of the VM.
    metrics: Metrics,
    /// Requests the planned stop, with the time to wait for jobs.
    stop: mpsc::Sender<Millis>,
    /// True once the VM has stopped.
    stopped: watch::Receiver<bool>,
}

impl Vm {
    /// Starts a VM on the current runtime, with the routing policy that the
    /// settings choose. The policy is compiled into the request path.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start<C: Connect>(
        cfg: Config,
        routing: RoutingConfig,
        limits: LimitsConfig,
        connect: C,
    ) -> Result<Vm, StartError> {
        match routing.policy {
            PolicyKind::Balanced => start(cfg, routing, limits, connect, Balanced).await,
            PolicyKind::Random => start(cfg, routing, limits, connect, Random).await,
            PolicyKind::Least => start(cfg, routing, limits, connect, LeastOwn).await,
            PolicyKind::Split => start(cfg, routing, limits, connect, Split).await,
        }
    }

    /// Returns the VM's id.
    pub fn id(&self) -> &VmId {
        &self.id
    }

    /// Returns the incarnation of the VM's process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the address on which callers reach the VM.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which peers reach the VM.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the VM's time line.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns the VM's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Runs the planned stop. Jobs that have not ended within `wait` are
    /// aborted. Returns once everything is handed over and all callers are
    /// answered.
    pub async fn stop(&self, wait: Millis) {
        // A second call waits for the stop that is already running.
        let _ = self.stop.try_send(wait);
        let mut stopped = self.stopped.clone();
        let _ = stopped.wait_for(|s| *s).await;
    }
}

/// Binds the address that the settings hold under `key`.
async fn bind(
    key: &'static str,
    addr: SocketAddr,
    limits: ServerLimits,
) -> Result<(Server, SocketAddr), StartError> {
    let failed = |error| StartError::Bind { key, addr, error };
    let server = Server::bind(addr, limits).await.map_err(failed)?;
    let bound = server.addr().map_err(failed)?;
    Ok((server, bound))
}

async fn start<C: Connect, P: Policy>(
    cfg: Config,
    routing: RoutingConfig,
    limits: LimitsConfig,
    connect: C,
    policy: P,
) -> Result<Vm, StartError> {
    let (callers, callers_addr) = bind("callers", cfg.callers, cfg.server).await?;
    let (peers, peers_addr) = bind("peers", cfg.peers, cfg.server).await?;
    let core = Arc::new(build(
        cfg,
        routing,
        limits,
        connect,
        policy,
        (callers_addr, peers_addr),
    ));
    core.note(Note::new(EventKind::VmStarted));
    control::start(&core);
    let (stop_tx, mut stop_rx) = mpsc::channel(1);
    let (stopped_tx, stopped) = watch::channel(false);
    let vm = Vm {
        id: core.me.vm.clone(),
        incarnation: core.me.incarnation,
        callers: callers_addr,
        peers: peers_addr,
        recorder: core.notes.recorder.clone(),
        metrics: core.notes.metrics.clone(),
        stop: stop_tx,
        stopped,
    };
    let callers = callers.with_budget(core.bodies.clone());
    let stoppers = [callers.stopper(), peers.stopper()];
    let serve_callers = tokio::spawn(callers.serve(CallerServer { core: core.clone() }));
    let serve_peers = tokio::spawn(peers.serve(PeerServer { core: core.clone() }));
    tokio::spawn(async move {
        let Some(wait) = stop_rx.recv().await else {
            return;
        };
        stop(&core, wait).await;
        for stopper in &stoppers {
            stopper.stop();
        }
        // Lets answers that are being written finish, but does not wait for
        // idle connections.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, serve_callers).await;
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, serve_peers).await;
        stopped_tx.send_replace(true);
    });
    Ok(vm)
}

/// Timeout of closing connections after all callers were answered.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

fn build<C: Connect, P: Policy>(
    cfg: Config,
    routing: RoutingConfig,
    limits: LimitsConfig,
    connect: C,
    policy: P,
    (callers, peers): (SocketAddr, SocketAddr),
) -> Core<C, P> {
    let mut rng = Xoshiro256PlusPlus::from_os_rng();
    let me = Owner {
        incarnation: Incarnation::draw(&mut rng),
        vm: cfg.id.clone(),
    };
    let clock = SystemClock::new();
    let ring = cfg.ring;
    let notes = Notes {
        recorder: Recorder::new(cfg.id.clone(), me.incarnation, clock.clone(), ring),
        metrics: Metrics::new(),
    };
    let fleet = Fleet::new(cfg.domain.clone(), routing, policy);
    let dispatch = Dispatch::new(cfg.domain.clone(), fleet, limits, clock.clone());
    let wait = cfg.log.append_wait;
    let to_platform = Client::new(connect.clone(), PoolLimits::default());
    let member = membership::Vm {
        id: cfg.id.clone(),
        domain: cfg.domain.clone(),
        incarnation: me.incarnation,
        generation: Generation(clock.wall().0),
        callers,
        peers,
    };
    let mut members = Membership::new(clock.now(), member, cfg.members, rng);
    let view = members.view(clock.now());
    Core {
        view: ArcSwap::new(view),
        members: std::sync::Mutex::new(members),
        bodies: MemoryBudget::new(cfg.jobs.body_memory),
        minions: Client::new(connect.clone(), cfg.pool),
        peers: Client::new(connect, cfg.pool),
        platform: HttpPlatform::new(to_platform, cfg.platform, wait),
        table: JobTable::new(TableLimits {
            kept_bytes: cfg.jobs.kept_bytes,
        }),
        windows: Windows::new(me.incarnation, cfg.jobs.ticket_span),
        claimer: Claimer::new(me.clone(), cfg.log, cfg.jobs.claim_count),
        dispatch: Arc::new(dispatch),
        listing: ArcSwapOption::empty(),
        sheets: Sheets::new(cfg.log.retention, notes.clone()),
        digests: Digests::default(),
        passing: Passing::default(),
        notes,
        violations: Violations::default(),
        stage: AtomicU8::new(0),
        me,
        clock,
        cfg,
    }
}
