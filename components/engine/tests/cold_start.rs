//! Tests of jobs that arrive before any shard has an owner.

mod common;

use common::{Site, free_port, job, vm};
use engine::Outcome;
use kernel::Millis;
use schedule::JobSpec;

#[tokio::test]
async fn first_jobs() {
    let site = Site::new(&[32, 48]);
    let a = vm(1, free_port(), &site).await;
    assert!(!a.owns());
    assert_eq!(a.submit(job(1, 2, 30)).await, Outcome::Completed);
    assert_eq!(site.violations(), []);
}

#[tokio::test]
async fn no_time_left() {
    // No owner could run the job in time, so it is refused at once.
    let site = Site::new(&[32, 48]);
    let a = vm(1, free_port(), &site).await;
    let spec = JobSpec {
        timeout: Millis(40),
        ..job(1, 2, 100)
    };
    let answer = a.submit(spec).await;
    assert!(matches!(answer, Outcome::Refused { .. }), "{answer:?}");
    assert!(!a.owns());
    assert_eq!(site.starts(), 0);
}
