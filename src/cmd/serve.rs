//! The command `pomelopost`: reads the settings and serves until a signal asks
//! for the planned stop.

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

/// Time that background threads get to end when the process exits.
const EXIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs `pomelopost`.
///
/// # Errors
///
/// Fails with every fault of the settings, or with the reason why the VM could
/// not start.
pub fn run(args: &Serve) -> Result<(), CommandError> {
    if args.platform {
        return run_on_platform();
    }
    let Some(path) = &args.settings else {
        return print(&settings::sample());
    };
    let mut parts = read_settings(path)?;
    let vm: VmConfig = take_part(&mut parts, "vm")?;
    let log: LogConfig = take_part(&mut parts, "log")?;
    let stop: StopWait = take_part(&mut parts, "jobs")?;
    let cfg = config(&vm, &mut parts)?;
    let reports = ReportConfig {
        statsd: take_part(&mut parts, "metrics")?,
        events: take_part(&mut parts, "timeline")?,
    };
    let routing: RoutingConfig = take_part(&mut parts, "routing")?;
    let limits: LimitsConfig = take_part(&mut parts, "limits")?;
    if args.check {
        return Ok(());
    }
    logs::init(log.level)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(vm.threads)
        .enable_all()
        .build()
        .map_err(CommandError::Io)?;
    let served = runtime.block_on(serve(cfg, routing, limits, reports, stop.0));
    runtime.shutdown_timeout(EXIT_TIMEOUT);
    logs::flush();
    served
}

/// Serves on the users' platform. The engine keeps each shard's state under one
/// lock and VMs of the platform have one core, so one thread serves best.
fn run_on_platform() -> Result<(), CommandError> {
    let path = std::env::var_os(platform::SETTINGS_VARIABLE);
    let path = path.ok_or(CommandError::Variable(platform::SETTINGS_VARIABLE))?;
    logs::init(log::LevelFilter::Info)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::Io)?;
    let served = runtime.block_on(platform::serve(Path::new(&path)));
    logs::flush();
    served.map_err(CommandError::Platform)
}

fn read_settings(path: &Path) -> Result<Parts, CommandError> {
    settings::load(path).map_err(CommandError::Settings)
}

fn take_part<T: 'static>(parts: &mut Parts, name: &'static str) -> Result<T, CommandError> {
    parts.take().ok_or(CommandError::MissingPart(name))
}

fn config(vm: &VmConfig, parts: &mut Parts) -> Result<Config, CommandError> {
    let jobs: JobLimits = take_part(parts, "jobs")?;
    let log: LogLimits = take_part(parts, "log_service")?;
    let pool: PoolLimits = take_part(parts, "connections")?;
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

/// Configuration of the reports that the VM sends.
#[derive(Debug, Clone, Copy)]
struct ReportConfig {
    /// Destination and period of the metrics.
    statsd: metrics::Config,
    /// Which events are written as log lines, and the size of their ring.
    events: timeline::Config,
}

async fn serve(
    cfg: Config,
    routing: RoutingConfig,
    limits: LimitsConfig,
    reports: ReportConfig,
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
    let (done_tx, done_rx) = oneshot::channel();
    let events = report::write_events(vm.recorder().clone(), reports.events.lines, done_rx);
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
        () = signals.next() => Err(CommandError::Interrupted),
    };
    drop(done_tx);
    let _ = events.await;
    result
}

/// Signals that ask for the planned stop.
struct Signals {
    /// SIGTERM, as sent by a service manager.
    term: Signal,
    /// SIGINT, as sent by a terminal.
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
