//! Helpers that the tests of the stand-ins share.

#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use kernel::{Cores, Slots};
use standins::{Ledger, MinionConfig, MinionStandin};
use wire::{CallError, Client, Connect, PoolLimits, Reply, TcpConnect};

/// A timeout that no answer exceeds, even on a busy machine.
pub const LONG: Duration = Duration::from_secs(20);

/// A timeout for calls that are expected not to be answered. It is long enough
/// for those that are.
pub const SHORT: Duration = Duration::from_millis(300);

pub fn tcp() -> Client<TcpConnect> {
    Client::new(TcpConnect, PoolLimits::default())
}

pub async fn minion(slots: u32) -> (MinionStandin, Ledger) {
    let ledger = Ledger::default();
    let config = MinionConfig {
        id: "a/m-0".parse().unwrap(),
        domain: "a".parse().unwrap(),
        services: vec!["quote".parse().unwrap()],
        slots: Slots(slots),
        cores: Cores(30),
    };
    let minion = MinionStandin::start(config, ledger.clone()).await.unwrap();
    (minion, ledger)
}

pub fn task(id: &str, payload: &'static str) -> Request<Full<Bytes>> {
    Request::post(wire::TASK_PATH)
        .header("host", "minion")
        .header(wire::JOB_HEADER, "j1")
        .header(wire::TASK_HEADER, id)
        .header(wire::SERVICE_HEADER, "quote")
        .header(wire::INCARNATION_HEADER, "00")
        .body(Full::from(payload))
        .unwrap()
}

pub async fn send<C: Connect>(
    client: &Client<C>,
    addr: SocketAddr,
    id: &str,
    payload: &'static str,
) -> Result<Reply, CallError> {
    client.call(addr, task(id, payload), LONG).await
}

/// Waits until the condition holds, at most [`LONG`].
pub async fn until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LONG, wait).await.unwrap();
}
