//! Engines on loopback whose minions are models inside the test, shared by all
//! VMs, so that a broken rule is seen by what the minions count.

#![allow(dead_code)]

#[path = "../../../schedule/tests/common/mod.rs"]
pub mod model;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use engine::{Configuration, Engine, EngineConfig, HoldReply, Minions, StopReply};
use kernel::{Millis, MinionId};
use model::Model;
use ownership::OwnershipConfig;
use schedule::{
    HoldOrder, JobSpec, MinionInfo, Resources, ScheduleConfig, StartOrder, StartReply, StopOrder,
};
use wire::{PoolLimits, ServerLimits};

/// How often a waiting hold looks for an end.
const LOOK: Duration = Duration::from_millis(2);

struct State {
    models: BTreeMap<MinionId, Model>,
    broken: Vec<String>,
    starts: u32,
}

/// The minions of a site.
#[derive(Clone)]
pub struct Site {
    state: Arc<Mutex<State>>,
    start: Instant,
}

impl Site {
    pub fn new(sizes: &[u32]) -> Site {
        let infos = sizes.iter().enumerate();
        let infos = infos.map(|(i, size)| model::minion(&format!("m-{i:02}"), *size));
        let models = infos.map(|info| (info.id.clone(), Model::new(info)));
        Site {
            state: Arc::new(Mutex::new(State {
                models: models.collect(),
                broken: Vec::new(),
                starts: 0,
            })),
            start: Instant::now(),
        }
    }

    pub fn infos(&self) -> Vec<MinionInfo> {
        let state = self.state.lock().unwrap();
        state.models.values().map(|m| m.info.clone()).collect()
    }

    /// Returns the rules that the minions saw broken.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    pub fn starts(&self) -> u32 {
        self.state.lock().unwrap().starts
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        self.with(|s, _| s.models.values().map(|m| m.running().len()).sum())
    }

    /// Lets all minions come to the present, checks them, and acts.
    fn with<T>(&self, act: impl FnOnce(&mut State, u64) -> T) -> T {
        let now = 1_000 + self.start.elapsed().as_millis() as u64;
        let mut state = self.state.lock().unwrap();
        for model in state.models.values_mut() {
            model.advance(now);
        }
        let result = act(&mut state, now);
        let mut seen = BTreeMap::new();
        let mut broken = Vec::new();
        for model in state.models.values() {
            let mut used = Resources::default();
            for (task, run) in model.running() {
                used = used.with(&model::cores(14));
                if let Some(other) = seen.insert(task.clone(), run) {
                    broken.push(format!("{task} runs as {run} and {other}"));
                }
            }
            if !used.fits(&model.info.capacity) {
                broken.push(format!("{} holds {used}", model.info.id));
            }
        }
        state.broken.extend(broken);
        result
    }
}

impl Minions for Site {
    async fn start(&self, order: &StartOrder) -> StartReply {
        self.with(|state, now| {
            state.starts += 1;
            // The payload says how long the task takes.
            let span = order.payload.parse().unwrap();
            let model = state.models.get_mut(&order.minion).unwrap();
            model.start(order, model::cores(14), span, now)
        })
    }

    async fn stop(&self, order: &StopOrder) -> StopReply {
        self.with(|state, now| {
            let model = state.models.get_mut(&order.minion).unwrap();
            match model.stop(order, now) {
                Some(clock) => StopReply::Taken(clock),
                None => StopReply::Fenced,
            }
        })
    }

    async fn hold(&self, id: &MinionId, order: &HoldOrder) -> HoldReply {
        let until = Instant::now() + order.wait.duration();
        loop {
            let list = self.with(|state, now| state.models.get_mut(id).unwrap().hold(order, now));
            match list {
                None => return HoldReply::Fenced,
                Some(list) if !list.ended.is_empty() || Instant::now() >= until => {
                    return HoldReply::Listed(list);
                }
                Some(_) => tokio::time::sleep(LOOK).await,
            }
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
        peers: SocketAddr::from((ip, port)),
        beats: port,
        domain: "suva-a".parse().unwrap(),
        domains: vec!["suva-a".parse().unwrap()],
        share: 250,
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

/// Starts a VM that knows the site's register.
pub async fn vm(number: u8, port: u16, site: &Site) -> Engine<Site> {
    let engine = Engine::start(config(number, port), site.clone())
        .await
        .unwrap();
    engine.configure(Configuration {
        version: 1,
        ..Configuration::default()
    });
    engine.register(site.infos());
    engine
}

/// Returns a job whose tasks of 14 cores take `span` milliseconds.
pub fn job(number: u64, tasks: u16, span: u64) -> JobSpec {
    JobSpec {
        payload: span.to_string().into(),
        patience: Millis(20_000),
        objective: Millis(10_000),
        ..model::job(number, tasks, 14, span)
    }
}

/// Waits until something holds.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
