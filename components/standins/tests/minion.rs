//! Tests of the minion stand-in and its faults.

mod common;

use std::time::Duration;

use common::{LONG, SHORT, minion, send, task, tcp, until};
use hyper::StatusCode;
use logstore::Presence;
use standins::TaskReply;
use wire::{CallError, STARTED_HEADER};

#[tokio::test]
async fn answers_task() {
    let (minion, ledger) = minion(8).await;
    let reply = send(&tcp(), minion.addr(), "7", "{\"run_ms\":1}")
        .await
        .unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    let reply: TaskReply = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((reply.job.as_str(), reply.task.as_str()), ("j1", "7"));
    assert_eq!((ledger.count(), ledger.messages()), (1, 2));
    assert_eq!(ledger.starts()[0].incarnation, "00");
}

#[tokio::test]
async fn task_fails() {
    let (minion, _) = minion(8).await;
    let reply = send(&tcp(), minion.addr(), "7", "{\"fails\":true}")
        .await
        .unwrap();
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[tokio::test]
async fn slots_full() {
    let (minion, ledger) = minion(1).await;
    let client = tcp();
    let first = tokio::spawn({
        let (client, addr) = (client.clone(), minion.addr());
        async move { send(&client, addr, "0", "{\"run_ms\":60000}").await }
    });
    until(|| minion.running() == 1).await;
    let reply = send(&client, minion.addr(), "1", "{}").await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.headers[STARTED_HEADER], "no");
    assert_eq!(ledger.count(), 1);
    first.abort();
    until(|| minion.running() == 0).await;
}

#[tokio::test]
async fn other_service() {
    let (minion, ledger) = minion(1).await;
    let mut req = task("0", "{}");
    req.headers_mut()
        .insert(wire::SERVICE_HEADER, "book".parse().unwrap());
    let reply = tcp().call(minion.addr(), req, LONG).await.unwrap();
    assert_eq!(reply.headers[STARTED_HEADER], "no");
    assert_eq!(ledger.count(), 0);
}

#[tokio::test]
async fn kill_restart() {
    let (minion, _) = minion(8).await;
    let running = tokio::spawn({
        let addr = minion.addr();
        async move { send(&tcp(), addr, "0", "{\"run_ms\":60000}").await }
    });
    until(|| minion.running() == 1).await;
    minion.kill();
    assert_eq!(running.await.unwrap().unwrap_err(), CallError::Broken);
    until(|| minion.running() == 0).await;
    let refused = send(&tcp(), minion.addr(), "1", "{}").await;
    assert!(!refused.unwrap_err().maybe_sent());
    minion.restart().await.unwrap();
    assert!(send(&tcp(), minion.addr(), "1", "{}").await.is_ok());
}

#[tokio::test]
async fn fails_all() {
    let (minion, _) = minion(8).await;
    minion.fail_all(true);
    let reply = send(&tcp(), minion.addr(), "0", "{\"run_ms\":60000}")
        .await
        .unwrap();
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
    minion.fail_all(false);
    let reply = send(&tcp(), minion.addr(), "1", "{}").await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn slow_factor() {
    let (minion, _) = minion(8).await;
    minion.slow(0.0);
    assert!(
        send(&tcp(), minion.addr(), "0", "{\"run_ms\":60000}")
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn goes_silent() {
    let (minion, ledger) = minion(8).await;
    let client = tcp();
    send(&client, minion.addr(), "0", "{}").await.unwrap();
    assert_eq!(client.idle_count(), 1);
    minion.silence();
    let reply = client.call(minion.addr(), task("1", "{}"), SHORT).await;
    assert_eq!(reply.unwrap_err(), CallError::Timeout);
    assert_eq!(ledger.count(), 1);
    assert!(send(&tcp(), minion.addr(), "2", "{}").await.is_ok());
}

#[tokio::test]
async fn late_starts() {
    let (minion, ledger) = minion(8).await;
    send(&tcp(), minion.addr(), "0", "{}").await.unwrap();
    minion.leave();
    assert_eq!(minion.row().presence, Presence::Leaving);
    send(&tcp(), minion.addr(), "1", "{}").await.unwrap();
    assert_eq!(ledger.late_starts(Duration::ZERO), 1);
    assert_eq!(ledger.late_starts(LONG), 0);
    assert_eq!(ledger.double_starts(), 0);
    send(&tcp(), minion.addr(), "1", "{}").await.unwrap();
    assert_eq!(ledger.double_starts(), 1);
}
