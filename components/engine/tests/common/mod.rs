//! Engines on loopback with simulated minions, which all VMs of a test share
//! and which record violations.

#![allow(dead_code)]

#[path = "../../../schedule/tests/common/mod.rs"]
pub mod model;

pub mod domains;
pub mod relayed;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use engine::{Configuration, Engine, EngineConfig, HoldReply, Minions, StopReply};
use kernel::{BitRate, Millis, MinionId};
use ownership::OwnershipConfig;
use schedule::{HoldOrder, JobSpec, MinionInfo, ScheduleConfig, StartOrder, StartReply, StopOrder};
use standins::{LeasedFleet, MinionViolation, Work};
use wire::{Link, PoolLimits, ServerLimits};

/// The simulated minions of a site.
#[derive(Clone)]
pub struct Site(LeasedFleet);

impl Site {
    pub fn new(sizes: &[u32]) -> Site {
        let infos = sizes.iter().enumerate();
        let infos = infos.map(|(i, size)| model::minion(&format!("m-{i:02}"), *size));
        Site(LeasedFleet::new(infos))
    }

    /// Creates a site of these minions, which may be in several domains.
    pub fn of(infos: impl IntoIterator<Item = MinionInfo>) -> Site {
        Site(LeasedFleet::new(infos))
    }

    /// Returns the number of starts on minions whose names begin with `prefix`.
    pub fn starts_on(&self, prefix: &str) -> usize {
        let starts = self.0.starts().into_iter();
        starts
            .filter(|s| s.minion.as_str().starts_with(prefix))
            .count()
    }

    pub fn infos(&self) -> Vec<MinionInfo> {
        self.0.infos()
    }

    /// Returns the violations that the minions have recorded.
    pub fn violations(&self) -> Vec<MinionViolation> {
        self.0.violations()
    }

    pub fn starts(&self) -> usize {
        self.0.starts().len()
    }

    /// Returns the number of starts of a job's tasks.
    pub fn starts_of(&self, job: &JobSpec) -> usize {
        let starts = self.0.starts().into_iter();
        starts
            .filter(|s| s.task.job().as_ref() == Some(&job.id))
            .count()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.0.running()
    }
}

impl Minions for Site {
    async fn start(&self, order: &StartOrder) -> StartReply {
        self.0.start(order).unwrap()
    }

    async fn stop(&self, order: &StopOrder) -> StopReply {
        match self.0.stop(order).unwrap() {
            Some(clock) => StopReply::Accepted(clock),
            None => StopReply::Fenced,
        }
    }

    async fn hold(&self, id: &MinionId, order: &HoldOrder) -> HoldReply {
        if self.0.is_down(id) {
            tokio::time::sleep(Duration::from_millis(40)).await;
            return HoldReply::NoAnswer;
        }
        match self.0.hold(id, order).await.unwrap() {
            // The process has ended while the hold waited.
            _ if self.0.is_down(id) => HoldReply::NoAnswer,
            Some(list) => HoldReply::Listed(list),
            None => HoldReply::Fenced,
        }
    }
}

/// Returns a port that is free on loopback.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// Returns the configuration of the VM at 127.0.0.`number`.
pub fn config(number: u8, port: u16) -> EngineConfig {
    let ip = Ipv4Addr::new(127, 0, 0, number);
    EngineConfig {
        peer_addr: SocketAddr::from((ip, port)),
        listen: ip.into(),
        heartbeat_port: port,
        domain: "suva-a".parse().unwrap(),
        domains: vec!["suva-a".parse().unwrap()],
        share: 250,
        room: 1_000,
        link: Link::new(BitRate(1_000_000_000)),
        seeds: vec![Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2)],
        shards: 1,
        ownership: OwnershipConfig::default(),
        schedule: ScheduleConfig::default(),
        pool: PoolLimits::default(),
        server: ServerLimits::default(),
        tick: Millis(10),
        linger: Millis(200),
    }
}

/// Starts a VM that has a configuration and knows the site's register.
pub async fn serve<M: Minions>(cfg: EngineConfig, minions: M, site: &Site) -> Engine<M> {
    let engine = Engine::start(cfg, minions).await.unwrap();
    engine.configure(Configuration {
        version: 1,
        ..Configuration::default()
    });
    engine.register(site.infos());
    engine
}

/// Starts the VM at 127.0.0.`number`.
pub async fn vm(number: u8, port: u16, site: &Site) -> Engine<Site> {
    serve(config(number, port), site.clone(), site).await
}

/// Starts two VMs and waits until one owns the shard and both know the owner.
pub async fn pair(site: &Site) -> (Engine<Site>, Engine<Site>) {
    let port = free_port();
    let a = vm(1, port, site).await;
    let b = vm(2, port, site).await;
    eventually("one owner, known to both", || {
        a.owns() != b.owns() && a.ready() && b.ready()
    })
    .await;
    (a, b)
}

/// Returns a job whose tasks of 14 cores take `span` milliseconds.
pub fn job(number: u64, tasks: u16, span: u64) -> JobSpec {
    JobSpec {
        payload: Work::new(14, Millis(span)).to_string().into(),
        timeout: Millis(20_000),
        objective: Millis(10_000),
        ..model::job(number, tasks, 14, span)
    }
}

/// Waits until a condition is true, and fails after 20 s.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
