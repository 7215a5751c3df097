//! What `pomelopost` does: reads its settings, and serves until told to stop.

use std::path::Path;
use std::time::Duration;

use entry::{Config, JobLimits, LogLimits, StopWait, Vm};
use kernel::{Millis, Parts};
use limits::LimitsConfig;
use metrics::Sender;
use routing::RoutingConfig;
use settings::{LogConfig, VmConfig};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use wire::{PoolLimits, TcpConnect};

use crate::cli::Serve;
use crate::cmd::print;
use crate::error::CommandError;
use crate::{logs, report};

/// How long background threads get to end at the process's exit.
const EXIT_WAIT: Duration = Duration::from_millis(100);

/// Runs `pomelopost`.
///
/// # Errors
///
/// Tells every fault of the settings, or why the VM could not start.
pub fn run(args: &Serve) -> Result<(), CommandError> {
    if args.platform {
        return run_on_platform();
    }
    let Some(path) = &args.settings else {
        return print(&settings::sample());
    };
    let mut parts = read(path)?;
    let vm: VmConfig = part(&mut parts, "vm")?;
    let log: LogConfig = part(&mut parts, "log")?;
    let stop: StopWait = part(&mut parts, "jobs")?;
    let cfg = config(&vm, &mut parts)?;
    let reports = Reports {
        statsd: part(&mut parts, "metrics")?,
        events: part(&mut parts, "timeline")?,
    };
    let routing: RoutingConfig = part(&mut parts, "routing")?;
    let limits: LimitsConfig = part(&mut parts, "limits")?;
    if args.check {
        return Ok(());
    }
    logs::start(log.level)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(vm.threads)
        .enable_all()
        .build()
        .map_err(CommandError::Io)?;
    let served = runtime.block_on(serve(cfg, routing, limits, reports, stop.0));
    runtime.shutdown_timeout(EXIT_WAIT);
    logs::finish();
    served
}

/// Serves on the users' platform. The engine's state is under one lock a shard
/// and VMs there have one core, so one thread serves best.
fn run_on_platform() -> Result<(), CommandError> {
    let path = std::env::var_os(platform::SETTINGS_VARIABLE);
    let path = path.ok_or(CommandError::Variable(platform::SETTINGS_VARIABLE))?;
    logs::start(log::LevelFilter::Info)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::Io)?;
    let served = runtime.block_on(platform::serve(Path::new(&path)));
    logs::finish();
    served.map_err(CommandError::Platform)
}

fn read(path: &Path) -> Result<Parts, CommandError> {
    settings::load(path).map_err(CommandError::Settings)
}

fn part<T: 'static>(parts: &mut Parts, name: &'static str) -> Result<T, CommandError> {
    parts.take().ok_or(CommandError::Part(name))
}

fn config(vm: &VmConfig, parts: &mut Parts) -> Result<Config, CommandError> {
    let jobs: JobLimits = part(parts, "jobs")?;
    let log: LogLimits = part(parts, "log_service")?;
    let pool: PoolLimits = part(parts, "connections")?;
    Ok(Config {
        callers: vm.callers,
        peers: vm.peers,
        seeds: vm.seeds.clone(),
        jobs,
        log,
        pool,
        ..Config::new(vm.id.clone(), vm.domain.clone(), vm.platform)
    })
}

/// How the VM reports what it does.
#[derive(Debug, Clone, Copy)]
struct Reports {
    /// Where metrics go.
    statsd: metrics::Config,
    /// Which events go out.
    events: timeline::Config,
}

async fn serve(
    cfg: Config,
    routing: RoutingConfig,
    limits: LimitsConfig,
    reports: Reports,
    stop: Millis,
) -> Result<(), CommandError> {
    let mut signals = Signals::new().map_err(CommandError::Io)?;
    let cfg = Config {
        ring: reports.events.capacity,
        ..cfg
    };
    let vm = Vm::start(cfg, routing, limits, TcpConnect)
        .await
        .map_err(CommandError::Start)?;
    let (done, told) = oneshot::channel();
    let events = report::write_events(vm.recorder().clone(), reports.events.lines, told);
    let events = tokio::spawn(events);
    if let Some(statsd) = reports.statsd.statsd {
        let sender = Sender::new(statsd, vm.metrics().clone()).map_err(CommandError::Statsd)?;
        tokio::spawn(report::send_metrics(sender, reports.statsd.period));
    }
    log::info!("{} serves callers at {}", vm.id(), vm.callers());
    signals.next().await;
    log::info!("{} stops, a second signal ends it at once", vm.id());
    let result = tokio::select! {
        () = vm.stop(stop) => Ok(()),
        () = signals.next() => Err(CommandError::Cut),
    };
    drop(done);
    let _ = events.await;
    result
}

/// The signals that ask for the planned stop.
struct Signals {
    /// SIGTERM, as a service manager sends it.
    term: Signal,
    /// SIGINT, as a terminal sends it.
    int: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
