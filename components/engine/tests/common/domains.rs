//! Two VMs behind relays, in a failure domain each.

use engine::{Engine, EngineConfig, Evacuations};
use kernel::{Domain, Offset};
use metrics::Gauge;
use schedule::MinionInfo;

use super::relayed::Relays;
use super::{Site, eventually, model, serve};

/// Domain of VM 1, which takes the jobs; its minions' names begin with `n`.
pub const NEAR: &str = "nadi-b";

/// Domain of VM 2; its minions' names begin with `f`.
pub const FAR: &str = "suva-a";

pub fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

/// Returns so many minions of 32 cores in each domain.
pub fn minions(count: usize) -> Vec<MinionInfo> {
    let names = [("n", NEAR), ("f", FAR)];
    let all = names.into_iter().flat_map(|(prefix, name)| {
        (0..count).map(move |i| MinionInfo {
            domain: domain(name),
            ..model::minion(&format!("{prefix}-{i}"), 32)
        })
    });
    all.collect()
}

/// Tells a VM that these domains are being evacuated, so that jobs go to the other.
pub fn evacuate(vm: &Engine<Site>, as_of: u64, names: &[&str]) {
    let mut state = Evacuations::default();
    let all = [NEAR, FAR].into_iter();
    let all = all.map(|name| (domain(name), names.contains(&name)));
    state.apply(all, Offset(as_of));
    vm.evacuate(&state);
}

async fn start(relays: &Relays, number: u8, name: &str, site: &Site) -> Engine<Site> {
    let cfg = EngineConfig {
        domain: domain(name),
        domains: vec![domain(NEAR), domain(FAR)],
        ..relays.config(number)
    };
    serve(cfg, site.clone(), site).await
}

/// Starts a VM in each domain and waits until each owns its shard and knows the
/// other.
pub async fn near_and_far(relays: &Relays, site: &Site) -> [Engine<Site>; 2] {
    let vms = [
        start(relays, 1, NEAR, site).await,
        start(relays, 2, FAR, site).await,
    ];
    let serves = |vm: &Engine<Site>| {
        let metrics = vm.metrics();
        vm.owns() && metrics.gauge(Gauge::CoresFree) > 0 && metrics.gauge(Gauge::PeersLive) == 1
    };
    eventually("VMs know each other", || vms.iter().all(serves)).await;
    vms
}
