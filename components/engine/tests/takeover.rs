//! When an owner is killed, another VM takes the shard, and its jobs are run
//! again only when none of their earlier runs can still be running.

mod common;

use common::{Site, eventually, free_port, job, vm};
use engine::Outcome;
use tokio::runtime::Builder;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_owner() {
    let site = Site::new(&[32, 32]);
    let port = free_port();
    // The first VM has its own runtime, whose shutdown simulates a killed
    // process.
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = site.clone();
    let a = runtime.spawn(async move { vm(1, port, &first).await });
    let a = a.await.unwrap();
    eventually("shard taken", || a.owns()).await;
    let b = vm(2, port, &site).await;
    eventually("owner known", || b.ready()).await;
    let call = {
        let b = b.clone();
        tokio::spawn(async move { b.submit(job(1, 2, 2_000)).await })
    };
    eventually("tasks run", || site.running() == 2).await;
    assert!(!b.owns());
    drop(a);
    runtime.shutdown_background();
    eventually("shard taken over", || b.owns()).await;
    assert_eq!(call.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts(), 4);
    assert_eq!(site.violations(), []);
}
