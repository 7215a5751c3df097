//! A small fleet of real entry VMs over stand-ins on loopback.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use entry::{Config, Vm};
use http_body_util::Full;
use hyper::{Method, Request};
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
use wire::{CallError, Client, PoolLimits, Reply};

/// The longest wait for anything in a test.
pub const WAIT: Duration = Duration::from_secs(20);

/// A fleet whose processes reach each other over a network with faults.
pub struct Fleet {
    /// The network.
    pub net: Net,
    /// The platform.
    pub platform: PlatformStandin,
    /// The minions.
    pub minions: Vec<MinionStandin>,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// What the minions started.
    pub ledger: Ledger,
    /// Carries the callers' requests.
    pub client: Client<Net>,
    /// The runtime of each VM, until it is killed.
    runtimes: Vec<Option<Runtime>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..).flatten() {
            runtime.shutdown_background();
        }
    }
}

/// Names a failure domain.
pub fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

/// Returns the configuration of the VM with a number.
pub fn config(n: usize, platform: SocketAddr) -> Config {
    config_in("a", n, platform)
}

/// Returns the configuration of the VM with a number in a failure domain.
pub fn config_in(place: &str, n: usize, platform: SocketAddr) -> Config {
    let id: VmId = format!("{place}/vm-{n}").parse().unwrap();
    let mut cfg = Config::new(id, domain(place), platform);
    cfg.members.absent_after = Millis(1000);
    cfg
}

impl Fleet {
    /// Starts a fleet with the open sheet in force everywhere.
    pub async fn start(vms: usize, minions: usize) -> Fleet {
        Fleet::start_with(vms, minions, |cfg| cfg).await
    }

    /// Starts a fleet whose VMs' configurations are changed first.
    pub async fn start_with(
        vms: usize,
        minions: usize,
        change: impl Fn(Config) -> Config,
    ) -> Fleet {
        let mut fleet = Fleet::bare().await;
        for n in 0..minions {
            fleet.add_minion(n).await;
        }
        for n in 0..vms {
            let cfg = change(config(n, fleet.platform.addr()));
            fleet.add_vm(cfg).await;
        }
        fleet.publish(&Sheet::open(), Base::Empty).await;
        fleet.all_ready().await;
        fleet
    }

    /// Starts a fleet with one VM and one minion in each failure domain.
    pub async fn start_in(places: &[&str]) -> Fleet {
        let mut fleet = Fleet::bare().await;
        for (n, place) in places.iter().enumerate() {
            fleet.add_minion_in(place, n).await;
        }
        for (n, place) in places.iter().enumerate() {
            let cfg = config_in(place, n, fleet.platform.addr());
            fleet.add_vm(cfg).await;
        }
        fleet.publish(&Sheet::open(), Base::Empty).await;
        fleet.all_ready().await;
        fleet
    }

    async fn bare() -> Fleet {
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
    pub async fn add_minion_in(&mut self, place: &str, n: usize) {
        let name = format!("{place}/m-{n}");
        let config = MinionConfig {
            id: name.parse().unwrap(),
            domain: domain(place),
            services: vec![service()],
            slots: Slots(8),
            cores: Cores(30),
        };
        let minion = MinionStandin::start(config, self.ledger.clone());
        let minion = minion.await.unwrap();
        let at = Endpoint::inside(&domain(place), &name);
        self.net.register(minion.addr(), at);
        let row = minion.row();
        self.platform.change(|list| list.minions.push(row));
        self.minions.push(minion);
    }

    /// Starts a VM on a runtime of its own.
    pub async fn add_vm(&mut self, cfg: Config) {
        let place = cfg.domain.clone();
        let at = Endpoint::inside(&place, cfg.id.as_str());
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let routing = RoutingConfig::default();
        let connect = self.net.at(at.clone());
        let start = Vm::start(cfg, routing, LimitsConfig::default(), connect);
        let vm = runtime.spawn(start).await.unwrap().unwrap();
        self.net.register(vm.callers(), at.clone());
        self.net.register(vm.peers(), at);
        let row = VmRow {
            id: vm.id().clone(),
            domain: place,
            callers: vm.callers(),
            peers: vm.peers(),
            presence: Presence::Live,
        };
        self.platform.change(|list: &mut MachineList| {
            list.vms.retain(|old| old.id != row.id);
            list.vms.push(row);
        });
        self.vms.push(vm);
        self.runtimes.push(Some(runtime));
    }

    /// Ends a VM's process at once, without a word to anybody.
    pub fn kill(&mut self, vm: usize) {
        if let Some(runtime) = self.runtimes[vm].take() {
            runtime.shutdown_background();
        }
    }

    /// Takes a VM off the platform's list.
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
            body: Body::against(None, sheet),
        });
        let platform = HttpPlatform::new(self.client.clone(), self.platform.addr(), Millis(2000));
        let bytes = Bytes::from(record.to_json().unwrap());
        platform.append(Stream::Sheet, bytes).await.unwrap();
        id
    }

    /// Waits until every VM is ready, has minions and has read the claims.
    pub async fn all_ready(&self) {
        for n in 0..self.vms.len() {
            let live = self.vms.len() - 1;
            self.until(n, |s| {
                let peers = s["peers"].as_array().unwrap();
                let met = peers.iter().filter(|p| p["belief"] == "live").count();
                let minions = s["minions"].as_array().unwrap().len();
                s["ready"] == true && minions >= 1 && s["log"] == "answers" && met >= live
            })
            .await;
        }
    }

    /// Waits until a VM's status is as wanted.
    pub async fn until(&self, vm: usize, want: impl Fn(&Value) -> bool) {
        let wait = tokio::time::timeout(WAIT, async {
            while !want(&self.status(vm).await) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        if wait.await.is_err() {
            panic!("not in time: {}", self.status(vm).await);
        }
    }

    /// Reads a VM's status.
    pub async fn status(&self, vm: usize) -> Value {
        let reply = self.ask(vm, Method::GET, "/v1/status", None, "").await;
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Submits a job of tasks that run for so many milliseconds each.
    pub async fn submit(&self, vm: usize, key: &str, tasks: &[u64]) -> (u16, Value) {
        self.post(vm, key, &job(tasks, 5000)).await
    }

    /// Posts a submission's body.
    pub async fn post(&self, vm: usize, key: &str, body: &str) -> (u16, Value) {
        let reply = self
            .ask(vm, Method::POST, "/v1/jobs", Some(key), body)
            .await;
        read(reply)
    }

    /// Cancels or looks up a job.
    pub async fn on_job(&self, vm: usize, method: Method, key: &str) -> (u16, Value) {
        let path = format!("/v1/jobs/{key}");
        read(self.ask(vm, method, &path, None, "").await)
    }

    /// Fetches a ticket.
    pub async fn ticket(&self, vm: usize) -> String {
        let reply = self
            .ask(vm, Method::POST, "/v1/tickets?count=1", None, "")
            .await;
        let (_, body) = read(reply);
        body["tickets"][0].as_str().unwrap().to_owned()
    }

    /// Sends a request to a VM's callers' side.
    pub async fn ask(
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

    /// Sends a prepared request to a VM's callers' side.
    pub async fn send(&self, vm: usize, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        self.client.call(self.vms[vm].callers(), req, WAIT).await
    }

    /// Returns how many tasks of a job have started.
    pub fn starts_of(&self, key: &str) -> usize {
        let starts = self.ledger.starts();
        starts.iter().filter(|s| s.job == key).count()
    }

    /// Waits until a job has started a number of tasks.
    pub async fn until_started(&self, key: &str, tasks: usize) {
        let wait = tokio::time::timeout(WAIT, async {
            while self.starts_of(key) < tasks {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        wait.await.expect("the job starts");
    }
}

/// Returns the one service of the fleet.
pub fn service() -> Service {
    "quote".parse().unwrap()
}

/// Writes a submission's body.
pub fn job(tasks: &[u64], deadline: u64) -> String {
    let task = |(i, ms): (usize, &u64)| serde_json::json!({"id": i.to_string(), "payload": {"run_ms": ms}});
    let tasks: Vec<Value> = tasks.iter().enumerate().map(task).collect();
    serde_json::json!({
        "team": "t1",
        "service": "quote",
        "deadline_ms": deadline,
        "tasks": tasks,
    })
    .to_string()
}

/// Reads an answer's status and body.
pub fn read(reply: Reply) -> (u16, Value) {
    let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    (reply.status.as_u16(), body)
}
