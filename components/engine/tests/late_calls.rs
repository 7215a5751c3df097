//! Calls between VMs that a cut holds up. Their sender has given them up when they
//! arrive (docs/design/job-leases.md).

mod common;

use std::time::Duration;

use common::relayed::Relays;
use common::{Site, eventually, job, model, serve};
use engine::{Engine, EngineConfig, Evacuations, Outcome};
use kernel::{Domain, Millis, Offset};
use metrics::Gauge;
use schedule::{JobSpec, MinionInfo};

/// Domain of the VM that takes the jobs; its minions' names begin with `n`.
const NEAR: &str = "nadi-b";

/// Domain of the VM that is cut off; its minions' names begin with `f`.
const FAR: &str = "suva-a";

/// Time in milliseconds for which the far VM is cut off: longer than the near one
/// waits before it runs a lost job again.
const CUT: u64 = 1_900;

fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

fn minion(id: &str, name: &str) -> MinionInfo {
    MinionInfo {
        domain: domain(name),
        ..model::minion(id, 32)
    }
}

/// Evacuates the near domain, or ends that, so that jobs go to the far one or the
/// near one.
fn evacuate(vm: &Engine<Site>, as_of: u64, on: bool) {
    let mut state = Evacuations::default();
    state.apply([(domain(NEAR), on)], Offset(as_of));
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
/// other's.
async fn near_and_far(relays: &Relays, site: &Site) -> [Engine<Site>; 2] {
    let vms = [
        start(relays, 1, NEAR, site).await,
        start(relays, 2, FAR, site).await,
    ];
    let serves = |vm: &Engine<Site>| {
        vm.owns()
            && vm.metrics().gauge(Gauge::CoresFree) > 0
            && vm.metrics().gauge(Gauge::PeersLive) == 1
    };
    eventually("VMs know each other", || vms.iter().all(serves)).await;
    vms
}

/// Fails if a job call that a cut held up starts a task when it arrives, beside the
/// run of the same task that the caller's VM has started meanwhile.
#[tokio::test]
async fn held_up() {
    let site = Site::of([minion("n-0", NEAR), minion("f-0", FAR)]);
    let relays = Relays::open(&[1, 2]).await;
    let [near, _far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, true);
    // Leaves an open connection, on which the next call is sent.
    assert_eq!(near.submit(job(1, 1, 20)).await, Outcome::Completed);
    assert_eq!(site.starts_on("f"), 1);
    relays.cut(2);
    let repeated = job(2, 1, 1_500);
    let answer = tokio::spawn({
        let (near, repeated) = (near.clone(), repeated.clone());
        async move { near.submit(repeated).await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    evacuate(&near, 8, false);
    tokio::time::sleep(Duration::from_millis(CUT - 50)).await;
    relays.heal(2);
    assert_eq!(answer.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts_of(&repeated), 1);
    assert_eq!(site.violations(), []);
}

/// Fails if a handover that a cut held up gives the next owner jobs that their
/// callers have given up.
#[tokio::test]
async fn handover_held_up() {
    let site = Site::of([minion("n-0", NEAR), minion("f-0", FAR)]);
    let relays = Relays::open(&[1, 2]).await;
    let [near, far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, true);
    // Leaves an open connection, on which the handover is sent.
    assert_eq!(near.submit(job(3, 1, 20)).await, Outcome::Completed);
    let mut state = Evacuations::default();
    state.apply([(domain(FAR), true)], Offset(8));
    near.evacuate(&state);
    eventually("far VM knows", || far.evacuations().contains(&domain(FAR))).await;
    // Two tasks fill the minion, so that the second job waits.
    let submit = |spec: JobSpec| {
        let near = near.clone();
        tokio::spawn(async move { near.submit(spec).await })
    };
    let _running = submit(job(1, 2, 1_000));
    eventually("minion full", || site.starts_on("n") == 2).await;
    let waiting = JobSpec {
        timeout: Millis(1_500),
        objective: Millis(1_500),
        ..job(2, 1, 200)
    };
    let answer = submit(waiting.clone());
    tokio::time::sleep(Duration::from_millis(50)).await;
    relays.cut(2);
    let leaving = tokio::spawn(async move { near.leave().await });
    tokio::time::sleep(Duration::from_millis(CUT)).await;
    relays.heal(2);
    leaving.await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_ne!(answer.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts_of(&waiting), 0);
}
