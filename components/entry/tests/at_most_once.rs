//! A job that is submitted again starts once, whatever has happened to its VM,
//! the network or the log meanwhile, and is never told "not run" if it ran.

mod common;

use std::time::Duration;

use common::{Fleet, WAIT, config, domain};
use hyper::Method;
use kernel::Millis;
use logstore::{HttpPlatform, Platform, Stream};
use serde_json::Value;
use wire::{Client, PoolLimits, TcpConnect};

const KEYS: [&str; 2] = ["bare", "ticket"];

async fn key_at(fleet: &Fleet, kind: &str, vm: usize) -> String {
    match kind {
        "ticket" => fleet.ticket(vm).await,
        _ => kind.to_owned(),
    }
}

/// Submits until the answer is as wanted.
async fn until_told(fleet: &Fleet, vm: usize, key: &str, tasks: &[u64], want: u16) -> Value {
    let told = tokio::time::timeout(WAIT, async {
        loop {
            let (status, body) = fleet.submit(vm, key, tasks).await;
            if status == want {
                return body;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    told.await.expect("the answer comes")
}

fn once(fleet: &Fleet, key: &str, tasks: usize) {
    assert_eq!(fleet.starts_of(key), tasks);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

fn unsure(told: &(u16, Value)) {
    assert_ne!(told.1["ran"], "no", "{told:?}");
    assert_ne!(told.1["outcome"], "complete", "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_domain() {
    let fleet = Fleet::start_in(&["a", "b", "c"]).await;
    for kind in KEYS {
        let key = key_at(&fleet, kind, 0).await;
        let tasks = [300, 100];
        let (one, two) = tokio::join!(fleet.submit(0, &key, &tasks), fleet.submit(1, &key, &tasks));
        assert_eq!(one.0, 200, "{one:?}");
        assert_eq!(one, two);
        assert_eq!(fleet.submit(2, &key, &tasks).await, one);
        once(&fleet, &key, 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut fleet = Fleet::start(2, 1).await;
    let (bare, ticket) = ("bare".to_owned(), fleet.ticket(0).await);
    for key in [&bare, &ticket] {
        assert_eq!(fleet.submit(0, key, &[10]).await.0, 200);
    }
    let read = fleet.status(0).await["claims_next"].clone();
    fleet.until(1, |s| s["claims_next"] == read).await;
    fleet.kill(0);
    for key in [&bare, &ticket] {
        let told = fleet.submit(1, key, &[10]).await;
        assert_eq!((told.0, &told.1["reason"]), (503, &"owner_away".into()));
        unsure(&told);
    }
    fleet.unlist(0);
    for key in [&bare, &ticket] {
        let told = until_told(&fleet, 1, key, &[10], 502).await;
        assert_eq!(told["reason"], "owner_gone");
        assert_eq!(told["ran"], "maybe");
        once(&fleet, key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_paused() {
    let fleet = Fleet::start(2, 1).await;
    for kind in KEYS {
        let key = key_at(&fleet, kind, 0).await;
        let again = async {
            fleet.until_started(&key, 1).await;
            let read = fleet.status(0).await["claims_next"].clone();
            fleet.until(1, |s| s["claims_next"] == read).await;
            fleet.net.pause("a/vm-0");
            unsure(&fleet.submit(1, &key, &[500]).await);
            fleet.net.resume("a/vm-0");
            until_told(&fleet, 1, &key, &[500], 200).await
        };
        let (first, again) = tokio::join!(fleet.submit(0, &key, &[500]), again);
        // The pause may have outlasted the deadline, but not the answer's.
        assert_eq!(first.0, 200, "{first:?}");
        assert_eq!(first.1, again);
        once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_cut() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let ticket = fleet.ticket(0).await;
    let a = domain("a");
    fleet.net.cut(&a);
    unsure(&fleet.submit(1, &ticket, &[10]).await);
    let first = fleet.submit(0, &ticket, &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    unsure(&fleet.submit(1, &ticket, &[10]).await);
    fleet.net.heal(&a);
    let again = until_told(&fleet, 1, &ticket, &[10], 200).await;
    assert_eq!(first.1, again);
    once(&fleet, &ticket, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_cut() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    let first = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    unsure(&fleet.submit(1, "bare", &[10]).await);
    fleet.net.heal(&b);
    let again = until_told(&fleet, 1, "bare", &[10], 200).await;
    assert_eq!(first.1, again);
    once(&fleet, "bare", 1);
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
    unsure(&fleet.submit(1, "bare", &[10]).await);
    fleet.platform.down(false);
    let told = until_told(&fleet, 1, "bare", &[10], 502).await;
    assert_eq!(told["reason"], "owner_gone");
    once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    let fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let known = async {
        fleet.until_started("known", 1).await;
        let read = fleet.status(0).await["claims_next"].clone();
        fleet.until(1, |s| s["claims_next"] == read).await;
        fleet.platform.down(true);
        fleet.until(1, |s| s["log"] == "away").await;
        fleet.submit(1, "known", &[1500]).await
    };
    let (first, again) = tokio::join!(fleet.submit(0, "known", &[1500]), known);
    assert_eq!(first.0, 200, "{first:?}");
    assert_eq!(first, again);
    fleet.until(0, |s| s["log"] == "away").await;
    let told = fleet.submit(0, "fresh", &[10]).await;
    assert_eq!((told.0, &told.1["ran"]), (503, &"no".into()), "{told:?}");
    assert_eq!(told.1["reason"], "log_away");
    assert_eq!(fleet.submit(1, &ticket, &[10]).await.0, 200);
    fleet.platform.down(false);
    until_told(&fleet, 1, "fresh", &[10], 200).await;
    once(&fleet, "known", 1);
    once(&fleet, "fresh", 1);
    once(&fleet, &ticket, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.lose_answers(true);
    for n in 0..5 {
        let key = format!("job-{n}");
        let told = fleet.submit(n % 2, &key, &[10]).await;
        assert_eq!(told.0, 200, "{told:?}");
        assert_eq!(fleet.submit((n + 1) % 2, &key, &[10]).await, told);
        once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_claim() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.slow(Duration::from_millis(1500));
    let told = fleet.submit(0, "bare", &[10]).await;
    assert_eq!((told.0, &told.1["ran"]), (503, &"no".into()), "{told:?}");
    assert_eq!(fleet.starts_of("bare"), 0);
    fleet.platform.slow(Duration::ZERO);
    let again = until_told(&fleet, 1, "bare", &[10], 200).await;
    assert_eq!(fleet.submit(0, "bare", &[10]).await.1, again);
    once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_claim() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.slow(Duration::from_millis(300));
    let cancel = async {
        fleet.until(0, |s| s["running"] == 1).await;
        fleet.on_job(0, Method::DELETE, "bare").await
    };
    let (told, cancelled) = tokio::join!(fleet.submit(0, "bare", &[10]), cancel);
    assert_eq!((told.0, &told.1["ran"]), (409, &"no".into()), "{told:?}");
    assert_eq!(told, cancelled);
    fleet.platform.slow(Duration::ZERO);
    until_told(&fleet, 1, "bare", &[10], 200).await;
    once(&fleet, "bare", 1);
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
        let again = until_told(&fleet, 2, key, &[10], 200).await;
        assert_eq!(first.1, again);
        once(&fleet, key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_claims() {
    // Nobody can tell a new VM of the claims that the log has dropped.
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
        unsure(&fleet.submit(1, "bare", &[10]).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.net.resume("a/vm-0");
    assert_eq!(until_told(&fleet, 1, "bare", &[10], 200).await, first.1);
    once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn forgotten_answer() {
    let fleet = Fleet::start_with(1, 1, |mut cfg| {
        cfg.jobs.kept_bytes = 64;
        cfg
    });
    let fleet = fleet.await;
    for kind in KEYS {
        let key = key_at(&fleet, kind, 0).await;
        assert_eq!(fleet.submit(0, &key, &[10]).await.0, 200);
        let told = fleet.submit(0, &key, &[10]).await;
        assert_eq!((told.0, &told.1["reason"]), (410, &"forgotten".into()));
        unsure(&told);
        once(&fleet, &key, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn used_while_stopping() {
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
    let asked = async {
        fleet.until(0, |s| s["stage"] == "stopping").await;
        unsure(&fleet.submit(0, &used, &[10]).await);
        unsure(&fleet.submit(0, "bare", &[10]).await);
        let told = fleet.submit(0, &fresh, &[10]).await;
        assert_eq!((told.0, &told.1["ran"]), (503, &"no".into()), "{told:?}");
    };
    let (long, (), ()) = tokio::join!(fleet.submit(0, "long", &[1000]), stop, asked);
    assert_eq!(long.0, 200, "{long:?}");
    once(&fleet, &used, 1);
    once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_elsewhere() {
    let fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    assert_eq!(fleet.submit(0, "bare", &[10]).await.0, 200);
    // Whatever else speaks against the job, a VM that has not read the claim
    // can't know that it did not run.
    let many = common::job(&[10], 1);
    unsure(&fleet.post(1, "bare", &many).await);
    let none = many.replace("quote", "none");
    unsure(&fleet.post(1, "bare", &none).await);
    once(&fleet, "bare", 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_read_once() {
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
    // Many keys go with one append.
    assert!(chunk.await.unwrap().records.len() < 40);
}
