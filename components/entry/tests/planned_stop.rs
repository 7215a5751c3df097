//! A planned stop cuts nothing off, and what the VM leaves behind stays usable
//! through every other VM.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::{Fleet, WAIT, job};
use hyper::Method;
use kernel::Millis;
use serde_json::Value;

const LONG: Millis = Millis(10_000);

/// Waits until every other VM takes a VM's incarnation for gone.
async fn all_know(fleet: &Fleet, gone: usize, others: &[usize]) {
    let id = fleet.vms[gone].id().to_string();
    for &vm in others {
        let known = |s: &Value| {
            let peers = s["peers"].as_array().unwrap();
            let same = |p: &&Value| p["vm"] == id.as_str();
            peers
                .iter()
                .find(same)
                .is_none_or(|p| p["belief"] == "gone")
        };
        fleet.until(vm, known).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn in_flight() {
    let fleet = Fleet::start(2, 2).await;
    let stop = async {
        fleet.until_started("job-1", 3).await;
        fleet.vms[0].stop(LONG).await;
    };
    let asked = async {
        fleet.until(0, |s| s["stage"] == "stopping").await;
        let ready = fleet.ask(0, Method::GET, "/ready", None, "").await;
        assert_eq!(ready.status, 503);
        assert_eq!(ready.headers["connection"], "close");
        let told = fleet.submit(0, "job-2", &[10]).await;
        assert_eq!((told.0, &told.1["ran"]), (503, &"no".into()), "{told:?}");
        assert_eq!(told.1["reason"], "stopping");
        assert_eq!(fleet.submit(1, "job-2", &[10]).await.0, 200);
    };
    let here = fleet.submit(0, "job-1", &[1000, 800, 900]);
    let there = fleet.submit(1, "job-1", &[1000, 800, 900]);
    let (here, there, (), ()) = tokio::join!(here, there, stop, asked);
    assert_eq!(here.0, 200, "{here:?}");
    assert_eq!(here, there);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn waits_elsewhere() {
    // The caller's VM stops while another VM runs the job.
    let mut fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let addr = fleet.vms[1].callers();
    let req = hyper::Request::post("/v1/jobs")
        .header("host", "vm")
        .header(entry::KEY_HEADER, &ticket)
        .body(http_body_util::Full::new(job(&[4000], 8000).into()))
        .unwrap();
    let client = fleet.client.clone();
    let caller = tokio::spawn(async move { client.call(addr, req, WAIT).await });
    fleet.until_started(&ticket, 1).await;
    fleet.vms[1].stop(LONG).await;
    fleet.kill(1);
    let told = common::read(caller.await.unwrap().unwrap());
    assert_eq!(told.0, 200, "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn waits_too_long() {
    let mut fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let waiting = async {
        fleet.until_started(&ticket, 1).await;
        fleet.vms[1].stop(Millis(200)).await;
    };
    let body = job(&[3000], 8000);
    let (told, ()) = tokio::join!(fleet.post(1, &ticket, &body), waiting);
    assert_eq!((told.0, &told.1["reason"]), (503, &"owner_away".into()));
    fleet.kill(1);
    let told = fleet.post(0, &ticket, &body).await;
    assert_eq!(told.0, 200, "{told:?}");
    assert_eq!(fleet.ledger.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn left_behind() {
    let mut fleet = Fleet::start_in(&["a", "a", "b"]).await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    let answered = fleet.submit(0, &used, &[10]).await;
    let bare = fleet.submit(0, "bare", &[10]).await;
    fleet.vms[0].stop(LONG).await;
    fleet.kill(0);
    all_know(&fleet, 0, &[1, 2]).await;
    for vm in [1, 2] {
        assert_eq!(fleet.submit(vm, &used, &[10]).await, answered);
        assert_eq!(fleet.submit(vm, "bare", &[10]).await, bare);
        let told = fleet.submit(vm, &fresh, &[10]).await;
        assert_eq!(told.0, 200, "{told:?}");
        assert_eq!(fleet.on_job(vm, Method::GET, &used).await, answered);
    }
    assert_eq!(fleet.ledger.count(), 3);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn chain() {
    let mut fleet = Fleet::start(4, 1).await;
    let tickets: Vec<String> = {
        let mut all = Vec::new();
        for _ in 0..3 {
            all.push(fleet.ticket(0).await);
        }
        all
    };
    let first = fleet.submit(0, &tickets[0], &[10]).await;
    for vm in 0..3 {
        fleet.vms[vm].stop(LONG).await;
        fleet.kill(vm);
        let left: Vec<usize> = (vm + 1..4).collect();
        all_know(&fleet, vm, &left).await;
    }
    assert_eq!(fleet.submit(3, &tickets[0], &[10]).await, first);
    for ticket in &tickets[1..] {
        let told = fleet.submit(3, ticket, &[10]).await;
        assert_eq!(told.0, 200, "{told:?}");
    }
    assert_eq!(fleet.ledger.count(), 3);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_at_once() {
    let fleet = Fleet::start(3, 1).await;
    let tickets = [fleet.ticket(0).await, fleet.ticket(1).await];
    tokio::join!(fleet.vms[0].stop(LONG), fleet.vms[1].stop(LONG));
    all_know(&fleet, 0, &[2]).await;
    all_know(&fleet, 1, &[2]).await;
    for ticket in &tickets {
        let told = fleet.submit(2, ticket, &[10]).await;
        assert_eq!(told.0, 200, "{told:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let mut fleet = Fleet::start(2, 1).await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    let answered = fleet.submit(0, &used, &[10]).await;
    fleet.net.stall(fleet.platform.addr(), true);
    fleet.vms[0].stop(LONG).await;
    fleet.kill(0);
    all_know(&fleet, 0, &[1]).await;
    assert_eq!(fleet.submit(1, &used, &[10]).await, answered);
    assert_eq!(fleet.submit(1, &fresh, &[10]).await.0, 200);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_vm() {
    let fleet = Fleet::start(1, 1).await;
    let stop = async {
        fleet.until_started("job-1", 2).await;
        fleet.vms[0].stop(LONG).await;
    };
    let (told, ()) = tokio::join!(fleet.submit(0, "job-1", &[500, 500]), stop);
    assert_eq!(told.0, 200, "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_successor() {
    // The successor of its own domain can't be reached any more.
    let fleet = Fleet::start_in(&["a", "a", "b"]).await;
    let ticket = fleet.ticket(0).await;
    fleet.net.pause("a/vm-1");
    fleet.vms[0].stop(LONG).await;
    let told = fleet.submit(2, &ticket, &[10]).await;
    assert_ne!(told.1["ran"], "no", "{told:?}");
    fleet.net.resume("a/vm-1");
    fleet
        .until(2, |s| s["peers"].as_array().unwrap().len() == 2)
        .await;
    let told = fleet.submit(1, &ticket, &[10]).await;
    assert_ne!(told.1["ran"], "no", "{told:?}");
    assert!(fleet.starts_of(&ticket) <= 1);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

/// Submits through whichever VM takes the job, as a balancer would.
async fn balanced(fleet: &Fleet, live: &[AtomicBool], key: &str) -> (u16, Value) {
    for round in 0..200 {
        for vm in (0..live.len()).filter(|vm| live[*vm].load(Ordering::SeqCst)) {
            let req = hyper::Request::post("/v1/jobs")
                .header("host", "vm")
                .header(entry::KEY_HEADER, key)
                .body(http_body_util::Full::new(job(&[30, 20], 5000).into()))
                .unwrap();
            let Ok(reply) = fleet.send(vm, req).await else {
                continue;
            };
            let told = common::read(reply);
            let again = told.1["ran"] == "no" && told.1["reason"] == "stopping";
            if !again {
                return told;
            }
        }
        tokio::time::sleep(Duration::from_millis(round.min(20))).await;
    }
    panic!("no VM took {key}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling() {
    let mut fleet = Fleet::start(6, 4).await;
    // Three serve, and three wait to replace them one after the other.
    let live: Vec<AtomicBool> = (0..6).map(|n| AtomicBool::new(n < 3)).collect();
    let done = AtomicUsize::new(0);
    let over = AtomicBool::new(false);
    let jobs = async {
        let mut n = 0;
        let mut all = Vec::new();
        while !over.load(Ordering::SeqCst) {
            let key = format!("job-{n}");
            let (fleet, live, done) = (&fleet, &live, &done);
            all.push(async move {
                let told = balanced(fleet, live, &key).await;
                assert_eq!(told.0, 200, "{key} {told:?}");
                done.fetch_add(1, Ordering::SeqCst);
            });
            n += 1;
            if all.len() == 8 {
                futures::future::join_all(all.drain(..)).await;
            }
        }
        futures::future::join_all(all).await;
    };
    let replace = async {
        for vm in 0..3 {
            live[vm + 3].store(true, Ordering::SeqCst);
            let before = done.load(Ordering::SeqCst);
            let wait = tokio::time::timeout(WAIT, async {
                while done.load(Ordering::SeqCst) < before + 20 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            wait.await.expect("jobs end");
            fleet.vms[vm].stop(LONG).await;
            live[vm].store(false, Ordering::SeqCst);
        }
        over.store(true, Ordering::SeqCst);
    };
    tokio::join!(jobs, replace);
    assert_eq!(fleet.ledger.double_starts(), 0);
    assert_eq!(fleet.ledger.count(), 2 * done.load(Ordering::SeqCst) as u64);
    for vm in 0..3 {
        fleet.kill(vm);
    }
}
