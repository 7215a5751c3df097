//! Two VMs that receive no heartbeats from each other but reach the same
//! minions must not violate the rules of the minions.

mod common;

use common::{Site, eventually, free_port, job, vm};
use engine::Outcome;

/// Number of jobs that each VM gets, one after the other.
const JOBS: u64 = 30;

#[tokio::test]
async fn same_minions() {
    let site = Site::new(&[32, 32, 48]);
    // A VM sends heartbeats to its own port number, so these two VMs with
    // different ports receive none from each other.
    let a = vm(1, free_port(), &site).await;
    let b = vm(2, free_port(), &site).await;
    eventually("both own the shard", || a.owns() && b.owns()).await;
    let calls = [(0, a), (1, b)].map(|(i, vm)| {
        tokio::spawn(async move {
            let mut completed = 0;
            for number in 0..JOBS {
                let outcome = vm.submit(job(number * 2 + i, 2, 40)).await;
                completed += u64::from(outcome == Outcome::Completed);
                tokio::time::sleep(kernel::Millis(50).duration()).await;
            }
            completed
        })
    });
    let mut completed = 0;
    for call in calls {
        completed += call.await.unwrap();
    }
    assert_eq!(site.violations(), []);
    assert!(completed > 0);
}
