//! Starts an entry VM and hands out what stops it.

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
use wire::{Client, Connect, PoolLimits, Server, ServerLimits};

use crate::callers::Callers;
use crate::claimer::Claimer;
use crate::config::Config;
use crate::control;
use crate::core::Core;
use crate::digests::Digests;
use crate::dispatch::Dispatch;
use crate::faults::Faults;
use crate::notes::Notes;
use crate::passing::Passing;
use crate::peers::Peers;
use crate::sheets::Sheets;
use crate::stop::stop;
use metrics::Metrics;

/// Why a VM could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Which key of the settings gave it.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system says.
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

/// A running VM.
#[derive(Debug)]
pub struct Vm {
    /// The VM's id.
    id: VmId,
    /// The life of its process.
    incarnation: Incarnation,
    /// Where callers reach it.
    callers: SocketAddr,
    /// Where peers reach it.
    peers: SocketAddr,
    /// Reads the time line.
    recorder: Recorder,
    /// Reads what is counted.
    metrics: Metrics,
    /// Asks for the planned stop.
    stop: mpsc::Sender<Millis>,
    /// True once stopped.
    stopped: watch::Receiver<bool>,
}

impl Vm {
    /// Starts a VM on the current runtime, with the policy that the settings
    /// choose. The policy is compiled into the request path.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
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

    /// Returns the life of the VM's process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns where callers reach the VM.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where peers reach the VM.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the VM's time line.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns what the VM counts.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Stops the VM as planned; jobs that have not ended within `wait` are cut
    /// off. It returns once all is handed over and answered.
    pub async fn stop(&self, wait: Millis) {
        // A second call joins the stop that runs already.
        let _ = self.stop.try_send(wait);
        let mut stopped = self.stopped.clone();
        let _ = stopped.wait_for(|s| *s).await;
    }
}

/// Binds an address that the settings gave under a key.
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
    let (ask, mut asked) = mpsc::channel(1);
    let (tell, stopped) = watch::channel(false);
    let vm = Vm {
        id: core.me.vm.clone(),
        incarnation: core.me.incarnation,
        callers: callers_addr,
        peers: peers_addr,
        recorder: core.notes.recorder.clone(),
        metrics: core.notes.metrics.clone(),
        stop: ask,
        stopped,
    };
    let stoppers = [callers.stopper(), peers.stopper()];
    let serve_callers = tokio::spawn(callers.serve(Callers { core: core.clone() }));
    let serve_peers = tokio::spawn(peers.serve(Peers { core: core.clone() }));
    tokio::spawn(async move {
        let Some(wait) = asked.recv().await else {
            return;
        };
        stop(&core, wait).await;
        for stopper in &stoppers {
            stopper.stop();
        }
        // Answers on their way out are finished, idle connections are not
        // waited for.
        let _ = tokio::time::timeout(CLOSE_WAIT, serve_callers).await;
        let _ = tokio::time::timeout(CLOSE_WAIT, serve_peers).await;
        tell.send_replace(true);
    });
    Ok(vm)
}

/// The longest wait for connections to end after everything was answered.
const CLOSE_WAIT: std::time::Duration = std::time::Duration::from_secs(2);

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
        faults: Faults::default(),
        stage: AtomicU8::new(0),
        me,
        clock,
        cfg,
    }
}
