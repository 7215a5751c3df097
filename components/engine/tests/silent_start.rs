//! A start order that gets no answer is resent while the first is still
//! pending.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Site, config, eventually, free_port, job, serve};
use engine::{HoldReply, Minions, Outcome, StopReply};
use kernel::MinionId;
use schedule::{HoldOrder, StartOrder, StartReply, StopOrder};

/// Minions that neither carry out nor answer the first start order.
#[derive(Clone)]
struct LostStart {
    site: Site,
    starts: Arc<AtomicUsize>,
}

impl Minions for LostStart {
    async fn start(&self, order: &StartOrder) -> StartReply {
        if self.starts.fetch_add(1, Ordering::SeqCst) == 0 {
            return std::future::pending().await;
        }
        self.site.start(order).await
    }

    async fn stop(&self, order: &StopOrder) -> StopReply {
        self.site.stop(order).await
    }

    async fn hold(&self, id: &MinionId, order: &HoldOrder) -> HoldReply {
        self.site.hold(id, order).await
    }
}

#[tokio::test]
async fn start_resent() {
    let site = Site::new(&[32]);
    let minions = LostStart {
        site: site.clone(),
        starts: Arc::default(),
    };
    let engine = serve(config(1, free_port()), minions, &site).await;
    eventually("shard taken", || engine.owns()).await;
    assert_eq!(engine.submit(job(1, 1, 30)).await, Outcome::Completed);
    assert_eq!(site.starts(), 1);
    assert_eq!(site.violations(), []);
}
