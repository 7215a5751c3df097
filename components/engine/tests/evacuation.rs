//! Evacuation of a failure domain across VMs: the state reaches every VM, an
//! older one never undoes it, and jobs go to the other domain.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Site, config, eventually, free_port, job, model, serve};
use engine::{Engine, EngineConfig, Evacuations, MetricsPage, Outcome};
use http_body_util::Full;
use hyper::Request;
use kernel::{Domain, Millis, Offset};
use metrics::{Count, Gauge, TextPage};
use ownership::{Heartbeat, Report, VmInfo};
use proptest::prelude::*;
use schedule::JobSpec;
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::JoinHandle;
use wire::{Client, PoolLimits, Server, ServerLimits, TcpConnect, decode, encode};

/// The domain that the tests evacuate; its minions' names begin with `n`.
const NADI: &str = "nadi-b";

/// The other domain; its minions' names begin with `s`.
const SUVA: &str = "suva-a";

fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

/// Returns a state in which these domains are being evacuated.
fn state(as_of: u64, domains: &[&str]) -> Evacuations {
    let mut state = Evacuations::default();
    let begun = domains.iter().map(|name| (domain(name), true));
    state.apply(begun, Offset(as_of));
    state
}

/// Returns a site with so many minions of 32 cores in each domain, each with
/// room for two tasks.
fn two_domains(nadi: usize, suva: usize) -> Site {
    let infos = [("n", nadi, NADI), ("s", suva, SUVA)];
    let infos = infos.into_iter().flat_map(|(prefix, count, name)| {
        (0..count).map(move |i| {
            let mut info = model::minion(&format!("{prefix}-{i}"), 32);
            info.domain = domain(name);
            info
        })
    });
    Site::of(infos)
}

/// Returns the configuration of a VM in a domain of the site.
fn vm_config(number: u8, port: u16, name: &str) -> EngineConfig {
    EngineConfig {
        domain: domain(name),
        domains: vec![domain(NADI), domain(SUVA)],
        ..config(number, port)
    }
}

async fn start(number: u8, port: u16, name: &str, site: &Site) -> Engine<Site> {
    serve(vm_config(number, port, name), site.clone(), site).await
}

/// Waits until a VM knows this number of other VMs and the owners of both
/// domains have free minions.
async fn await_peers(vm: &Engine<Site>, owners: [&Engine<Site>; 2], peers: u64) {
    eventually("VMs know each other", || {
        let serves = |o: &Engine<Site>| o.owns() && o.metrics().gauge(Gauge::CoresFree) > 0;
        vm.metrics().gauge(Gauge::PeersLive) == peers && owners.iter().all(|o| serves(o))
    })
    .await;
}

/// Starts a VM in each domain and waits until each owns its shard and knows the
/// other. Returns their port, too.
async fn pair(site: &Site) -> (Engine<Site>, Engine<Site>, u16) {
    let port = free_port();
    let nadi = start(1, port, NADI, site).await;
    let suva = start(2, port, SUVA, site).await;
    for vm in [&nadi, &suva] {
        await_peers(vm, [&nadi, &suva], 1).await;
    }
    (nadi, suva, port)
}

/// Submits a job in the background.
fn submit(vm: &Engine<Site>, spec: JobSpec) -> JoinHandle<Outcome> {
    let vm = vm.clone();
    tokio::spawn(async move { vm.submit(spec).await })
}

/// Runs jobs one after the other and asserts that all complete.
async fn assert_serves(vm: &Engine<Site>, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(vm.submit(job(number, 2, 20)).await, Outcome::Completed);
    }
}

fn is_evacuated(vm: &Engine<Site>) -> bool {
    vm.evacuations().contains(&domain(NADI))
}

/// Waits until a VM has owned one shard for some heartbeats, and asserts that it
/// reports no minions that accept work there.
async fn assert_reports_none(vm: &Engine<Site>) {
    eventually("shard owned", || {
        vm.metrics().gauge(Gauge::ShardsOwned) == 1
    })
    .await;
    // The gauges are set every 500 ms, and minions are held within that time.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(vm.metrics().gauge(Gauge::MinionsHeld), 0);
}

/// Fails if an owner that has lost the store right after the acknowledgement
/// does not learn of the evacuation from a VM that has read it, or does not
/// learn of its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_store() {
    let site = two_domains(2, 2);
    let (nadi, suva, _) = pair(&site).await;
    suva.evacuate(&state(7, &[NADI]));
    eventually("owner knows", || is_evacuated(&nadi)).await;
    assert_eq!(nadi.evacuations().as_of(), Offset(7));
    assert_serves(&nadi, 1..10).await;
    assert_eq!(site.starts_on("n"), 0);
    eventually("gauges set", || {
        let metrics = nadi.metrics();
        metrics.gauge(Gauge::DomainsEvacuated) == 1 && metrics.gauge(Gauge::EvacuationOffset) == 7
    })
    .await;
    suva.evacuate(&state(8, &[]));
    eventually("owner knows the end", || !is_evacuated(&nadi)).await;
    assert_serves(&nadi, 10..12).await;
    assert!(site.starts_on("n") > 0);
    assert_eq!(site.violations(), []);
}

/// Fails if the VM that takes over the shard of an owner which was lost before
/// the evacuation took effect there starts tasks in the domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_owner() {
    let site = two_domains(2, 2);
    let port = free_port();
    // The owner has its own runtime, whose shutdown simulates a killed process.
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let minions = site.clone();
    let owner = runtime.spawn(async move { start(1, port, NADI, &minions).await });
    let owner = owner.await.unwrap();
    eventually("shard taken", || owner.owns()).await;
    let suva = start(2, port, SUVA, &site).await;
    let next = start(3, port, NADI, &site).await;
    await_peers(&next, [&owner, &suva], 2).await;
    drop(owner);
    runtime.shutdown_background();
    for vm in [&next, &suva] {
        vm.evacuate(&state(7, &[NADI]));
    }
    eventually("shard taken over", || next.owns()).await;
    assert_reports_none(&next).await;
    for number in 1..40 {
        next.submit(job(number, 2, 20)).await;
    }
    assert_serves(&next, 40..42).await;
    assert_eq!(site.starts_on("n"), 0);
    assert_eq!(site.violations(), []);
}

/// Fails if the next owner of an evacuated shard, which has not heard of the
/// evacuation, does not learn of it from the handover, or ends the runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn handed_over() {
    let site = two_domains(2, 2);
    let (nadi, suva, port) = pair(&site).await;
    let next = start(3, port, NADI, &site).await;
    await_peers(&nadi, [&nadi, &suva], 2).await;
    let running = submit(&nadi, job(1, 2, 900));
    eventually("tasks run", || site.starts_on("n") == 2).await;
    nadi.evacuate(&state(7, &[NADI]));
    nadi.leave().await;
    assert!(next.owns());
    assert!(is_evacuated(&next));
    assert_eq!(running.await.unwrap(), Outcome::Completed);
    assert_reports_none(&next).await;
    assert_serves(&next, 2..6).await;
    assert_eq!(site.starts_on("n"), 2);
    assert_eq!(site.violations(), []);
}

/// Fails if a VM that returns from a freeze, and still reads an earlier state,
/// ends an evacuation here or elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_state() {
    let site = two_domains(2, 2);
    let (nadi, suva, port) = pair(&site).await;
    for vm in [&nadi, &suva] {
        vm.evacuate(&state(7, &[NADI]));
        vm.evacuate(&state(6, &[]));
        // The same offset is the same state.
        vm.evacuate(&state(7, &[]));
        assert!(is_evacuated(vm));
    }
    assert_serves(&nadi, 1..6).await;
    assert_eq!(site.starts_on("n"), 0);
    // A VM with the old state reads the newer one as soon as it is heard.
    let late = start(3, port, SUVA, &site).await;
    late.evacuate(&state(6, &[]));
    eventually("late VM knows", || is_evacuated(&late)).await;
    assert!(is_evacuated(&nadi) && is_evacuated(&suva));
}

/// Fails if the evacuation of the domain with most minions ends its runs, or
/// keeps its waiting jobs from the other domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_domain() {
    let site = two_domains(4, 1);
    let (nadi, suva, _) = pair(&site).await;
    let busy = submit(&suva, job(1, 2, 700));
    let running = submit(&nadi, job(2, 8, 1_500));
    eventually("all minions taken", || site.running() == 10).await;
    let waiting = submit(&nadi, job(3, 2, 50));
    eventually("job waits", || nadi.pending() + suva.pending() == 1).await;
    for vm in [&nadi, &suva] {
        vm.evacuate(&state(7, &[NADI]));
    }
    assert_eq!(waiting.await.unwrap(), Outcome::Completed);
    assert_eq!(busy.await.unwrap(), Outcome::Completed);
    assert_eq!(running.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts_on("n"), 8);
    assert_eq!(site.starts(), 12);
    assert_eq!(site.violations(), []);
}

/// Fails if a job whose tasks were started in part waits for the end of the
/// evacuation, or is run again while a run of it goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partly_started() {
    let site = two_domains(1, 1);
    let (nadi, suva, _) = pair(&site).await;
    let busy = submit(&suva, job(1, 2, 1_000));
    eventually("other domain busy", || site.running() == 2).await;
    let partial = submit(&nadi, job(2, 4, 1_200));
    eventually("first tasks run", || site.starts_on("n") == 2).await;
    for vm in [&nadi, &suva] {
        vm.evacuate(&state(7, &[NADI]));
    }
    assert_eq!(partial.await.unwrap(), Outcome::Completed);
    assert_eq!(busy.await.unwrap(), Outcome::Completed);
    assert_eq!(nadi.metrics().count(Count::JobRepeated), 1);
    assert_eq!(site.starts_on("n"), 2);
    assert_eq!(site.violations(), []);
}

/// Fails if two evacuations at once leave a caller without an answer, or the end
/// of one ends the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_domains() {
    let site = two_domains(2, 2);
    let (nadi, suva, _) = pair(&site).await;
    for vm in [&nadi, &suva] {
        vm.evacuate(&state(7, &[NADI, SUVA]));
    }
    let called = Instant::now();
    let refused = nadi.submit(job(1, 2, 20)).await;
    let retry = Millis(1_000);
    assert_eq!(refused, Outcome::Refused { retry });
    assert!(called.elapsed() < Duration::from_millis(500));
    for vm in [&nadi, &suva] {
        vm.evacuate(&state(8, &[NADI]));
    }
    // The end reaches the other VM with the owner's next heartbeat.
    let until = Instant::now() + Duration::from_secs(1);
    while nadi.submit(job(2, 2, 20)).await != Outcome::Completed {
        assert!(Instant::now() < until, "not served after the end");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_serves(&nadi, 3..6).await;
    assert_eq!(site.starts_on("n"), 0);
    assert_eq!(site.violations(), []);
}

/// Fails if a shard takes work after it was divided, handed over and united while
/// its domain is being evacuated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn divided_and_united() {
    let site = two_domains(16, 0);
    let port = free_port();
    let sized = async |number, room| {
        let mut cfg = vm_config(number, port, NADI);
        cfg.domains = vec![domain(NADI)];
        cfg.room = room;
        cfg.share = room * 10;
        cfg.ownership.settle_time = Millis(600);
        serve(cfg, site.clone(), &site).await
    };
    let first = sized(1, 8).await;
    eventually("minions held", || {
        first.metrics().gauge(Gauge::MinionsHeld) == 16
    })
    .await;
    let running = submit(&first, job(100, 32, 2_500));
    eventually("tasks run", || site.running() == 32).await;
    first.evacuate(&state(7, &[NADI]));
    let second = sized(2, 8).await;
    eventually("divided among both", || first.owns() && second.owns()).await;
    assert!(is_evacuated(&second));
    let large = sized(3, 100).await;
    eventually("one shard on the large VM", || {
        large.metrics().gauge(Gauge::ShardsOwned) == 1 && !first.owns() && !second.owns()
    })
    .await;
    assert!(is_evacuated(&large));
    assert_reports_none(&large).await;
    assert_eq!(running.await.unwrap(), Outcome::Completed);
    for (number, vm) in [&first, &second, &large].into_iter().enumerate() {
        let outcome = vm.submit(job(number as u64, 2, 20)).await;
        assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    }
    assert_eq!(site.starts(), 32);
    large.evacuate(&state(8, &[]));
    assert_serves(&large, 10..12).await;
    assert_eq!(site.violations(), []);
}

/// Fails if VMs that all start during an evacuation start tasks in the domain
/// although one of them reaches the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn common_start() {
    let site = two_domains(2, 2);
    let port = free_port();
    let nadi = start(1, port, NADI, &site).await;
    let suva = start(2, port, SUVA, &site).await;
    nadi.evacuate(&state(7, &[NADI]));
    assert_serves(&nadi, 1..3).await;
    eventually("all know", || is_evacuated(&suva)).await;
    assert_serves(&suva, 3..6).await;
    assert_eq!(site.starts_on("n"), 0);
    assert_eq!(site.violations(), []);
}

/// Fails if a VM that knows of the evacuation sends a job to an owner that does
/// not know of it yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_unaware() {
    let site = two_domains(2, 2);
    let (nadi, suva, port) = pair(&site).await;
    let other = start(3, port, NADI, &site).await;
    await_peers(&other, [&nadi, &suva], 2).await;
    other.evacuate(&state(7, &[NADI]));
    assert_serves(&other, 1..4).await;
    assert_eq!(site.starts_on("n"), 0);
}

/// Fails if the evacuation of a domain that the settings don't name has any
/// effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_domain() {
    let site = two_domains(2, 2);
    let (nadi, _suva, _) = pair(&site).await;
    nadi.evacuate(&state(7, &["lautoka-c"]));
    assert_serves(&nadi, 1..3).await;
    assert!(site.starts_on("n") > 0);
    eventually("offset known", || {
        nadi.metrics().gauge(Gauge::EvacuationOffset) == 7
    })
    .await;
    assert_eq!(nadi.metrics().gauge(Gauge::DomainsEvacuated), 0);
}

/// Fails if the metrics page does not tell of each domain whether it is evacuated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_page() {
    let site = two_domains(1, 1);
    let vm = start(1, free_port(), NADI, &site).await;
    vm.evacuate(&state(7, &[NADI, "lautoka-c"]));
    let page = MetricsPage {
        page: Arc::new(TextPage::new(vm.metrics()).unwrap()),
        engine: vm,
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, ServerLimits::default()).await.unwrap();
    let addr = server.addr().unwrap();
    tokio::spawn(server.serve(page));
    let client = Client::new(TcpConnect, PoolLimits::default());
    let request = Request::get("/metrics").header("host", "vm");
    let request = request.body(Full::default()).unwrap();
    let reply = client.call(addr, request, Duration::from_secs(5)).await;
    let text = String::from_utf8(reply.unwrap().body.to_vec()).unwrap();
    let gauges = text
        .lines()
        .filter(|l| l.starts_with("pomelopost_domain_evacuated"));
    let expected = [
        "pomelopost_domain_evacuated{domain=\"nadi-b\"} 1",
        "pomelopost_domain_evacuated{domain=\"suva-a\"} 0",
    ];
    assert_eq!(gauges.collect::<Vec<_>>(), expected);
}

/// Fails if a state with more domains than a site can have is kept and passed on.
#[tokio::test]
async fn too_many_domains() {
    let site = two_domains(1, 1);
    let vm = start(1, free_port(), NADI, &site).await;
    let names: Vec<_> = (0..2_000).map(|i| format!("d-{i}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    vm.evacuate(&state(9, &names));
    assert_eq!(vm.evacuations().as_of(), Offset(0));
}

/// A heartbeat as the previous build sends it, without the offset.
#[derive(Serialize)]
struct EarlierHeartbeat(VmInfo, Millis, u64, Vec<Report>, Vec<Ipv4Addr>);

fn vm_info() -> VmInfo {
    VmInfo {
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: domain(NADI),
        share: 250,
        room: 100,
        incarnation: "0123456789abcdef0123456789abcdef".parse().unwrap(),
        leaving: false,
    }
}

/// Fails if a heartbeat of the previous build can't be decoded.
#[test]
fn earlier_heartbeat() {
    let earlier = EarlierHeartbeat(vm_info(), Millis(100), 3, Vec::new(), Vec::new());
    let decoded: Heartbeat = decode(&encode(&earlier).unwrap()).unwrap();
    assert_eq!(decoded.version, 3);
    assert_eq!(decoded.evacuations, Offset(0));
}

proptest! {
    /// Fails if garbage in place of a state or a heartbeat causes a panic.
    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Evacuations>(&bytes);
        let _ = decode::<Heartbeat>(&bytes);
    }

    /// Fails if a state changes on its way to another VM, at the extremes too.
    #[test]
    fn state_round_trip(
        as_of in prop_oneof![Just(0), Just(u64::MAX), any::<u64>()],
        names in prop::collection::vec("[a-z0-9-]{1,32}", 0..8),
    ) {
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let sent = state(as_of, &names);
        let received: Evacuations = decode(&encode(&sent).unwrap()).unwrap();
        prop_assert_eq!(received, sent);
    }

    /// Fails if the order of the records does not decide.
    #[test]
    fn last_record_decides(changes in prop::collection::vec((0..3_u8, any::<bool>()), 0..20)) {
        let mut state = Evacuations::default();
        let named = |(number, begun): &(u8, bool)| (domain(&format!("d-{number}")), *begun);
        state.apply(changes.iter().map(named), Offset(1));
        for number in 0..3 {
            let last = changes.iter().rfind(|(n, _)| *n == number);
            let evacuated = last.is_some_and(|(_, begun)| *begun);
            prop_assert_eq!(state.contains(&domain(&format!("d-{number}"))), evacuated);
        }
    }
}
