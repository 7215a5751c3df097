//! Jobs that arrive while the first owner is still taking its minions must not be
//! refused for lack of room that it has soon.

mod common;

use std::time::{Duration, Instant};

use common::{Site, config, free_port, job, serve};
use engine::{HoldReply, Minions, Outcome, StopReply};
use kernel::{Millis, MinionId};
use schedule::{HoldOrder, JobSpec, StartOrder, StartReply, StopOrder};

/// All minions but the first answer holds only after this time. The VM takes its
/// shard after 500 ms, as it hears no other VM.
const HELD_AFTER: Duration = Duration::from_millis(700);

#[derive(Clone)]
struct SlowHolds(Site, Instant);

impl Minions for SlowHolds {
    async fn start(&self, order: &StartOrder) -> StartReply {
        self.0.start(order).await
    }

    async fn stop(&self, order: &StopOrder) -> StopReply {
        self.0.stop(order).await
    }

    async fn hold(&self, id: &MinionId, order: &HoldOrder) -> HoldReply {
        if id.as_str() != "m-00" {
            tokio::time::sleep_until((self.1 + HELD_AFTER).into()).await;
        }
        self.0.hold(id, order).await
    }
}

#[tokio::test]
async fn minions_follow() {
    // The job fits in time on all minions, but not on the first one alone.
    let site = Site::new(&[14; 10]);
    let minions = SlowHolds(site.clone(), Instant::now());
    let a = serve(config(1, free_port()), minions, &site).await;
    let spec = JobSpec {
        timeout: Millis(2_500),
        objective: Millis(2_500),
        ..job(1, 10, 300)
    };
    assert_eq!(a.submit(spec).await, Outcome::Completed);
    assert_eq!(site.violations(), []);
}

#[tokio::test]
async fn soon_retry() {
    // The owner of one minion would tell the client to return after 3 s.
    let site = Site::new(&[14; 10]);
    let minions = SlowHolds(site.clone(), Instant::now());
    let a = serve(config(1, free_port()), minions, &site).await;
    let spec = JobSpec {
        timeout: Millis(920),
        objective: Millis(920),
        ..job(1, 10, 300)
    };
    match a.submit(spec).await {
        Outcome::Refused { retry } => assert!(retry <= Millis(1_000), "{retry}"),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn no_more_expected() {
    // The same job is refused when all minions are held and have no room in time.
    let site = Site::new(&[14; 2]);
    let a = serve(config(1, free_port()), site.clone(), &site).await;
    let spec = JobSpec {
        timeout: Millis(2_500),
        objective: Millis(2_500),
        ..job(1, 40, 300)
    };
    let sent = Instant::now();
    let answer = a.submit(spec).await;
    assert!(matches!(answer, Outcome::Refused { .. }), "{answer:?}");
    assert!(sent.elapsed() < Duration::from_millis(2_000));
    assert_eq!(site.starts(), 0);
}
