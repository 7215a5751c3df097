//! The fleets of the VMs and the counters of a run.

use kernel::{Cores, Domain, Service, Slots};
use routing::{Fleet, MinionInfo, Policy, RoutingConfig};

use crate::jobs::{MINIONS, SLOTS, Scenario};

#[derive(Default)]
pub struct Totals {
    pub ratios: Vec<f64>,
    pub waits: Vec<u64>,
    pub tasks: u64,
    pub wasted: u64,
    pub good: u64,
    pub lost: u64,
    pub late: u64,
    pub refused: u64,
    pub digests: u64,
    pub answered: Vec<u64>,
}

pub fn service() -> Service {
    "quote".parse().unwrap()
}

pub fn fleet<P: Policy>(policy: P, vm: usize, sc: &Scenario) -> Fleet<P> {
    let home: Domain = "a".parse().unwrap();
    let cfg = RoutingConfig {
        seed: vm as u64,
        refusals: sc.refusals,
        ..RoutingConfig::default()
    };
    let fleet = Fleet::new(home.clone(), cfg, policy);
    let minion = |i: usize| MinionInfo {
        id: format!("a/m-{i:03}").parse().unwrap(),
        domain: home.clone(),
        addr: ([127, 0, 0, 1], 1000 + i as u16).into(),
        services: vec![service()],
        slots: Slots(SLOTS),
        cores: Cores(30),
        leaving: false,
    };
    fleet.update(&(0..MINIONS).map(minion).collect::<Vec<_>>());
    fleet.set_peers(vm, sc.vms);
    fleet
}
