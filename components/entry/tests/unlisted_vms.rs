//! A VM that does not know the platform's list of machines can't know which VMs
//! to ask about a job, and concludes nothing from the answers of those it knows.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{Fleet, Gate, PlatformGate, config};
use logstore::LIST_PATH;

#[tokio::test(flavor = "multi_thread")]
async fn unlisted_owner() {
    // Guards against a false "not run": the VM knows no peer that it could ask,
    // and takes this for "no peer has run the job".
    let mut fleet = Fleet::start(1, 1).await;
    let is_down = Arc::new(AtomicBool::new(false));
    let down = is_down.clone();
    let gate = PlatformGate::start(&fleet, move |_, uri| {
        match uri.path() == LIST_PATH || down.load(Ordering::SeqCst) {
            true => Gate::Refuse,
            false => Gate::Pass,
        }
    });
    let platform = gate.await;
    fleet.add_unlisted_vm(config(1, platform)).await;
    fleet.until(1, |s| s["log"] == "answers").await;
    is_down.store(true, Ordering::SeqCst);
    fleet.until(1, |s| s["log"] == "away").await;
    let first = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    let reply = fleet.submit(1, "bare", &[10]).await;
    assert_eq!(reply.1["reason"], "log_away", "{reply:?}");
    assert_eq!(reply.1["outcome"], "unknown", "{reply:?}");
    assert_eq!(fleet.starts_of("bare"), 1);
}
