//! Tests of the network's faults.

mod common;

use std::time::{Duration, Instant};

use common::{LONG, SHORT, minion, send, task, until};
use kernel::Domain;
use standins::{Endpoint, Hops, MinionStandin, Net};
use wire::{CallError, Client, PoolLimits};

fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

fn client(net: &Net, at: &str, process: &str) -> Client<Net> {
    let net = net.at(Endpoint::inside(&domain(at), process));
    Client::new(
        net,
        PoolLimits {
            idle_age: LONG,
            ..PoolLimits::default()
        },
    )
}

/// Starts a minion in domain `a` and a network on which it is registered.
async fn minion_net() -> (MinionStandin, standins::Ledger, Net) {
    let (minion, ledger) = minion(8).await;
    let net = Net::new(Hops::default());
    net.register(minion.addr(), Endpoint::inside(&domain("a"), "a/m-0"));
    (minion, ledger, net)
}

async fn call_error(client: &Client<Net>, minion: &MinionStandin) -> CallError {
    let reply = client.call(minion.addr(), task("x", "{}"), SHORT).await;
    reply.unwrap_err()
}

#[tokio::test]
async fn domain_cut() {
    let (minion, ledger, net) = minion_net().await;
    let near = client(&net, "a", "a/vm-0");
    let far = client(&net, "b", "b/vm-0");
    let caller = Client::new(net.clone(), PoolLimits::default());
    send(&far, minion.addr(), "0", "{}").await.unwrap();
    net.cut(&domain("b"));
    assert_eq!(call_error(&far, &minion).await, CallError::Timeout);
    assert_eq!(call_error(&far, &minion).await, CallError::ConnectTimeout);
    assert_eq!(ledger.count(), 1);
    assert!(send(&near, minion.addr(), "1", "{}").await.is_ok());
    assert!(send(&caller, minion.addr(), "2", "{}").await.is_ok());
    net.heal(&domain("b"));
    assert!(send(&far, minion.addr(), "3", "{}").await.is_ok());
}

#[tokio::test]
async fn platform_cut() {
    let (minion, _, net) = minion_net().await;
    net.register(minion.addr(), Endpoint::platform());
    net.cut(&domain("a"));
    assert_eq!(
        call_error(&client(&net, "a", "a/vm-0"), &minion).await,
        CallError::ConnectTimeout
    );
    assert!(
        send(&client(&net, "b", "b/vm-0"), minion.addr(), "1", "{}")
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn held_arrives() {
    let (minion, ledger, net) = minion_net().await;
    let far = client(&net, "b", "b/vm-0");
    send(&far, minion.addr(), "0", "{}").await.unwrap();
    net.cut(&domain("a"));
    let held = tokio::spawn({
        let addr = minion.addr();
        async move { send(&far, addr, "1", "{}").await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(ledger.count(), 1);
    net.heal(&domain("a"));
    assert!(held.await.unwrap().is_ok());
}

#[tokio::test]
async fn refuses_stalls() {
    let (minion, _, net) = minion_net().await;
    let vm = client(&net, "a", "a/vm-0");
    net.refuse(minion.addr(), true);
    assert_eq!(call_error(&vm, &minion).await, CallError::Refused);
    net.refuse(minion.addr(), false);
    send(&vm, minion.addr(), "0", "{}").await.unwrap();
    net.stall(minion.addr(), true);
    assert_eq!(call_error(&vm, &minion).await, CallError::Timeout);
    net.stall(minion.addr(), false);
    assert!(send(&vm, minion.addr(), "1", "{}").await.is_ok());
}

#[tokio::test]
async fn answer_dropped() {
    let (minion, ledger, net) = minion_net().await;
    let vm = client(&net, "a", "a/vm-0");
    net.drop_answers(minion.addr(), true);
    assert_eq!(call_error(&vm, &minion).await, CallError::Broken);
    assert_eq!(ledger.count(), 1);
    net.drop_answers(minion.addr(), false);
    assert!(send(&vm, minion.addr(), "1", "{}").await.is_ok());
}

#[tokio::test]
async fn silent_connections() {
    let (minion, ledger, net) = minion_net().await;
    let vm = client(&net, "a", "a/vm-0");
    send(&vm, minion.addr(), "0", "{}").await.unwrap();
    assert_eq!(vm.idle_count(), 1);
    net.silence(minion.addr());
    assert_eq!(call_error(&vm, &minion).await, CallError::Timeout);
    assert_eq!(ledger.count(), 1);
    assert!(send(&vm, minion.addr(), "1", "{}").await.is_ok());
}

#[tokio::test]
async fn process_paused() {
    let (minion, _, net) = minion_net().await;
    let one = client(&net, "a", "a/vm-0");
    let two = client(&net, "a", "a/vm-1");
    send(&one, minion.addr(), "0", "{}").await.unwrap();
    net.pause("a/vm-0");
    assert_eq!(call_error(&one, &minion).await, CallError::Timeout);
    assert!(send(&two, minion.addr(), "1", "{}").await.is_ok());
    net.resume("a/vm-0");
    assert!(send(&one, minion.addr(), "2", "{}").await.is_ok());
    net.pause("a/m-0");
    assert_eq!(call_error(&two, &minion).await, CallError::Timeout);
    net.resume("a/m-0");
    assert!(send(&two, minion.addr(), "3", "{}").await.is_ok());
}

#[tokio::test]
async fn delays_add() {
    let (minion, _, _) = minion_net().await;
    let hops = Hops {
        domains: Duration::from_millis(20),
        client: Duration::ZERO,
    };
    let net = Net::new(hops);
    net.register(minion.addr(), Endpoint::inside(&domain("a"), "a/m-0"));
    let begin = Instant::now();
    send(&client(&net, "b", "b/vm-0"), minion.addr(), "0", "{}")
        .await
        .unwrap();
    // Opening the connection and the task take one round trip each; a busy
    // machine may add to that.
    assert!(begin.elapsed() >= 4 * hops.domains);
}

#[tokio::test]
async fn disconnect_cancels() {
    let (minion, _, net) = minion_net().await;
    let vm = client(&net, "a", "a/vm-0");
    let call = tokio::spawn({
        let addr = minion.addr();
        async move { send(&vm, addr, "0", "{\"run_ms\":60000}").await }
    });
    until(|| minion.running() == 1).await;
    call.abort();
    until(|| minion.running() == 0).await;
}
