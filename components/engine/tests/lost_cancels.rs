//! Jobs whose callers' VMs have given them up without the owner being told by the
//! connection (docs/design/job-leases.md#open-calls).

mod common;

use std::time::{Duration, Instant};

use common::domains::{NEAR, evacuate, near_and_far};
use common::relayed::Relays;
use common::{Site, eventually, job};
use engine::Outcome;

/// Time within which tasks of a job that was given up must be stopped: the client
/// sends it again after 1.3 s.
const STOPPED_WITHIN: Duration = Duration::from_millis(1_000);

/// Fails if a job runs on at its owner after its caller has gone, when the connection
/// between the two VMs has gone silent and other jobs keep heartbeats flowing.
#[tokio::test]
async fn silent_connection() {
    let site = Site::of(common::domains::minions(2));
    let relays = Relays::open(&[1, 2]).await;
    let [near, _far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, &[NEAR]);
    let caller = tokio::spawn({
        let near = near.clone();
        async move { near.submit(job(1, 2, 5_000)).await }
    });
    eventually("job runs", || site.running() == 2).await;
    relays.silence(2);
    caller.abort();
    let gone = Instant::now();
    let mut number = 10;
    while gone.elapsed() < STOPPED_WITHIN {
        number += 1;
        assert_eq!(near.submit(job(number, 1, 20)).await, Outcome::Completed);
    }
    assert_eq!(site.running(), 0);
    assert_eq!(site.violations(), []);
}

/// Fails if the job of a caller that waits is taken for given up, as long as
/// heartbeats arrive.
#[tokio::test]
async fn caller_waits() {
    let site = Site::of(common::domains::minions(2));
    let relays = Relays::open(&[1, 2]).await;
    let [near, _far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, &[NEAR]);
    let awaited = job(1, 2, 2_000);
    assert_eq!(near.submit(awaited.clone()).await, Outcome::Completed);
    assert_eq!(site.starts_of(&awaited), 2);
}
