//! A VM hands its shard over with the jobs and runs at its planned stop.

mod common;

use common::{Site, config, eventually, free_port, job, pair, serve};
use engine::{Engine, Outcome};

#[tokio::test]
async fn running_job() {
    let site = Site::new(&[32, 32]);
    let (a, b) = pair(&site).await;
    let (old, new) = if a.owns() { (a, b) } else { (b, a) };
    let calls: Vec<_> = [&old, &new]
        .into_iter()
        .enumerate()
        .map(|(i, vm)| {
            let vm = vm.clone();
            tokio::spawn(async move { vm.submit(job(i as u64, 2, 600)).await })
        })
        .collect();
    eventually("tasks run", || site.running() == 4).await;
    old.leave().await;
    assert!(new.owns() && !old.owns());
    for call in calls {
        assert_eq!(call.await.unwrap(), Outcome::Completed);
    }
    // No task was started a second time.
    assert_eq!(site.starts(), 4);
    assert_eq!(site.violations(), []);
}

#[tokio::test]
async fn late_successor() {
    // The other VM starts only while this one is leaving, and without a
    // register.
    let site = Site::new(&[32]);
    let port = free_port();
    let mut first = config(1, port);
    first.linger = kernel::Millis(5_000);
    let a = serve(first, site.clone(), &site).await;
    eventually("shard taken", || a.owns()).await;
    let leaving = {
        let a = a.clone();
        tokio::spawn(async move { a.leave().await })
    };
    let b = Engine::start(config(2, port), site.clone()).await.unwrap();
    eventually("handed over", || b.owns()).await;
    eventually("configuration read", || b.ready()).await;
    assert_eq!(b.submit(job(1, 2, 30)).await, Outcome::Completed);
    leaving.await.unwrap();
    assert_eq!(site.violations(), []);
}
