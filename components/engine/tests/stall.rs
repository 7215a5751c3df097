//! Requests that a VM reads after it has been suspended.

mod common;

use std::time::Duration;

use common::{Site, config, eventually, free_port, job, serve};
use engine::{Engine, Outcome};
use metrics::Gauge;

/// Starts a VM, and blocks the thread of all of its tasks for longer than a client
/// waits before it sends a job again.
async fn suspended(site: &Site) -> Engine<Site> {
    let vm = serve(config(1, free_port()), site.clone(), site).await;
    eventually("minions held", || vm.metrics().gauge(Gauge::CoresFree) > 0).await;
    std::thread::sleep(Duration::from_millis(1_400));
    vm
}

/// Fails if a VM that was suspended starts a job whose client has gone meanwhile, which
/// it notices right after it has read the request.
#[tokio::test]
async fn client_gone() {
    let site = Site::new(&[32]);
    let vm = suspended(&site).await;
    let request = tokio::spawn(async move { vm.submit(job(1, 2, 200)).await });
    tokio::time::sleep(Duration::from_millis(5)).await;
    request.abort();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.starts(), 0);
}

/// Fails if the job of a client that still waits is not served.
#[tokio::test]
async fn client_waits() {
    let site = Site::new(&[32]);
    let vm = suspended(&site).await;
    assert_eq!(vm.submit(job(1, 2, 20)).await, Outcome::Completed);
}
