//! A planned stop interrupts no job, and the stopped VM's tickets and answers stay
//! available through every other VM.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::{Fleet, TIMEOUT, job};
use hyper::Method;
use kernel::Millis;
use serde_json::Value;

const STOP_TIMEOUT: Millis = Millis(10_000);

/// Waits until all other VMs know that a VM is gone.
async fn until_gone(fleet: &Fleet, gone: usize, others: &[usize]) {
    let id = fleet.vms[gone].id().to_string();
    for &vm in others {
        let known = |s: &Value| {
            let peers = s["peers"].as_array().unwrap();
            let same_vm = |p: &&Value| p["vm"] == id.as_str();
            peers
                .iter()
                .find(same_vm)
                .is_none_or(|p| p["belief"] == "gone")
        };
        fleet.until(vm, known).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_in_flight() {
    let fleet = Fleet::start(2, 2).await;
    let ticket = fleet.ticket(0).await;
    let stop = async {
        fleet.until_started("job-1", 3).await;
        fleet.vms[0].stop(STOP_TIMEOUT).await;
    };
    let requests = async {
        fleet.until(0, |s| s["stage"] == "stopping").await;
        let ready = fleet.request(0, Method::GET, "/ready", None, "").await;
        assert_eq!(ready.status, 503);
        assert_eq!(ready.headers["connection"], "close");
        // Only this VM may start the ticket's job, and it starts no more jobs.
        let reply = fleet.submit(0, &ticket, &[10]).await;
        assert_eq!((reply.0, &reply.1["ran"]), (503, &"no".into()), "{reply:?}");
        assert_eq!(reply.1["reason"], "stopping");
        assert_eq!(fleet.starts_of(&ticket), 0);
        // A job whose key has no owner is passed to the other VM.
        let reply = fleet.submit(0, "job-2", &[10]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
        assert_eq!(fleet.submit(1, "job-2", &[10]).await, reply);
        assert_eq!(fleet.starts_of("job-2"), 1);
    };
    let here = fleet.submit(0, "job-1", &[1000, 800, 900]);
    let there = fleet.submit(1, "job-1", &[1000, 800, 900]);
    let (here, there, (), ()) = tokio::join!(here, there, stop, requests);
    assert_eq!(here.0, 200, "{here:?}");
    assert_eq!(here, there);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_caller() {
    // The VM that the caller waits at stops while another VM runs the job.
    let mut fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let addr = fleet.vms[1].callers();
    let req = hyper::Request::post("/v1/jobs")
        .header("host", "vm")
        .header(entry::KEY_HEADER, &ticket)
        .body(http_body_util::Full::new(job(&[4000], 8000).into()))
        .unwrap();
    let client = fleet.client.clone();
    let caller = tokio::spawn(async move { client.call(addr, req, TIMEOUT).await });
    fleet.until_started(&ticket, 1).await;
    fleet.vms[1].stop(STOP_TIMEOUT).await;
    fleet.kill(1);
    let reply = common::read(caller.await.unwrap().unwrap());
    assert_eq!(reply.0, 200, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_timeout() {
    let mut fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let stop = async {
        fleet.until_started(&ticket, 1).await;
        fleet.vms[1].stop(Millis(200)).await;
    };
    let body = job(&[3000], 8000);
    let (reply, ()) = tokio::join!(fleet.post(1, &ticket, &body), stop);
    assert_eq!((reply.0, &reply.1["reason"]), (503, &"owner_away".into()));
    fleet.kill(1);
    let reply = fleet.post(0, &ticket, &body).await;
    assert_eq!(reply.0, 200, "{reply:?}");
    assert_eq!(fleet.ledger.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_owner() {
    let mut fleet = Fleet::start_in(&["a", "a", "b"]).await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    let answered = fleet.submit(0, &used, &[10]).await;
    let bare = fleet.submit(0, "bare", &[10]).await;
    fleet.vms[0].stop(STOP_TIMEOUT).await;
    fleet.kill(0);
    until_gone(&fleet, 0, &[1, 2]).await;
    for vm in [1, 2] {
        assert_eq!(fleet.submit(vm, &used, &[10]).await, answered);
        assert_eq!(fleet.submit(vm, "bare", &[10]).await, bare);
        let reply = fleet.submit(vm, &fresh, &[10]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
        assert_eq!(fleet.job_request(vm, Method::GET, &used).await, answered);
    }
    assert_eq!(fleet.ledger.count(), 3);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn successive_stops() {
    let mut fleet = Fleet::start(4, 1).await;
    let tickets: Vec<String> = {
        let mut minted = Vec::new();
        for _ in 0..3 {
            minted.push(fleet.ticket(0).await);
        }
        minted
    };
    let first = fleet.submit(0, &tickets[0], &[10]).await;
    for vm in 0..3 {
        fleet.vms[vm].stop(STOP_TIMEOUT).await;
        fleet.kill(vm);
        let remaining: Vec<usize> = (vm + 1..4).collect();
        until_gone(&fleet, vm, &remaining).await;
    }
    assert_eq!(fleet.submit(3, &tickets[0], &[10]).await, first);
    for ticket in &tickets[1..] {
        let reply = fleet.submit(3, ticket, &[10]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
    }
    assert_eq!(fleet.ledger.count(), 3);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_stops() {
    let fleet = Fleet::start(3, 1).await;
    let tickets = [fleet.ticket(0).await, fleet.ticket(1).await];
    tokio::join!(
        fleet.vms[0].stop(STOP_TIMEOUT),
        fleet.vms[1].stop(STOP_TIMEOUT)
    );
    until_gone(&fleet, 0, &[2]).await;
    until_gone(&fleet, 1, &[2]).await;
    for ticket in &tickets {
        let reply = fleet.submit(2, ticket, &[10]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let mut fleet = Fleet::start(2, 1).await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    let answered = fleet.submit(0, &used, &[10]).await;
    fleet.net.stall(fleet.platform.addr(), true);
    fleet.vms[0].stop(STOP_TIMEOUT).await;
    fleet.kill(0);
    until_gone(&fleet, 0, &[1]).await;
    assert_eq!(fleet.submit(1, &used, &[10]).await, answered);
    assert_eq!(fleet.submit(1, &fresh, &[10]).await.0, 200);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_vm() {
    let fleet = Fleet::start(1, 1).await;
    let stop = async {
        fleet.until_started("job-1", 2).await;
        fleet.vms[0].stop(STOP_TIMEOUT).await;
    };
    let (reply, ()) = tokio::join!(fleet.submit(0, "job-1", &[500, 500]), stop);
    assert_eq!(reply.0, 200, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_successor() {
    // The successor, which is in the stopping VM's failure domain, is unreachable.
    let fleet = Fleet::start_in(&["a", "a", "b"]).await;
    let ticket = fleet.ticket(0).await;
    fleet.net.pause("a/vm-1");
    fleet.vms[0].stop(STOP_TIMEOUT).await;
    let reply = fleet.submit(2, &ticket, &[10]).await;
    assert_ne!(reply.1["ran"], "no", "{reply:?}");
    fleet.net.resume("a/vm-1");
    fleet
        .until(2, |s| s["peers"].as_array().unwrap().len() == 2)
        .await;
    let reply = fleet.submit(1, &ticket, &[10]).await;
    assert_ne!(reply.1["ran"], "no", "{reply:?}");
    assert!(fleet.starts_of(&ticket) <= 1);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

/// Submits to one live VM after the other until one accepts the job, as a load
/// balancer would.
async fn submit_balanced(fleet: &Fleet, live: &[AtomicBool], key: &str) -> (u16, Value) {
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
            let reply = common::read(reply);
            let retry = reply.1["ran"] == "no" && reply.1["reason"] == "stopping";
            if !retry {
                return reply;
            }
        }
        tokio::time::sleep(Duration::from_millis(round.min(20))).await;
    }
    panic!("no VM accepted {key}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    let mut fleet = Fleet::start(6, 4).await;
    // The first three VMs serve, and the other three replace them one by one.
    let live: Vec<AtomicBool> = (0..6).map(|n| AtomicBool::new(n < 3)).collect();
    let done = AtomicUsize::new(0);
    let finished = AtomicBool::new(false);
    let jobs = async {
        let mut n = 0;
        let mut batch = Vec::new();
        while !finished.load(Ordering::SeqCst) {
            let key = format!("job-{n}");
            let (fleet, live, done) = (&fleet, &live, &done);
            batch.push(async move {
                let reply = submit_balanced(fleet, live, &key).await;
                assert_eq!(reply.0, 200, "{key} {reply:?}");
                done.fetch_add(1, Ordering::SeqCst);
            });
            n += 1;
            if batch.len() == 8 {
                futures::future::join_all(batch.drain(..)).await;
            }
        }
        futures::future::join_all(batch).await;
    };
    let replace = async {
        for vm in 0..3 {
            live[vm + 3].store(true, Ordering::SeqCst);
            let before = done.load(Ordering::SeqCst);
            let wait = tokio::time::timeout(TIMEOUT, async {
                while done.load(Ordering::SeqCst) < before + 20 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            wait.await.expect("too few jobs ended in time");
            fleet.vms[vm].stop(STOP_TIMEOUT).await;
            live[vm].store(false, Ordering::SeqCst);
        }
        finished.store(true, Ordering::SeqCst);
    };
    tokio::join!(jobs, replace);
    assert_eq!(fleet.ledger.double_starts(), 0);
    assert_eq!(fleet.ledger.count(), 2 * done.load(Ordering::SeqCst) as u64);
    for vm in 0..3 {
        fleet.kill(vm);
    }
}
