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
use platform::{HttpPlatform, Listing, Platform, Presence, Stream, VmRow};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::RoutingConfig;
use serde_json::Value;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetRecord};
use standins::{Ledger, MinionConfig, MinionStandin, PlatformConfig, PlatformStandin};
use wire::{Client, PoolLimits, Reply, TcpConnect};

/// The longest wait for anything in a test.
pub const WAIT: Duration = Duration::from_secs(20);

/// A fleet in one failure domain.
pub struct Fleet {
    /// The platform.
    pub platform: PlatformStandin,
    /// The minions.
    pub minions: Vec<MinionStandin>,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// What the minions started.
    pub ledger: Ledger,
    /// Carries the callers' requests.
    pub client: Client<TcpConnect>,
}

fn domain() -> Domain {
    "a".parse().unwrap()
}

/// Returns the configuration of the VM with a number.
pub fn config(n: usize, platform: SocketAddr) -> Config {
    let id: VmId = format!("a/vm-{n}").parse().unwrap();
    Config::new(id, domain(), platform)
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
        let platform = PlatformStandin::start(PlatformConfig {
            lag: Duration::ZERO,
            ..PlatformConfig::default()
        });
        let mut fleet = Fleet {
            platform: platform.await.unwrap(),
            minions: Vec::new(),
            vms: Vec::new(),
            ledger: Ledger::default(),
            client: Client::new(TcpConnect, PoolLimits::default()),
        };
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

    /// Starts a minion with 8 slots.
    pub async fn add_minion(&mut self, n: usize) {
        let config = MinionConfig {
            id: format!("a/m-{n}").parse().unwrap(),
            domain: domain(),
            services: vec![service()],
            slots: Slots(8),
            cores: Cores(30),
        };
        let minion = MinionStandin::start(config, self.ledger.clone());
        let minion = minion.await.unwrap();
        let row = minion.row();
        self.platform.change(|list| list.minions.push(row));
        self.minions.push(minion);
    }

    /// Starts a VM.
    pub async fn add_vm(&mut self, cfg: Config) {
        let domain = cfg.domain.clone();
        let routing = RoutingConfig::default();
        let vm = Vm::start(cfg, routing, LimitsConfig::default(), TcpConnect);
        let vm = vm.await.unwrap();
        let row = VmRow {
            id: vm.id().clone(),
            domain,
            callers: vm.callers(),
            peers: vm.peers(),
            presence: Presence::Live,
        };
        self.platform
            .change(|list: &mut Listing| list.vms.push(row));
        self.vms.push(vm);
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
        self.client
            .call(self.vms[vm].callers(), req, WAIT)
            .await
            .unwrap()
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

fn read(reply: Reply) -> (u16, Value) {
    let body = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    (reply.status.as_u16(), body)
}
