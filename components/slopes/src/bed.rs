//! Real entry VMs on loopback, with a platform around them.

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
use crate::named;
use crate::sheets::first;

/// The name of the VMs' threads.
pub(crate) const THREADS: &str = "vm";

/// The longest wait for an answer.
pub(crate) const WAIT: Duration = Duration::from_secs(20);

/// The longest wait for all VMs to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// How often VMs are asked whether they are ready.
const READY_LOOK: Duration = Duration::from_millis(50);

/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(3600);

/// What runs.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// The VMs, dealt out to the domains.
    pub(crate) vms: usize,
    /// The failure domains.
    pub(crate) domains: usize,
    /// The minions that the platform lists.
    pub(crate) minions: Vec<MinionRow>,
    /// The teams with a quota.
    pub(crate) teams: usize,
    /// The events that each VM remembers.
    pub(crate) events: usize,
}

/// VMs and their platform. Dropping it ends them.
pub(crate) struct Bed {
    /// Runs the VMs.
    inside: Option<Runtime>,
    /// Runs the platform and the callers.
    pub(crate) outside: Runtime,
    /// The platform.
    platform: PlatformStandin,
    /// The VMs.
    pub(crate) vms: Vec<Vm>,
    /// The bytes over connections that the VMs opened.
    pub(crate) traffic: Arc<Traffic>,
    /// Carries requests from outside.
    pub(crate) client: Client<TcpConnect>,
}

impl Drop for Bed {
    fn drop(&mut self) {
        if let Some(inside) = self.inside.take() {
            inside.shutdown_background();
        }
    }
}

fn runtime(threads: usize, name: &str) -> Result<Runtime, SlopeError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name(name);
    Ok(builder.enable_all().build()?)
}

impl Bed {
    /// Starts everything and waits until all VMs are ready.
    pub(crate) fn start(plan: &Plan) -> Result<Bed, SlopeError> {
        let outside = runtime(4, "outside")?;
        let inside = runtime(2, THREADS)?;
        let config = PlatformConfig {
            retention: standins::Retention::Age(RETENTION),
            ..PlatformConfig::default()
        };
        let platform = outside.block_on(PlatformStandin::start(config))?;
        let limits = PoolLimits {
            idle_count: 2048,
            ..PoolLimits::default()
        };
        let mut bed = Bed {
            inside: Some(inside),
            outside,
            platform,
            vms: Vec::new(),
            traffic: Arc::default(),
            client: Client::new(TcpConnect, limits),
        };
        bed.launch(plan)?;
        let record = first(&named::sheet(plan.teams, plan.domains, 0));
        bed.outside.block_on(bed.publish(record))?;
        bed.outside.block_on(bed.ready())?;
        Ok(bed)
    }

    fn launch(&mut self, plan: &Plan) -> Result<(), SlopeError> {
        let addr = self.platform.addr();
        let mut rows = Vec::new();
        for n in 0..plan.vms {
            let domain = named::domain(n % plan.domains);
            let id = named::vm_id(&domain, n);
            let mut config = Config::new(id, domain.clone(), addr);
            config.ring = plan.events;
            let connect = CountingConnect {
                platform: addr,
                traffic: self.traffic.clone(),
            };
            let (routing, limits) = (RoutingConfig::default(), LimitsConfig::default());
            let start = Vm::start(config, routing, limits, connect);
            let Some(inside) = &self.inside else {
                return Err(SlopeError::NotReady);
            };
            let vm = inside.block_on(start).map_err(SlopeError::Start)?;
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

    /// Appends a change of the sheet.
    pub(crate) async fn publish(&self, record: String) -> Result<Offset, SlopeError> {
        let addr = self.platform.addr();
        let platform = HttpPlatform::new(self.client.clone(), addr, Millis(2000));
        let appended = platform.append(Stream::Sheet, Bytes::from(record)).await;
        appended.map_err(|_| SlopeError::Sheet)
    }

    async fn ready(&self) -> Result<(), SlopeError> {
        let end = Instant::now() + READY_WAIT;
        while Instant::now() < end {
            let mut ready = 0;
            for vm in &self.vms {
                let answer = self.get(vm.callers(), "/ready").await;
                ready += usize::from(answer.is_some());
            }
            if ready == self.vms.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_LOOK).await;
        }
        Err(SlopeError::NotReady)
    }

    /// Reads a page of a VM, if it answers well.
    pub(crate) async fn get(&self, addr: SocketAddr, path: &str) -> Option<Bytes> {
        let req = Request::get(path).header("host", "vm");
        let req = req.body(Full::default()).ok()?;
        let reply = self.client.call(addr, req, WAIT).await.ok()?;
        reply.status.is_success().then_some(reply.body)
    }

    /// Fetches tickets of the first VM.
    pub(crate) async fn tickets(&self, count: usize) -> Vec<String> {
        let req = Request::post(format!("/v1/tickets?count={count}")).header("host", "vm");
        let Ok(req) = req.body(Full::default()) else {
            return Vec::new();
        };
        let reply = self.client.call(self.vms[0].callers(), req, WAIT).await;
        let page: Option<serde_json::Value> = reply
            .ok()
            .and_then(|r| serde_json::from_slice(&r.body).ok());
        let list = page.and_then(|p| p["tickets"].as_array().cloned());
        let text = |t: &serde_json::Value| t.as_str().map(str::to_owned);
        list.unwrap_or_default().iter().filter_map(text).collect()
    }

    /// Submits a job to the first VM and tells whether it was complete.
    pub(crate) async fn submit(&self, key: &str, body: &Bytes) -> bool {
        let req = Request::post("/v1/jobs")
            .header("host", "vm")
            .header(KEY_HEADER, key)
            .body(Full::new(body.clone()));
        let Ok(req) = req else {
            return false;
        };
        let reply = self.client.call(self.vms[0].callers(), req, WAIT).await;
        reply.is_ok_and(|r| r.status.is_success())
    }
}

/// Returns a job of tasks that run so long.
pub(crate) fn job(tasks: usize, run: Millis) -> String {
    let task = |i| format!(r#"{{"id":"{i}","payload":{{"run_ms":{}}}}}"#, run.0);
    let tasks: Vec<_> = (0..tasks).map(task).collect();
    format!(
        r#"{{"team":"{}","service":"{}","deadline_ms":20000,"tasks":[{}]}}"#,
        named::team(0),
        named::service(),
        tasks.join(",")
    )
}
