//! A shard is handed over with its jobs to a much larger VM that starts later.

mod common;

use common::{Site, config, eventually, free_port, job, serve};
use engine::{Engine, Outcome};
use kernel::Millis;
use ownership::OwnershipConfig;

async fn start_sized(number: u8, port: u16, site: &Site, share: u32) -> Engine<Site> {
    let mut cfg = config(number, port);
    cfg.share = share;
    cfg.ownership = OwnershipConfig {
        settle_time: Millis(600),
        ..OwnershipConfig::default()
    };
    serve(cfg, site.clone(), site).await
}

#[tokio::test]
async fn running_job() {
    let site = Site::new(&[32, 32]);
    let port = free_port();
    let small = start_sized(1, port, &site, 100).await;
    eventually("shard taken", || small.owns()).await;
    let call = {
        let small = small.clone();
        tokio::spawn(async move { small.submit(job(1, 2, 4_000)).await })
    };
    eventually("tasks run", || site.running() == 2).await;
    let large = start_sized(2, port, &site, 250).await;
    eventually("handed over", || large.owns() && !small.owns()).await;
    assert_eq!(call.await.unwrap(), Outcome::Completed);
    assert_eq!(site.starts(), 2);
    assert_eq!(site.violations(), []);
}
