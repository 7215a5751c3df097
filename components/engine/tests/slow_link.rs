//! Start orders that wait in the VM's own link are not sent again: the copies
//! would lengthen the queue that delays them.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Site, config, eventually, free_port, job, serve};
use engine::{HoldReply, Minions, Outcome, StopReply};
use kernel::{BitRate, MinionId};
use schedule::{HoldOrder, StartOrder, StartReply, StopOrder};
use wire::Link;

/// Rate at which a start order takes some ten milliseconds.
const RATE: BitRate = BitRate(400_000);

/// Bytes of an order on the wire.
const ORDER_BYTES: usize = 400;

/// Minions behind a slow link of the VM.
#[derive(Clone)]
struct SlowSite {
    site: Site,
    link: Link,
    /// Number of start orders that were sent.
    sent: Arc<AtomicUsize>,
}

impl SlowSite {
    async fn travel(&self) {
        tokio::time::sleep(self.link.reserve(ORDER_BYTES)).await;
    }
}

impl Minions for SlowSite {
    async fn start(&self, order: &StartOrder) -> StartReply {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.travel().await;
        self.site.start(order).await
    }

    async fn stop(&self, order: &StopOrder) -> StopReply {
        self.site.stop(order).await
    }

    async fn hold(&self, id: &MinionId, order: &HoldOrder) -> HoldReply {
        self.site.hold(id, order).await
    }
}

/// Runs a job of 16 tasks on a VM that takes its link to have the given rate, and
/// returns how many start orders were sent.
async fn orders_sent(known: BitRate) -> usize {
    let site = Site::new(&[32; 8]);
    let slow = SlowSite {
        site: site.clone(),
        link: Link::new(RATE),
        sent: Arc::default(),
    };
    let mut cfg = config(1, free_port());
    cfg.link = Link::new(known);
    let vm = serve(cfg, slow.clone(), &site).await;
    eventually("shard taken", || vm.ready()).await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(vm.submit(job(1, 16, 200)).await, Outcome::Completed);
    assert_eq!(site.violations(), []);
    slow.sent.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sent_once() {
    assert_eq!(orders_sent(RATE).await, 16);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_rate() {
    // A VM that takes its link to be fast sends orders again.
    assert!(orders_sent(BitRate(1_000_000_000)).await > 16);
}
