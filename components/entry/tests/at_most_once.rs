//! A job that is submitted again starts only once, whatever has happened in the
//! meantime to its VM, the network or the log, and its caller is never told "not
//! run" if it ran.

mod common;

use std::time::Duration;

use common::{Fleet, TIMEOUT, config, domain};
use hyper::Method;
use kernel::Millis;
use logstore::{HttpPlatform, Platform, Stream};
use serde_json::Value;
use standins::Hops;
use wire::{Client, PoolLimits, TcpConnect};

const KEY_KINDS: [&str; 2] = ["bare", "ticket"];

/// Returns a ticket of a VM, or `kind` itself as a bare key.
async fn key_of(fleet: &Fleet, kind: &str, vm: usize) -> String {
    match kind {
        "ticket" => fleet.ticket(vm).await,
        _ => kind.to_owned(),
    }
}

/// Submits until the reply has the expected status, and returns its body.
async fn submit_until(
    fleet: &Fleet,
    vm: usize,
    key: &str,
    run_times: &[u64],
    expected: u16,
) -> Value {
    let reply = tokio::time::timeout(TIMEOUT, async {
        loop {
            let (status, body) = fleet.submit(vm, key, run_times).await;
            if status == expected {
                return body;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    reply
        .await
        .expect("no reply with the expected status in time")
}

/// Asserts that a job has started a number of tasks, and that none started twice.
fn assert_started_once(fleet: &Fleet, key: &str, tasks: usize) {
    assert_eq!(fleet.starts_of(key), tasks);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

/// Asserts that a reply says neither "not run" nor "complete".
fn assert_uncertain(reply: &(u16, Value)) {
    assert_ne!(reply.1["ran"], "no", "{reply:?}");
    assert_ne!(reply.1["outcome"], "complete", "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_domain() {
    let fleet = Fleet::start_in(&["a", "b", "c"]).await;
    for kind in KEY_KINDS {
        let key = key_of(&fleet, kind, 0).await;
        let tasks = [300, 100];
        let (one, two) = tokio::join!(fleet.submit(0, &key, &tasks), fleet.submit(1, &key, &tasks));
        assert_eq!(one.0, 200, "{one:?}");
        assert_eq!(one, two);
        assert_eq!(fleet.submit(2, &key, &tasks).await, one);
        assert_started_once(&fleet, &key, 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut fleet = Fleet::start(2, 1).await;
    let (bare, ticket) = ("bare".to_owned(), fleet.ticket(0).await);
    for key in [&bare, &ticket] {
        assert_eq!(fleet.submit(0, key, &[10]).await.0, 200);
    }
    let claims_next = fleet.status(0).await["claims_next"].clone();
    fleet.until(1, |s| s["claims_next"] == claims_next).await;
    fleet.kill(0);
    for key in [&bare, &ticket] {
        let reply = fleet.submit(1, key, &[10]).await;
        assert_eq!((reply.0, &reply.1["reason"]), (503, &"owner_away".into()));
        assert_uncertain(&reply);
    }
    fleet.unlist(0);
    for key in [&bare, &ticket] {
        let reply = submit_until(&fleet, 1, key, &[10], 502).await;
        assert_eq!(reply["reason"], "owner_gone");
        assert_eq!(reply["ran"], "maybe");
        assert_started_once(&fleet, key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_paused() {
    let fleet = Fleet::start(2, 1).await;
    for kind in KEY_KINDS {
        let key = key_of(&fleet, kind, 0).await;
        let again = async {
            fleet.until_started(&key, 1).await;
            let claims_next = fleet.status(0).await["claims_next"].clone();
            fleet.until(1, |s| s["claims_next"] == claims_next).await;
            fleet.net.pause("a/vm-0");
            assert_uncertain(&fleet.submit(1, &key, &[500]).await);
            fleet.net.resume("a/vm-0");
            submit_until(&fleet, 1, &key, &[500], 200).await
        };
        let (first, again) = tokio::join!(fleet.submit(0, &key, &[500]), again);
        // The pause delays the first reply; it must end before the job's deadline for
        // the job to complete.
        assert_eq!(first.0, 200, "{first:?}");
        assert_eq!(first.1, again);
        assert_started_once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_cut() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let ticket = fleet.ticket(0).await;
    let a = domain("a");
    fleet.net.cut(&a);
    assert_uncertain(&fleet.submit(1, &ticket, &[10]).await);
    let first = fleet.submit(0, &ticket, &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    assert_uncertain(&fleet.submit(1, &ticket, &[10]).await);
    fleet.net.heal(&a);
    let again = submit_until(&fleet, 1, &ticket, &[10], 200).await;
    assert_eq!(first.1, again);
    assert_started_once(&fleet, &ticket, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_cut() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    let first = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    assert_uncertain(&fleet.submit(1, "bare", &[10]).await);
    fleet.net.heal(&b);
    let again = submit_until(&fleet, 1, "bare", &[10], 200).await;
    assert_eq!(first.1, again);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_claim() {
    let mut fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    assert_eq!(fleet.submit(0, "bare", &[10]).await.0, 200);
    fleet.platform.down(true);
    fleet.kill(0);
    fleet.unlist(0);
    fleet.net.heal(&b);
    fleet
        .until(1, |s| s["peers"][0]["belief"] != "suspect")
        .await;
    assert_uncertain(&fleet.submit(1, "bare", &[10]).await);
    fleet.platform.down(false);
    let reply = submit_until(&fleet, 1, "bare", &[10], 502).await;
    assert_eq!(reply["reason"], "owner_gone");
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    let fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let known = async {
        fleet.until_started("known", 1).await;
        let claims_next = fleet.status(0).await["claims_next"].clone();
        fleet.until(1, |s| s["claims_next"] == claims_next).await;
        fleet.platform.down(true);
        fleet.until(1, |s| s["log"] == "away").await;
        fleet.submit(1, "known", &[1500]).await
    };
    let (first, again) = tokio::join!(fleet.submit(0, "known", &[1500]), known);
    assert_eq!(first.0, 200, "{first:?}");
    assert_eq!(first, again);
    fleet.until(0, |s| s["log"] == "away").await;
    let reply = fleet.submit(0, "fresh", &[10]).await;
    assert_eq!((reply.0, &reply.1["ran"]), (503, &"no".into()), "{reply:?}");
    assert_eq!(reply.1["reason"], "log_away");
    assert_eq!(fleet.submit(1, &ticket, &[10]).await.0, 200);
    fleet.platform.down(false);
    submit_until(&fleet, 1, "fresh", &[10], 200).await;
    assert_started_once(&fleet, "known", 1);
    assert_started_once(&fleet, "fresh", 1);
    assert_started_once(&fleet, &ticket, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answers() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.lose_answers(true);
    for n in 0..5 {
        let key = format!("job-{n}");
        let reply = fleet.submit(n % 2, &key, &[10]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
        assert_eq!(fleet.submit((n + 1) % 2, &key, &[10]).await, reply);
        assert_started_once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_claim() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.slow(Duration::from_millis(1500));
    let reply = fleet.submit(0, "bare", &[10]).await;
    assert_eq!((reply.0, &reply.1["ran"]), (503, &"no".into()), "{reply:?}");
    assert_eq!(fleet.starts_of("bare"), 0);
    fleet.platform.slow(Duration::ZERO);
    let again = submit_until(&fleet, 1, "bare", &[10], 200).await;
    assert_eq!(fleet.submit(0, "bare", &[10]).await.1, again);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_claim() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.slow(Duration::from_millis(300));
    let cancel = async {
        fleet.until(0, |s| s["running"] == 1).await;
        fleet.job_request(0, Method::DELETE, "bare").await
    };
    let (reply, cancelled) = tokio::join!(fleet.submit(0, "bare", &[10]), cancel);
    assert_eq!((reply.0, &reply.1["ran"]), (409, &"no".into()), "{reply:?}");
    assert_eq!(reply, cancelled);
    fleet.platform.slow(Duration::ZERO);
    submit_until(&fleet, 1, "bare", &[10], 200).await;
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn trimmed_log() {
    let mut fleet = Fleet::start(2, 1).await;
    let mut first = Vec::new();
    for key in ["one", "two"] {
        first.push(fleet.submit(0, key, &[10]).await);
    }
    fleet.platform.trim(0);
    let cfg = config(2, fleet.platform.addr());
    fleet.add_vm(cfg).await;
    for (key, first) in ["one", "two"].iter().zip(first) {
        let again = submit_until(&fleet, 2, key, &[10], 200).await;
        assert_eq!(first.1, again);
        assert_started_once(&fleet, key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_claims() {
    // A new VM can't learn of the claims that were trimmed from the log, because
    // the only VM that knows them is paused.
    let mut fleet = Fleet::start(1, 1).await;
    let first = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    fleet.platform.trim(0);
    fleet.net.pause("a/vm-0");
    let cfg = config(1, fleet.platform.addr());
    fleet.add_vm(cfg).await;
    fleet
        .until(1, |s| !s["peers"].as_array().unwrap().is_empty())
        .await;
    for _ in 0..5 {
        assert_uncertain(&fleet.submit(1, "bare", &[10]).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.net.resume("a/vm-0");
    assert_eq!(submit_until(&fleet, 1, "bare", &[10], 200).await, first.1);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn forgotten_answer() {
    let fleet = Fleet::start_with(1, 1, |mut cfg| {
        cfg.jobs.kept_bytes = 64;
        cfg
    });
    let fleet = fleet.await;
    for kind in KEY_KINDS {
        let key = key_of(&fleet, kind, 0).await;
        assert_eq!(fleet.submit(0, &key, &[10]).await.0, 200);
        let reply = fleet.submit(0, &key, &[10]).await;
        assert_eq!((reply.0, &reply.1["reason"]), (410, &"forgotten".into()));
        assert_uncertain(&reply);
        assert_started_once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resubmitted_while_stopping() {
    let fleet = Fleet::start_with(1, 1, |mut cfg| {
        cfg.jobs.kept_bytes = 64;
        cfg
    });
    let fleet = fleet.await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    assert_eq!(fleet.submit(0, &used, &[10]).await.0, 200);
    assert_eq!(fleet.submit(0, "bare", &[10]).await.0, 200);
    let stop = async {
        fleet.until_started("long", 1).await;
        fleet.vms[0].stop(Millis(5000)).await;
    };
    let requests = async {
        fleet.until(0, |s| s["stage"] == "stopping").await;
        assert_uncertain(&fleet.submit(0, &used, &[10]).await);
        assert_uncertain(&fleet.submit(0, "bare", &[10]).await);
        let reply = fleet.submit(0, &fresh, &[10]).await;
        assert_eq!((reply.0, &reply.1["ran"]), (503, &"no".into()), "{reply:?}");
    };
    let (long, (), ()) = tokio::join!(fleet.submit(0, "long", &[1000]), stop, requests);
    assert_eq!(long.0, 200, "{long:?}");
    assert_started_once(&fleet, &used, 1);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_elsewhere() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    assert_eq!(fleet.submit(0, "bare", &[10]).await.0, 200);
    // The VM has other reasons to refuse the job: a deadline that is too short,
    // then an unknown service. But it has not read the claim, so it can't know that
    // the job did not run.
    let short = common::job(&[10], 1);
    assert_uncertain(&fleet.post(1, "bare", &short).await);
    let unknown = short.replace("quote", "none");
    assert_uncertain(&fleet.post(1, "bare", &unknown).await);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_elsewhere() {
    // Guards against a "not run" for a job that another VM has received but not
    // started: that VM starts it as soon as its claim is read back.
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.slow(Duration::from_millis(400));
    let other = async {
        fleet.until(0, |s| s["running"] == 1).await;
        fleet.post(1, "bare", &common::job(&[10], 50)).await
    };
    let (first, other) = tokio::join!(fleet.submit(0, "bare", &[10]), other);
    assert_uncertain(&other);
    assert_eq!(other.1["reason"], "deadline", "{other:?}");
    assert_eq!(first.0, 200, "{first:?}");
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_submission() {
    // Guards against a "not run" that rests on statements older than the
    // submission: a near peer starts the job after it was asked, while the VM
    // still waits for a distant peer's statement on an earlier submission.
    let fleet = Fleet::start_in(&["b", "b", "c"]).await;
    for (n, vm) in [(1, "b/vm-1"), (2, "c/vm-2")] {
        fleet.net.partition(vm, "platform", true);
        fleet.until(n, |s| s["log"] == "away").await;
    }
    fleet.net.delay(Hops {
        domains: Duration::from_millis(60),
        ..Hops::default()
    });
    let later = async {
        fleet.until(1, |s| s["running"] == 1).await;
        let ran = fleet.submit(0, "bare", &[10]).await;
        assert_eq!(ran.0, 200, "{ran:?}");
        fleet.submit(1, "bare", &[10]).await
    };
    let (_, later) = tokio::join!(fleet.submit(1, "bare", &[10]), later);
    assert_uncertain(&later);
    assert_started_once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn batched_claims() {
    let fleet = Fleet::start(2, 1).await;
    let jobs = (0..40).map(|n| {
        let fleet = &fleet;
        async move {
            let key = format!("job-{n}");
            let (one, two) = tokio::join!(fleet.submit(0, &key, &[5]), fleet.submit(1, &key, &[5]));
            assert_eq!(one.0, 200, "{one:?}");
            assert_eq!(one, two);
        }
    });
    futures::future::join_all(jobs).await;
    assert_eq!(fleet.ledger.count(), 40);
    assert_eq!(fleet.ledger.double_starts(), 0);
    let platform = HttpPlatform::new(
        Client::new(TcpConnect, PoolLimits::default()),
        fleet.platform.addr(),
        Millis(2000),
    );
    let chunk = platform.read(Stream::Claims, kernel::Offset(0), Millis(0));
    // One append claims several keys.
    assert!(chunk.await.unwrap().records.len() < 40);
}
