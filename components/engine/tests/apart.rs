//! Two VMs that never hear each other and reach the same minions.

mod common;

use common::{Site, eventually, free_port, job, vm};
use engine::Outcome;

/// Jobs that each VM gets, one after the other.
const JOBS: u64 = 30;

#[tokio::test]
async fn same_minions() {
    let site = Site::new(&[32, 32, 48]);
    // Beats go to one's own port, so these two don't meet.
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
    assert_eq!(site.broken(), []);
    assert!(completed > 0);
}
