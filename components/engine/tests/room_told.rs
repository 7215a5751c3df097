//! VMs must learn that a shard has minions before the owner's next regular
//! heartbeat, which is seconds later on a slow link: they send it no jobs before.

mod common;

use common::{Site, config, eventually, free_port, job, serve};
use engine::Outcome;
use kernel::Millis;
use ownership::OwnershipConfig;

#[tokio::test]
async fn before_next_heartbeat() {
    let site = Site::new(&[32, 48]);
    let port = free_port();
    let start = |number| {
        let mut cfg = config(number, port);
        cfg.ownership = OwnershipConfig {
            heartbeat_interval: Millis(8_000),
            owner_timeout: Millis(30_000),
            ..OwnershipConfig::default()
        };
        serve(cfg, site.clone(), &site)
    };
    let (a, b) = (start(1).await, start(2).await);
    eventually("one owner, known to both", || {
        a.owns() != b.owns() && a.ready() && b.ready()
    })
    .await;
    let other = if a.owns() { b } else { a };
    assert_eq!(other.submit(job(1, 2, 30)).await, Outcome::Completed);
    assert_eq!(site.violations(), []);
}
