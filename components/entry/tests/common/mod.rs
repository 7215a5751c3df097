//! A small fleet of entry VMs on loopback, with stand-ins for the minions and the
//! platform.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use entry::{Config, Vm};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, Uri};
use kernel::{Cores, Domain, Millis, Service, Slots, VmId};
use limits::LimitsConfig;
use logstore::{HttpPlatform, MachineList, Platform, Presence, Stream, VmRow};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::RoutingConfig;
use serde_json::Value;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetRecord};
use standins::{
    Endpoint, Hops, Ledger, MinionConfig, MinionStandin, Net, PlatformConfig, PlatformStandin,
};
use tokio::runtime::{Builder, Runtime};
use wire::{
    CallError, Client, Handler, PoolLimits, Reply, RequestBody, Server, ServerLimits, TcpConnect,
};

/// Timeout of every wait in a test.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet whose processes are connected by a network that can inject faults.
pub struct Fleet {
    /// The network between the processes.
    pub net: Net,
    /// The stand-in for the platform.
    pub platform: PlatformStandin,
    /// The stand-ins for the minions.
    pub minions: Vec<MinionStandin>,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// The record of all task starts at the minions.
    pub ledger: Ledger,
    /// The HTTP client that sends callers' requests.
    pub client: Client<Net>,
    /// The runtime of each VM; `None` once the VM is killed.
    runtimes: Vec<Option<Runtime>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..).flatten() {
            runtime.shutdown_background();
        }
    }
}

/// Parses a failure domain's name.
pub fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

/// Returns the configuration of VM number `n` in failure domain `a`.
pub fn config(n: usize, platform: SocketAddr) -> Config {
    config_in("a", n, platform)
}

/// Returns the configuration of VM number `n` in a failure domain.
pub fn config_in(domain_name: &str, n: usize, platform: SocketAddr) -> Config {
    let id: VmId = format!("{domain_name}/vm-{n}").parse().unwrap();
    let mut cfg = Config::new(id, domain(domain_name), platform);
    cfg.members.absent_after = Millis(1000);
    cfg
}

impl Fleet {
    /// Starts a fleet with the open sheet in force everywhere.
    pub async fn start(vms: usize, minions: usize) -> Fleet {
        Fleet::start_with(vms, minions, |cfg| cfg).await
    }

    /// Starts a fleet whose VMs have their configurations changed by `change`.
    pub async fn start_with(
        vms: usize,
        minions: usize,
        change: impl Fn(Config) -> Config,
    ) -> Fleet {
        let mut fleet = Fleet::platform_only().await;
        for n in 0..minions {
            fleet.add_minion(n).await;
        }
        for n in 0..vms {
            let cfg = change(config(n, fleet.platform.addr()));
            fleet.add_vm(cfg).await;
        }
        fleet.publish(&Sheet::unlimited(), Base::Empty).await;
        fleet.until_ready().await;
        fleet
    }

    /// Starts a fleet with one VM and one minion in each failure domain.
    pub async fn start_in(domain_names: &[&str]) -> Fleet {
        let mut fleet = Fleet::platform_only().await;
        for (n, domain_name) in domain_names.iter().enumerate() {
            fleet.add_minion_in(domain_name, n).await;
        }
        for (n, domain_name) in domain_names.iter().enumerate() {
            let cfg = config_in(domain_name, n, fleet.platform.addr());
            fleet.add_vm(cfg).await;
        }
        fleet.publish(&Sheet::unlimited(), Base::Empty).await;
        fleet.until_ready().await;
        fleet
    }

    /// Starts a fleet of the platform only.
    async fn platform_only() -> Fleet {
        let platform = PlatformStandin::start(PlatformConfig {
            lag: Duration::ZERO,
            ..PlatformConfig::default()
        });
        let platform = platform.await.unwrap();
        let net = Net::new(Hops::default());
        net.register(platform.addr(), Endpoint::platform());
        Fleet {
            platform,
            minions: Vec::new(),
            vms: Vec::new(),
            ledger: Ledger::default(),
            client: Client::new(net.at(Endpoint::client()), PoolLimits::default()),
            net,
            runtimes: Vec::new(),
        }
    }

    /// Starts a minion with 8 slots.
    pub async fn add_minion(&mut self, n: usize) {
        self.add_minion_in("a", n).await;
    }

    /// Starts a minion with 8 slots in a failure domain.
    pub async fn add_minion_in(&mut self, domain_name: &str, n: usize) {
        let name = format!("{domain_name}/m-{n}");
        let config = MinionConfig {
            id: name.parse().unwrap(),
            domain: domain(domain_name),
            services: vec![service()],
            slots: Slots(8),
            cores: Cores(30),
        };
        let minion = MinionStandin::start(config, self.ledger.clone());
        let minion = minion.await.unwrap();
        let endpoint = Endpoint::inside(&domain(domain_name), &name);
        self.net.register(minion.addr(), endpoint);
        let row = minion.row();
        self.platform.change(|list| list.minions.push(row));
        self.minions.push(minion);
    }

    /// Starts a VM on a runtime of its own and adds it to the platform's list.
    pub async fn add_vm(&mut self, cfg: Config) {
        let row = self.add_unlisted_vm(cfg).await;
        self.platform.change(|list: &mut MachineList| {
            list.vms.retain(|old| old.id != row.id);
            list.vms.push(row);
        });
    }

    /// Starts a VM on a runtime of its own and returns its row for the
    /// platform's list.
    pub async fn add_unlisted_vm(&mut self, cfg: Config) -> VmRow {
        let domain = cfg.domain.clone();
        let endpoint = Endpoint::inside(&domain, cfg.id.as_str());
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let routing = RoutingConfig::default();
        let connect = self.net.at(endpoint.clone());
        let start = Vm::start(cfg, routing, LimitsConfig::default(), connect);
        let vm = runtime.spawn(start).await.unwrap().unwrap();
        self.net.register(vm.callers(), endpoint.clone());
        self.net.register(vm.peers(), endpoint);
        let row = VmRow {
            id: vm.id().clone(),
            domain,
            callers: vm.callers(),
            peers: vm.peers(),
            presence: Presence::Live,
        };
        self.vms.push(vm);
        self.runtimes.push(Some(runtime));
        row
    }

    /// Ends a VM's process at once, without a planned stop.
    pub fn kill(&mut self, vm: usize) {
        if let Some(runtime) = self.runtimes[vm].take() {
            runtime.shutdown_background();
        }
    }

    /// Removes a VM from the platform's VM list.
    pub fn unlist(&self, vm: usize) {
        let id = self.vms[vm].id().clone();
        self.platform
            .change(|list: &mut MachineList| list.vms.retain(|row| row.id != id));
    }

    /// Publishes a sheet.
    pub async fn publish(&self, sheet: &Sheet, base: Base) -> ChangeId {
        let id = ChangeId::draw(&mut Xoshiro256PlusPlus::from_os_rng());
        let record = SheetRecord::Change(Change {
            id,
            by: "op1".parse().unwrap(),
            base,
            at: Millis(0),
            body: Body::encode(None, sheet),
        });
        let platform = HttpPlatform::new(self.client.clone(), self.platform.addr(), Millis(2000));
        let bytes = Bytes::from(record.to_json().unwrap());
        platform.append(Stream::Sheet, bytes).await.unwrap();
        id
    }

    /// Waits until every VM is ready, has minions, sees all its peers live and has
    /// read the claims.
    pub async fn until_ready(&self) {
        for n in 0..self.vms.len() {
            let others = self.vms.len() - 1;
            self.until(n, |s| {
                let peers = s["peers"].as_array().unwrap();
                let live = peers.iter().filter(|p| p["belief"] == "live").count();
                let minions = s["minions"].as_array().unwrap().len();
                s["ready"] == true && minions >= 1 && s["log"] == "answers" && live >= others
            })
            .await;
        }
    }

    /// Waits until a VM's status satisfies a condition.
    pub async fn until(&self, vm: usize, condition: impl Fn(&Value) -> bool) {
        let wait = tokio::time::timeout(TIMEOUT, async {
            while !condition(&self.status(vm).await) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        if wait.await.is_err() {
            panic!(
                "condition not met in time, status: {}",
                self.status(vm).await
            );
        }
    }

    /// Reads a VM's status.
    pub async fn status(&self, vm: usize) -> Value {
        let reply = self.request(vm, Method::GET, "/v1/status", None, "").await;
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Submits a job with one task for each run time in milliseconds.
    pub async fn submit(&self, vm: usize, key: &str, run_times: &[u64]) -> (u16, Value) {
        self.post(vm, key, &job(run_times, 5000)).await
    }

    /// Submits a job whose request body is given.
    pub async fn post(&self, vm: usize, key: &str, body: &str) -> (u16, Value) {
        let reply = self
            .request(vm, Method::POST, "/v1/jobs", Some(key), body)
            .await;
        read(reply)
    }

    /// Sends a request about a job: `GET` looks it up, `DELETE` cancels it.
    pub async fn job_request(&self, vm: usize, method: Method, key: &str) -> (u16, Value) {
        let path = format!("/v1/jobs/{key}");
        read(self.request(vm, method, &path, None, "").await)
    }

    /// Fetches a ticket.
    pub async fn ticket(&self, vm: usize) -> String {
        let reply = self
            .request(vm, Method::POST, "/v1/tickets?count=1", None, "")
            .await;
        let (_, body) = read(reply);
        body["tickets"][0].as_str().unwrap().to_owned()
    }

    /// Sends a request to a VM's address for callers.
    pub async fn request(
        &self,
        vm: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Reply {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "vm");
        if let Some(key) = key {
            req = req.header(entry::KEY_HEADER, key);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        self.send(vm, req).await.unwrap()
    }

    /// Sends a prepared request to a VM's address for callers.
    pub async fn send(&self, vm: usize, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        self.client.call(self.vms[vm].callers(), req, TIMEOUT).await
    }

    /// Returns how many tasks of a job have started.
    pub fn starts_of(&self, key: &str) -> usize {
        let starts = self.ledger.starts();
        starts.iter().filter(|s| s.job == key).count()
    }

    /// Waits until a number of a job's tasks have started.
    pub async fn until_started(&self, key: &str, tasks: usize) {
        let wait = tokio::time::timeout(TIMEOUT, async {
            while self.starts_of(key) < tasks {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        wait.await.expect("the tasks did not start in time");
    }
}

/// What a [`PlatformGate`] does with a request.
#[derive(Debug, Clone, Copy)]
pub enum Gate {
    /// The platform answers it.
    Pass,
    /// It is answered with status 503.
    Refuse,
    /// It gets no answer.
    Hold,
}

/// A server between one VM and the platform that decides about each request.
#[derive(Clone)]
pub struct PlatformGate<F> {
    /// Address of the platform.
    target: SocketAddr,
    /// Client for the requests that pass.
    client: Client<TcpConnect>,
    /// Decides about a request.
    decide: F,
}

impl<F> PlatformGate<F>
where
    F: Fn(&Method, &Uri) -> Gate + Clone + Send + Sync + 'static,
{
    /// Starts a gate before the platform of a fleet and returns its address.
    pub async fn start(fleet: &Fleet, decide: F) -> SocketAddr {
        let gate = PlatformGate {
            target: fleet.platform.addr(),
            client: Client::new(TcpConnect, PoolLimits::default()),
            decide,
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(addr, ServerLimits::default()).await.unwrap();
        let addr = server.addr().unwrap();
        fleet.net.register(addr, Endpoint::platform());
        tokio::spawn(server.serve(gate));
        addr
    }
}

impl<F> Handler for PlatformGate<F>
where
    F: Fn(&Method, &Uri) -> Gate + Clone + Send + Sync + 'static,
{
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = body.read(MAX_BODY, GATE_TIMEOUT).await.unwrap();
        let body = Bytes::copy_from_slice(&body);
        let reply = match (self.decide)(&head.method, &head.uri) {
            Gate::Pass => {
                let req = Request::from_parts(head, Full::new(body));
                self.client.call(self.target, req, GATE_TIMEOUT).await.ok()
            }
            Gate::Refuse => None,
            Gate::Hold => std::future::pending().await,
        };
        let mut res = Response::new(Full::default());
        match reply {
            Some(reply) => {
                *res.status_mut() = reply.status;
                *res.body_mut() = Full::new(reply.body);
            }
            None => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        }
        res
    }
}

/// Timeout of a request that passes a [`PlatformGate`], longer than any long
/// poll of a VM.
const MAX_BODY: usize = 64 << 20;

const GATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the service that all minions of the fleet offer.
pub fn service() -> Service {
    "quote".parse().unwrap()
}

/// Returns the request body of a job with one task for each run time, and a
/// deadline, all in milliseconds.
pub fn job(run_times: &[u64], deadline: u64) -> String {
    let task = |(i, ms): (usize, &u64)| serde_json::json!({"id": i.to_string(), "payload": {"run_ms": ms}});
    let tasks: Vec<Value> = run_times.iter().enumerate().map(task).collect();
    serde_json::json!({
        "team": "t1",
        "service": "quote",
        "deadline_ms": deadline,
        "tasks": tasks,
    })
    .to_string()
}

/// Returns a reply's status and its body as JSON.
pub fn read(reply: Reply) -> (u16, Value) {
    let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    (reply.status.as_u16(), body)
}
