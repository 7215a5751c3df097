//! Failure domains that are cut off from each other and from the platform keep
//! serving the jobs that they can.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, TIMEOUT, config, config_in, domain};
use serde_json::Value;
use sheet::{Base, Sheet};

/// Submits until the reply has the expected status, and returns its body.
async fn submit_until(fleet: &Fleet, vm: usize, key: &str, expected: u16) -> Value {
    let reply = tokio::time::timeout(TIMEOUT, async {
        loop {
            let (status, body) = fleet.submit(vm, key, &[5]).await;
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

#[tokio::test(flavor = "multi_thread")]
async fn all_domains_cut() {
    let fleet = Fleet::start_in(&["a", "b", "c"]).await;
    let domains = ["a", "b", "c"].map(domain);
    let mut tickets = Vec::new();
    for vm in 0..3 {
        tickets.push(fleet.ticket(vm).await);
    }
    domains.iter().for_each(|d| fleet.net.cut(d));
    for vm in 0..3 {
        let own = fleet.submit(vm, &tickets[vm], &[5, 5]).await;
        assert_eq!(own.0, 200, "{own:?}");
        let other = fleet.submit(vm, &tickets[(vm + 1) % 3], &[5, 5]).await;
        assert_eq!(other.1["reason"], "owner_away", "{other:?}");
        let bare = fleet.submit(vm, "bare", &[5]).await;
        assert_eq!(bare.0, 503, "{bare:?}");
        assert_ne!(bare.1["outcome"], "complete", "{bare:?}");
        assert_eq!(fleet.status(vm).await["ready"], true);
    }
    assert_eq!(fleet.starts_of("bare"), 0);
    domains.iter().for_each(|d| fleet.net.heal(d));
    let reply = submit_until(&fleet, 0, "bare", 200).await;
    for vm in 0..3 {
        assert_eq!(submit_until(&fleet, vm, "bare", 200).await, reply);
        submit_until(&fleet, vm, &tickets[(vm + 1) % 3], 200).await;
    }
    assert_eq!(fleet.ledger.count(), 7);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn started_while_cut() {
    let mut fleet = Fleet::start_in(&["a", "b"]).await;
    let b = domain("b");
    fleet.net.cut(&b);
    let mut cfg = config_in("b", 2, fleet.platform.addr());
    cfg.seeds = vec![fleet.vms[1].peers()];
    fleet.add_vm(cfg).await;
    fleet.until(2, |s| s["ready"] == true).await;
    let ticket = fleet.ticket(2).await;
    assert_eq!(fleet.submit(2, &ticket, &[5]).await.0, 200);
    let bare = fleet.submit(2, "bare", &[5]).await;
    assert_eq!((bare.0, &bare.1["outcome"]), (503, &"unknown".into()));
    fleet.net.heal(&b);
    submit_until(&fleet, 2, "bare", 200).await;
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_away() {
    let fleet = Fleet::start(2, 1).await;
    fleet.net.stall(fleet.platform.addr(), true);
    fleet.until(0, |s| s["log"] == "away").await;
    fleet.until(1, |s| s["log"] == "away").await;
    let end = Instant::now() + Duration::from_secs(3);
    let mut jobs = 0;
    while Instant::now() < end {
        let ticket = fleet.ticket(jobs % 2).await;
        let reply = fleet.submit((jobs + 1) % 2, &ticket, &[5]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
        jobs += 1;
    }
    let bare = fleet.submit(0, "bare", &[5]).await;
    assert_eq!((bare.0, &bare.1["ran"]), (503, &"no".into()), "{bare:?}");
    fleet.net.stall(fleet.platform.addr(), false);
    submit_until(&fleet, 0, "bare", 200).await;
    assert_eq!(fleet.ledger.count(), jobs as u64 + 1);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_through_peer() {
    let fleet = Fleet::start_in(&["a", "a", "b"]).await;
    fleet.net.pause("a/vm-1");
    fleet
        .publish(&Sheet::open(), Base::At(kernel::Offset(0)))
        .await;
    fleet.until(0, |s| s["sheet"] == 1).await;
    fleet.net.stall(fleet.platform.addr(), true);
    fleet.net.resume("a/vm-1");
    fleet.until(1, |s| s["sheet"] == 1).await;
    assert_eq!(fleet.status(1).await["sheet_faults"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_minion() {
    let mut fleet = Fleet::start_in(&["a", "a", "b"]).await;
    // This VM reaches its peers but not the platform.
    let mut cfg = config_in("a", 3, fleet.platform.addr());
    cfg.platform = "127.0.0.1:9".parse().unwrap();
    cfg.seeds = vec![fleet.vms[0].peers()];
    fleet.add_vm(cfg).await;
    fleet
        .until(3, |s| {
            s["ready"] == true && s["minions"].as_array().unwrap().len() == 3
        })
        .await;
    let leaving = fleet.minions[0].clone();
    leaving.leave();
    let row = leaving.row();
    fleet.platform.change(|list| {
        list.minions.retain(|m| m.id != row.id);
        list.minions.push(row);
    });
    let end = Instant::now() + Duration::from_secs(4);
    let mut jobs = 0;
    while Instant::now() < end {
        for vm in [0, 1, 2, 3] {
            let ticket = fleet.ticket(vm).await;
            let reply = fleet.submit(vm, &ticket, &[5; 4]).await;
            assert_eq!(reply.0, 200, "{reply:?}");
            jobs += 1;
        }
    }
    assert!(jobs > 0);
    assert_eq!(fleet.ledger.late_starts(Duration::from_secs(2)), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_id() {
    let mut fleet = Fleet::start(2, 1).await;
    let (used, fresh) = (fleet.ticket(0).await, fleet.ticket(0).await);
    assert_eq!(fleet.submit(0, &used, &[5]).await.0, 200);
    assert_eq!(fleet.submit(0, "bare", &[5]).await.0, 200);
    fleet.kill(0);
    let cfg = config(0, fleet.platform.addr());
    fleet.add_vm(cfg).await;
    for vm in [1, 2] {
        for key in [used.as_str(), &fresh, "bare"] {
            let reply = submit_until(&fleet, vm, key, 502).await;
            assert_eq!(reply["reason"], "owner_gone", "{key} {reply}");
            assert_eq!(reply["ran"], "maybe", "{reply}");
        }
    }
    let next = fleet.ticket(2).await;
    assert_eq!(fleet.submit(1, &next, &[5]).await.0, 200);
    assert_eq!(fleet.ledger.count(), 3);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_address() {
    // Another VM starts at the address of a killed one.
    let mut fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let addr = fleet.vms[0].peers();
    fleet.kill(0);
    fleet.unlist(0);
    let mut cfg = config(7, fleet.platform.addr());
    cfg.peers = addr;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.add_vm(cfg).await;
    let reply = fleet.submit(1, &ticket, &[5]).await;
    assert_ne!(reply.1["ran"], "no", "{reply:?}");
    submit_until(&fleet, 1, &ticket, 502).await;
    assert_eq!(fleet.starts_of(&ticket), 0);
}
