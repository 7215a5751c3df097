//! Runs an entry VM within this process. It has a runtime of its own, so that it
//! can be killed like a process: at once, with all its connections.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use entry::{Config, StartError, Vm};
use kernel::{Domain, Millis, VmId};
use limits::LimitsConfig;
use logstore::{Presence, VmRow};
use routing::RoutingConfig;
use standins::Net;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinError;

/// An error at the start of an embedded VM or fleet.
#[derive(Debug)]
pub enum LaunchError {
    /// The threads of a VM or the port of a stand-in could not be created.
    Io(io::Error),
    /// The VM could not start.
    Start(StartError),
    /// The start of the VM panicked.
    Panic(JoinError),
    /// The fleet did not become ready in time.
    NotReady,
}

impl fmt::Display for LaunchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LaunchError::Io(e) => write!(f, "{e}"),
            LaunchError::Start(e) => write!(f, "{e}"),
            LaunchError::Panic(e) => write!(f, "{e}"),
            LaunchError::NotReady => write!(f, "the fleet did not become ready in time"),
        }
    }
}

impl std::error::Error for LaunchError {}

impl From<io::Error> for LaunchError {
    fn from(e: io::Error) -> LaunchError {
        LaunchError::Io(e)
    }
}

/// Number of threads of each VM.
const VM_THREADS: usize = 2;

/// A VM and its runtime. Dropping it kills the VM.
pub struct EmbeddedVm {
    /// The VM itself.
    vm: Arc<Vm>,
    /// Failure domain of the VM.
    domain: Domain,
    /// Runtime of the VM; `None` once the VM is killed.
    runtime: Option<Runtime>,
}

impl EmbeddedVm {
    /// Starts a VM that opens its connections through `net`.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound or the runtime's threads can't be
    /// created.
    pub async fn start(
        config: Config,
        routing: RoutingConfig,
        net: Net,
    ) -> Result<EmbeddedVm, LaunchError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(VM_THREADS)
            .enable_all()
            .build()?;
        let domain = config.domain.clone();
        let limits = LimitsConfig::default();
        let start = runtime.spawn(Vm::start(config, routing, limits, net));
        // Shuts the runtime down if the start fails.
        let mut guard = Guard(Some(runtime));
        let vm = start.await.map_err(LaunchError::Panic)?;
        Ok(EmbeddedVm {
            vm: Arc::new(vm.map_err(LaunchError::Start)?),
            domain,
            runtime: guard.0.take(),
        })
    }

    /// Returns the VM's row for the platform's VM list.
    pub fn row(&self) -> VmRow {
        VmRow {
            id: self.vm.id().clone(),
            domain: self.domain.clone(),
            callers: self.vm.callers(),
            peers: self.vm.peers(),
            presence: Presence::Live,
        }
    }

    /// Carries out a planned stop of the VM, then shuts its runtime down.
    pub async fn stop(self, wait: Millis) {
        self.vm.stop(wait).await;
    }
}

impl Drop for EmbeddedVm {
    fn drop(&mut self) {
        Guard(self.runtime.take());
    }
}

/// Shuts a runtime down when dropped, without waiting. Unlike dropping the
/// runtime itself, this also works within another runtime.
struct Guard(Option<Runtime>);

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns the configuration of an embedded VM.
pub fn config(id: VmId, domain: Domain, platform: SocketAddr, seeds: Vec<SocketAddr>) -> Config {
    Config {
        seeds,
        ..Config::new(id, domain, platform)
    }
}
