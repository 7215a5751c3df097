//! Tests the record of the steps of a VM's start, which must show the steps of
//! this start and not those of an earlier one or of another VM.

mod common;

use common::{Site, eventually, free_port, job, vm};
use engine::{Outcome, Step};

#[tokio::test]
async fn single_vm() {
    let site = Site::new(&[32, 48]);
    let a = vm(1, free_port(), &site).await;
    assert!(a.startup().has_reached(Step::Configuration));
    assert!(a.startup().has_reached(Step::Register));
    assert!(!a.startup().has_reached(Step::Shard));
    assert_eq!(a.submit(job(1, 2, 30)).await, Outcome::Completed);
    let steps = [Step::Shard, Step::FirstMinion, Step::HalfMinions];
    for step in steps.into_iter().chain([Step::Start]) {
        assert!(a.startup().has_reached(step), "{step}");
    }
    eventually("all minions held", || {
        a.startup().has_reached(Step::MostMinions)
    })
    .await;
    // No other VM exists that could send a heartbeat or own a shard.
    assert!(!a.startup().has_reached(Step::Heartbeat));
    assert!(!a.startup().has_reached(Step::Owner));
}
