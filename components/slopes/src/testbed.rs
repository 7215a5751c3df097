//! A testbed of real entry VMs on loopback with a platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::{Config, KEY_HEADER, Vm};
use http_body_util::Full;
use hyper::Request;
use kernel::{Millis, Offset};
use limits::LimitsConfig;
use logstore::{HttpPlatform, MachineList, MinionRow, Platform, Presence, Stream, VmRow};
use routing::RoutingConfig;
use standins::{PlatformConfig, PlatformStandin};
use tokio::runtime::{Builder, Runtime};
use wire::{Client, PoolLimits, TcpConnect};

use crate::SlopeError;
use crate::connect::{CountingConnect, Traffic};
use crate::fixtures;
use crate::sheets::first_change;

/// Name of the VMs' threads.
pub(crate) const VM_THREADS: &str = "vm";

/// Timeout of a call to a VM.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for all VMs to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which VMs are asked whether they are ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(3600);

/// Size of a testbed.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// The number of VMs, which are assigned to the domains in turn.
    pub(crate) vms: usize,
    /// The number of failure domains.
    pub(crate) domains: usize,
    /// The minions that the platform lists.
    pub(crate) minions: Vec<MinionRow>,
    /// The number of teams with a quota.
    pub(crate) teams: usize,
    /// The number of events that each VM's time line holds.
    pub(crate) events: usize,
}

/// VMs and their platform, which end when it is dropped.
pub(crate) struct Testbed {
    /// The runtime of the VMs.
    vm_runtime: Option<Runtime>,
    /// The runtime of the platform and the callers.
    pub(crate) caller_runtime: Runtime,
    /// The platform.
    platform: PlatformStandin,
    /// The VMs.
    pub(crate) vms: Vec<Vm>,
    /// The bytes over connections that the VMs have opened.
    pub(crate) traffic: Arc<Traffic>,
    /// The client of the callers.
    pub(crate) client: Client<TcpConnect>,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        if let Some(vm_runtime) = self.vm_runtime.take() {
            vm_runtime.shutdown_background();
        }
    }
}

fn runtime(threads: usize, name: &str) -> Result<Runtime, SlopeError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name(name);
    Ok(builder.enable_all().build()?)
}

impl Testbed {
    /// Starts the platform and the VMs, and waits until all VMs are ready.
    pub(crate) fn start(plan: &Plan) -> Result<Testbed, SlopeError> {
        let caller_runtime = runtime(4, "outside")?;
        let vm_runtime = runtime(2, VM_THREADS)?;
        let config = PlatformConfig {
            retention: standins::Retention::Age(RETENTION),
            ..PlatformConfig::default()
        };
        let platform = caller_runtime.block_on(PlatformStandin::start(config))?;
        let limits = PoolLimits {
            idle_count: 2048,
            ..PoolLimits::default()
        };
        let mut testbed = Testbed {
            vm_runtime: Some(vm_runtime),
            caller_runtime,
            platform,
            vms: Vec::new(),
            traffic: Arc::default(),
            client: Client::new(TcpConnect, limits),
        };
        testbed.start_vms(plan)?;
        let record = first_change(&fixtures::sheet(plan.teams, plan.domains, 0));
        testbed.caller_runtime.block_on(testbed.publish(record))?;
        testbed.caller_runtime.block_on(testbed.wait_ready())?;
        Ok(testbed)
    }

    fn start_vms(&mut self, plan: &Plan) -> Result<(), SlopeError> {
        let addr = self.platform.addr();
        let mut rows = Vec::new();
        for n in 0..plan.vms {
            let domain = fixtures::domain(n % plan.domains);
            let id = fixtures::vm_id(&domain, n);
            let mut config = Config::new(id, domain.clone(), addr);
            config.ring = plan.events;
            let connect = CountingConnect {
                platform: addr,
                traffic: self.traffic.clone(),
            };
            let (routing, limits) = (RoutingConfig::default(), LimitsConfig::default());
            let start = Vm::start(config, routing, limits, connect);
            let Some(vm_runtime) = &self.vm_runtime else {
                return Err(SlopeError::NotReady);
            };
            let vm = vm_runtime.block_on(start).map_err(SlopeError::Start)?;
            rows.push(VmRow {
                id: vm.id().clone(),
                domain,
                callers: vm.callers(),
                peers: vm.peers(),
                presence: Presence::Live,
            });
            self.vms.push(vm);
        }
        self.platform.set(MachineList {
            vms: rows,
            minions: plan.minions.clone(),
        });
        Ok(())
    }

    /// Appends a record with a change of the sheet and returns its offset.
    pub(crate) async fn publish(&self, record: String) -> Result<Offset, SlopeError> {
        let addr = self.platform.addr();
        let platform = HttpPlatform::new(self.client.clone(), addr, Millis(2000));
        let appended = platform.append(Stream::Sheet, Bytes::from(record)).await;
        appended.map_err(|_| SlopeError::Sheet)
    }

    async fn wait_ready(&self) -> Result<(), SlopeError> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            let mut ready = 0;
            for vm in &self.vms {
                let answer = self.get(vm.callers(), "/ready").await;
                ready += usize::from(answer.is_some());
            }
            if ready == self.vms.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Err(SlopeError::NotReady)
    }

    /// Returns the body that a VM serves at a path, or none if the call fails.
    pub(crate) async fn get(&self, addr: SocketAddr, path: &str) -> Option<Bytes> {
        let req = Request::get(path).header("host", "vm");
        let req = req.body(Full::default()).ok()?;
        let reply = self.client.call(addr, req, CALL_TIMEOUT).await.ok()?;
        reply.status.is_success().then_some(reply.body)
    }

    /// Fetches tickets from the first VM, or returns none if the call fails.
    pub(crate) async fn tickets(&self, count: usize) -> Vec<String> {
        let req = Request::post(format!("/v1/tickets?count={count}")).header("host", "vm");
        let Ok(req) = req.body(Full::default()) else {
            return Vec::new();
        };
        let reply = self
            .client
            .call(self.vms[0].callers(), req, CALL_TIMEOUT)
            .await;
        let page: Option<serde_json::Value> = reply
            .ok()
            .and_then(|r| serde_json::from_slice(&r.body).ok());
        let list = page.and_then(|p| p["tickets"].as_array().cloned());
        let text = |t: &serde_json::Value| t.as_str().map(str::to_owned);
        list.unwrap_or_default().iter().filter_map(text).collect()
    }

    /// Submits a job to the first VM and returns whether it completed.
    pub(crate) async fn submit(&self, key: &str, body: &Bytes) -> bool {
        let req = Request::post("/v1/jobs")
            .header("host", "vm")
            .header(KEY_HEADER, key)
            .body(Full::new(body.clone()));
        let Ok(req) = req else {
            return false;
        };
        let reply = self
            .client
            .call(self.vms[0].callers(), req, CALL_TIMEOUT)
            .await;
        reply.is_ok_and(|r| r.status.is_success())
    }
}

/// Returns the request body of a job whose tasks run for this time.
pub(crate) fn job(tasks: usize, run: Millis) -> String {
    let task = |i| format!(r#"{{"id":"{i}","payload":{{"run_ms":{}}}}}"#, run.0);
    let tasks: Vec<_> = (0..tasks).map(task).collect();
    format!(
        r#"{{"team":"{}","service":"{}","deadline_ms":20000,"tasks":[{}]}}"#,
        fixtures::team(0),
        fixtures::service(),
        tasks.join(",")
    )
}
