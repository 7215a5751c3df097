//! A VM must accept requests before it knows an owner when all VMs start, and not
//! when it may be cut off: a balancer that probes once a second would send the first
//! clients to nobody, or to a VM that can't serve.

mod common;

use std::time::{Duration, Instant};

use common::{Site, config, eventually, free_port};
use engine::{Configuration, Engine};
use kernel::Millis;

/// Starts a VM with a configuration and without a register, so that it owns
/// nothing.
async fn unregistered(number: u8, port: u16) -> Engine<Site> {
    let site = Site::new(&[32]);
    let engine = Engine::start(config(number, port), site).await.unwrap();
    engine.configure(Configuration {
        version: 1,
        ..Configuration::default()
    });
    engine
}

#[tokio::test]
async fn ready_with_others() {
    let port = free_port();
    let a = unregistered(1, port).await;
    let b = unregistered(2, port).await;
    assert!(!a.ready() && !b.ready());
    let until = Instant::now() + Duration::from_secs(20);
    eventually("both ready", || a.ready() && b.ready()).await;
    assert!(!a.owns() && !b.owns());
    // Without an owner they stop accepting requests after their first second.
    eventually("neither ready", || !a.ready() && !b.ready()).await;
    assert!(Instant::now() < until);
}

#[tokio::test]
async fn alone_not_ready() {
    let a = unregistered(1, free_port()).await;
    let until = Instant::now() + Duration::from_millis(1_300);
    while Instant::now() < until {
        assert!(!a.ready());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn late_configuration() {
    let site = Site::new(&[32]);
    let a = Engine::start(config(1, free_port()), site.clone())
        .await
        .unwrap();
    let wait = {
        let a = a.clone();
        tokio::spawn(async move { a.first_configuration(Millis(900)).await })
    };
    tokio::time::sleep(Duration::from_millis(50)).await;
    a.configure(Configuration {
        version: 7,
        ..Configuration::default()
    });
    assert_eq!(wait.await.unwrap().map(|c| c.version), Some(7));
    // The wait ends at the client's deadline and with the first second.
    let b = Engine::start(config(2, free_port()), site).await.unwrap();
    assert!(b.first_configuration(Millis(30)).await.is_none());
    let asked = Instant::now();
    assert!(b.first_configuration(Millis(20_000)).await.is_none());
    assert!(asked.elapsed() < Duration::from_secs(10));
}
