//! The outcome that a caller receives agrees with what the minions ran, and no
//! slot is lost.

mod common;

use std::time::Duration;

use common::{Fleet, job};
use hyper::Method;
use kernel::Millis;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Waits until no slot is held at the VM, none was released twice and no task
/// runs at the minions, and asserts that no task started twice.
async fn until_idle(fleet: &Fleet) {
    fleet
        .until(0, |s| {
            let services = s["services"].as_array().unwrap();
            let idle = |s: &serde_json::Value| s["held"] == 0 && s["waiting"] == 0;
            s["broken_slots"] == 0 && s["running"] == 0 && services.iter().all(idle)
        })
        .await;
    let idle = async {
        while fleet.minions.iter().any(|m| m.running() > 0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let idle = tokio::time::timeout(common::TIMEOUT, idle).await;
    idle.expect("the minions were not idle in time");
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connection() {
    let fleet = Fleet::start(1, 3).await;
    fleet.net.refuse(fleet.minions[0].addr(), true);
    fleet.minions[1].kill();
    for n in 0..10 {
        let reply = fleet.submit(0, &format!("job-{n}"), &[5, 5, 5]).await;
        assert_eq!(reply.0, 200, "{reply:?}");
    }
    let starts = fleet.ledger.starts();
    assert!(starts.iter().all(|s| s.minion.as_str() == "a/m-2"));
    assert_eq!(starts.len(), 30);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn overfull_minion() {
    // The VMs don't know of each other's tasks, so together they send the minion
    // more than it has slots for.
    let fleet = Fleet::start(2, 1).await;
    let one = fleet.submit(0, "job-1", &[50; 40]);
    let two = fleet.submit(1, "job-2", &[50; 40]);
    let (one, two) = tokio::join!(one, two);
    assert_eq!((one.0, two.0), (200, 200), "{one:?} {two:?}");
    assert_eq!(fleet.ledger.count(), 80);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_minion() {
    let fleet = Fleet::start(1, 1).await;
    fleet.net.refuse(fleet.minions[0].addr(), true);
    let reply = fleet.post(0, "job-1", &job(&[10], 400)).await;
    assert_eq!((reply.0, &reply.1["ran"]), (504, &"no".into()), "{reply:?}");
    assert_eq!(fleet.ledger.count(), 0);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unopened_connection() {
    // Guards against a "may have run" for a task whose connection was still being
    // opened when its job ended.
    let fleet = Fleet::start(1, 1).await;
    fleet.net.stall(fleet.minions[0].addr(), true);
    let cancel = async {
        fleet.until(0, |s| s["counts"]["tasks.sent"] == 1).await;
        fleet.job_request(0, Method::DELETE, "job-1").await
    };
    let (reply, _) = tokio::join!(fleet.submit(0, "job-1", &[10]), cancel);
    assert_eq!((reply.0, &reply.1["ran"]), (409, &"no".into()), "{reply:?}");
    fleet.net.stall(fleet.minions[0].addr(), false);
    until_idle(&fleet).await;
    assert_eq!(fleet.ledger.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_answer() {
    let fleet = Fleet::start(1, 2).await;
    for minion in &fleet.minions {
        fleet.net.drop_answers(minion.addr(), true);
    }
    let reply = fleet.submit(0, "job-1", &[10]).await;
    assert_eq!(
        (reply.0, &reply.1["ran"]),
        (502, &"maybe".into()),
        "{reply:?}"
    );
    assert_eq!(reply.1["reason"], "connection_lost");
    assert_eq!(fleet.submit(0, "job-1", &[10]).await, reply);
    assert_eq!(fleet.ledger.count(), 1);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn minion_dies() {
    let fleet = Fleet::start(1, 1).await;
    let crash = async {
        fleet.until_started("job-1", 8).await;
        fleet.minions[0].kill();
    };
    let (reply, ()) = tokio::join!(fleet.submit(0, "job-1", &[3000; 12]), crash);
    assert_eq!(
        (reply.0, &reply.1["ran"]),
        (502, &"maybe".into()),
        "{reply:?}"
    );
    assert_eq!(fleet.ledger.count(), 8);
    fleet.minions[0].restart().await.unwrap();
    let again = fleet.submit(0, "job-2", &[10; 12]).await;
    assert_eq!(again.0, 200, "{again:?}");
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn siblings_cancelled() {
    let fleet = Fleet::start(1, 1).await;
    let mut tasks = vec![json!({"id": "bad", "payload": {"run_ms": 50, "fails": true}})];
    for n in 0..20 {
        tasks.push(json!({"id": format!("t{n}"), "payload": {"run_ms": 10_000}}));
    }
    let body = json!({"team": "t1", "service": "quote", "deadline_ms": 20_000, "tasks": tasks});
    let (status, reply) = fleet.post(0, "job-1", &body.to_string()).await;
    assert_eq!(status, 502, "{reply}");
    assert_eq!(reply["task"], "bad");
    until_idle(&fleet).await;
    assert!(fleet.ledger.count() <= 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_cancelled() {
    let fleet = Fleet::start(1, 1).await;
    let keys: Vec<String> = (0..20).map(|n| format!("job-{n}")).collect();
    let jobs = keys.iter().map(|k| fleet.submit(0, k, &[400; 4]));
    let cancels = async {
        fleet.until(0, |s| s["counts"]["tasks.sent"] == 8).await;
        let deletes = keys.iter().map(|k| fleet.job_request(0, Method::DELETE, k));
        futures::future::join_all(deletes).await
    };
    let (replies, cancelled) = tokio::join!(futures::future::join_all(jobs), cancels);
    assert_eq!(replies, cancelled);
    for (key, reply) in keys.iter().zip(&replies) {
        assert_eq!(reply.0, 409, "{reply:?}");
        let ran = if fleet.starts_of(key) > 0 {
            "maybe"
        } else {
            "no"
        };
        assert!(
            reply.1["ran"] == ran || reply.1["ran"] == "maybe",
            "{reply:?}"
        );
    }
    until_idle(&fleet).await;
    let messages = fleet.ledger.messages();
    assert!(messages <= 2 * fleet.ledger.count(), "{messages}");
    assert_eq!(fleet.submit(0, "after", &[10; 8]).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers() {
    let fleet = Fleet::start(1, 1).await;
    let late = fleet.post(0, "late", &job(&[1200; 8], 600)).await;
    assert_eq!((late.0, &late.1["ran"]), (504, &"maybe".into()), "{late:?}");
    let next = fleet.submit(0, "next", &[5; 16]).await;
    assert_eq!(next.0, 200, "{next:?}");
    let answers = next.1["answers"].as_array().unwrap();
    assert!(answers.iter().all(|a| a["answer"]["job"] == "next"));
    assert!(answers.iter().all(|a| a["answer"]["task"] == a["id"]));
    assert_eq!(fleet.submit(0, "late", &[1200; 8]).await, late);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_deadline() {
    let fleet = Fleet::start(1, 1).await;
    let queued = async {
        fleet.until_started("long", 8).await;
        fleet.post(0, "queued", &job(&[5], 300)).await
    };
    let (long, queued) = tokio::join!(fleet.submit(0, "long", &[1000; 8]), queued);
    assert_eq!(long.0, 200, "{long:?}");
    assert_eq!(queued.1["ran"], "no", "{queued:?}");
    assert_eq!(fleet.starts_of("queued"), 0);
    until_idle(&fleet).await;
}

/// Replaces the minion by a server that answers each connection with the given
/// bytes and closes it.
async fn replace_minion(fleet: &Fleet, answer: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut row = fleet.minions[0].row();
    row.addr = listener.local_addr().unwrap();
    fleet.platform.change(|list| list.minions = vec![row]);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer).await;
        }
    });
}

/// Submits jobs until one does not complete, and returns the reply to it.
async fn first_failure(fleet: &Fleet) -> (u16, serde_json::Value) {
    for n in 0..200 {
        let reply = fleet.submit(0, &format!("job-{n}"), &[1]).await;
        if reply.0 != 200 {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no job failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_answers() {
    let cases: [(&[u8], &str); 5] = [
        (b"", "connection_lost"),
        (b"garbage\r\n\r\n", "connection_lost"),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}",
            "connection_lost",
        ),
        (
            b"HTTP/1.1 503 Away\r\ncontent-length: 0\r\n\r\n",
            "task_failed",
        ),
        (
            b"HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n",
            "task_failed",
        ),
    ];
    for (answer, reason) in cases {
        let fleet = Fleet::start(1, 1).await;
        replace_minion(&fleet, answer).await;
        let reply = first_failure(&fleet).await;
        assert_eq!(reply.0, 502, "{reply:?}");
        assert_eq!(
            (&reply.1["ran"], &reply.1["reason"]),
            (&"maybe".into(), &reason.into())
        );
        until_idle(&fleet).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_deadline() {
    let fleet = Fleet::start(1, 1).await;
    let stop = async {
        fleet.until_started("sent", 8).await;
        fleet.vms[0].stop(Millis(200)).await;
    };
    let queued = async {
        fleet.until_started("sent", 8).await;
        fleet.submit(0, "queued", &[10]).await
    };
    let sent = fleet.submit(0, "sent", &[4000; 8]);
    let (sent, queued, ()) = tokio::join!(sent, queued, stop);
    assert_eq!((sent.0, &sent.1["ran"]), (503, &"maybe".into()), "{sent:?}");
    assert_eq!(
        (queued.0, &queued.1["ran"]),
        (503, &"no".into()),
        "{queued:?}"
    );
    assert_eq!(fleet.starts_of("queued"), 0);
}
