//! Open connections go silent for good, without being closed, while new ones
//! work.

mod common;

use std::time::Duration;

use common::{Fleet, TIMEOUT, job};
use entry::Config;
use serde_json::Value;

/// The age at which these tests drop idle connections.
const IDLE_AGE: Duration = Duration::from_millis(100);

fn short_idle_age(mut cfg: Config) -> Config {
    cfg.pool.idle_age = IDLE_AGE;
    cfg
}

/// Submits until the job completes, and returns the reply's body.
async fn complete_job(fleet: &Fleet, vm: usize, key: &str) -> Value {
    let reply = tokio::time::timeout(TIMEOUT, async {
        loop {
            let (status, body) = fleet.submit(vm, key, &[5]).await;
            if status == 200 {
                return body;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    reply.await.expect("the job did not complete in time")
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_minion() {
    let fleet = Fleet::start_with(1, 1, short_idle_age).await;
    for n in 0..5 {
        let before = fleet.submit(0, &format!("before-{n}"), &[20; 8]).await;
        assert_eq!(before.0, 200, "{before:?}");
        tokio::time::sleep(2 * IDLE_AGE).await;
        fleet.minions[0].silence();
        let after = fleet.submit(0, &format!("after-{n}"), &[20; 8]).await;
        assert_eq!(after.0, 200, "{after:?}");
    }
    assert_eq!(fleet.ledger.count(), 80);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_minion() {
    let fleet = Fleet::start(1, 1).await;
    let silence = async {
        fleet.until_started("lost", 2).await;
        fleet.net.silence(fleet.minions[0].addr());
    };
    let body = job(&[300, 300], 3000);
    let lost = fleet.post(0, "lost", &body);
    let (lost, ()) = tokio::join!(lost, silence);
    assert_eq!((lost.0, &lost.1["ran"]), (504, &"maybe".into()), "{lost:?}");
    assert_eq!(fleet.submit(0, "lost", &[300, 300]).await, lost);
    assert_eq!(fleet.submit(0, "next", &[10; 8]).await.0, 200);
    fleet.until(0, |s| s["services"][0]["held"] == 0).await;
    assert_eq!(fleet.starts_of("lost"), 2);
    assert_eq!(fleet.status(0).await["broken_slots"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn overdue_task() {
    // While a task on a silent connection is overdue, the minion's idle
    // connections are dropped, long before they reach their maximum age.
    let fleet = Fleet::start_with(1, 1, |mut cfg| {
        cfg.pool.idle_age = Duration::from_secs(60);
        cfg
    });
    let fleet = fleet.await;
    for n in 0..30 {
        let warm = fleet.submit(0, &format!("warm-{n}"), &[5; 8]).await;
        assert_eq!(warm.0, 200, "{warm:?}");
    }
    fleet.minions[0].silence();
    let after = async {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        fleet.submit(0, "after", &[5; 6]).await
    };
    let (lost, after) = tokio::join!(fleet.submit(0, "lost", &[5]), after);
    assert_eq!((lost.0, &lost.1["ran"]), (504, &"maybe".into()), "{lost:?}");
    assert_eq!(after.0, 200, "{after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_peer() {
    let fleet = Fleet::start(2, 1).await;
    for n in 0..3 {
        let tickets = [fleet.ticket(0).await, fleet.ticket(0).await];
        assert_eq!(fleet.submit(1, &tickets[0], &[5]).await.0, 200);
        fleet.net.silence(fleet.vms[0].peers());
        let reply = fleet.submit(1, &tickets[1], &[5]).await;
        assert_eq!(reply.0, 200, "{n}: {reply:?}");
    }
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_peer() {
    let fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let silence = async {
        fleet.until_started(&ticket, 1).await;
        fleet.net.silence(fleet.vms[0].peers());
    };
    let (reply, ()) = tokio::join!(fleet.submit(1, &ticket, &[1000]), silence);
    assert_eq!(reply.0, 200, "{reply:?}");
    assert_eq!(fleet.starts_of(&ticket), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_connections() {
    let fleet = Fleet::start(2, 1).await;
    for n in 0..3 {
        assert_eq!(fleet.submit(0, &format!("before-{n}"), &[5]).await.0, 200);
        fleet.net.silence(fleet.platform.addr());
        let key = format!("after-{n}");
        let reply = complete_job(&fleet, 0, &key).await;
        assert_eq!(fleet.submit(1, &key, &[5]).await.1, reply);
    }
    assert_eq!(fleet.ledger.count(), 6);
    assert_eq!(fleet.ledger.double_starts(), 0);
}
