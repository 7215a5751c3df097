//! Tests of jobs on a site of one VM and of two.

mod common;

use common::{Site, eventually, free_port, job, pair, vm};
use engine::Outcome;

#[tokio::test]
async fn one_vm() {
    let site = Site::new(&[32, 48]);
    let a = vm(1, free_port(), &site).await;
    eventually("shard taken", || a.owns()).await;
    assert_eq!(a.submit(job(1, 8, 30)).await, Outcome::Completed);
    assert_eq!(site.starts(), 8);
    assert_eq!(site.violations(), []);
}

#[tokio::test]
async fn other_owner() {
    let site = Site::new(&[32, 48]);
    let (a, b) = pair(&site).await;
    let (x, y) = tokio::join!(a.submit(job(1, 4, 30)), b.submit(job(2, 4, 30)));
    assert_eq!((x, y), (Outcome::Completed, Outcome::Completed));
    assert_eq!(site.violations(), []);
}

#[tokio::test]
async fn too_large() {
    // No minion is large enough for the task, so the job is refused at once and
    // nothing is started.
    let site = Site::new(&[8, 8]);
    let a = vm(1, free_port(), &site).await;
    eventually("shard taken", || a.owns()).await;
    let answer = a.submit(job(1, 1, 30)).await;
    assert!(matches!(answer, Outcome::Refused { .. }), "{answer:?}");
    assert_eq!(site.starts(), 0);
}

#[tokio::test]
async fn caller_gone() {
    let site = Site::new(&[32]);
    let a = vm(1, free_port(), &site).await;
    eventually("shard taken", || a.owns()).await;
    let call = {
        let a = a.clone();
        tokio::spawn(async move { a.submit(job(1, 2, 5_000)).await })
    };
    eventually("tasks run", || site.running() == 2).await;
    call.abort();
    eventually("tasks stopped", || site.running() == 0).await;
}
