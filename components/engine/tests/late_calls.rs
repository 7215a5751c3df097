//! Calls between VMs that a cut holds up. Their sender has given them up when they
//! arrive (docs/design/job-leases.md).

mod common;

use std::time::Duration;

use common::domains::{FAR, NEAR, domain, evacuate, minions, near_and_far};
use common::relayed::Relays;
use common::{Site, eventually, job};
use engine::Outcome;
use kernel::Millis;
use schedule::JobSpec;

/// Time in milliseconds for which the far VM is cut off: longer than the near one
/// waits before it runs a lost job again.
const CUT: u64 = 1_900;

/// Fails if a job call that a cut held up starts a task when it arrives, beside the
/// run of the same task that the caller's VM has started meanwhile.
#[tokio::test]
async fn held_up() {
    let site = Site::of(minions(1));
    let relays = Relays::open(&[1, 2]).await;
    let [near, _far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, &[NEAR]);
    // Leaves an open connection, on which the next call is sent.
    assert_eq!(near.submit(job(1, 1, 20)).await, Outcome::Completed);
    assert_eq!(site.starts_on("f"), 1);
    relays.cut(2);
    let repeated = job(2, 1, 1_500);
    let answer = tokio::spawn({
        let (near, repeated) = (near.clone(), repeated.clone());
        async move { near.submit(repeated).await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    evacuate(&near, 8, &[]);
    tokio::time::sleep(Duration::from_millis(CUT - 50)).await;
    relays.heal(2);
    assert_eq!(answer.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts_of(&repeated), 1);
    assert_eq!(site.violations(), []);
}

/// Fails if a handover that a cut held up gives the next owner jobs that their
/// callers have given up.
#[tokio::test]
async fn handover_held_up() {
    let site = Site::of(minions(1));
    let relays = Relays::open(&[1, 2]).await;
    let [near, far] = near_and_far(&relays, &site).await;
    evacuate(&near, 7, &[NEAR]);
    // Leaves an open connection, on which the handover is sent.
    assert_eq!(near.submit(job(3, 1, 20)).await, Outcome::Completed);
    evacuate(&near, 8, &[FAR]);
    eventually("far VM knows", || far.evacuations().contains(&domain(FAR))).await;
    // Two tasks fill the minion, so that the second job waits.
    let submit = |spec: JobSpec| {
        let near = near.clone();
        tokio::spawn(async move { near.submit(spec).await })
    };
    let _running = submit(job(1, 2, 1_000));
    eventually("minion full", || site.starts_on("n") == 2).await;
    let waiting = JobSpec {
        timeout: Millis(1_500),
        objective: Millis(1_500),
        ..job(2, 1, 200)
    };
    let answer = submit(waiting.clone());
    tokio::time::sleep(Duration::from_millis(50)).await;
    relays.cut(2);
    let leaving = tokio::spawn(async move { near.leave().await });
    tokio::time::sleep(Duration::from_millis(CUT)).await;
    relays.heal(2);
    leaving.await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_ne!(answer.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts_of(&waiting), 0);
}
