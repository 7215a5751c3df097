//! A VM that has released a key does not know who owns the key next until it has
//! read its own release back from the log.

mod common;

use common::{Fleet, Gate, PlatformGate, TIMEOUT, config};
use hyper::Method;
use logstore::{LIST_PATH, STREAM_PATH, Stream};

#[tokio::test(flavor = "multi_thread")]
async fn unread_release() {
    // Guards against a false "not run" of the VM that released the key, after
    // another VM has read the release, claimed the key and run the job.
    let mut fleet = Fleet::start(1, 1).await;
    let claims = format!("{STREAM_PATH}{}", Stream::Claims);
    // The VM reads its claim at offset 0, but not its release at offset 1. Without
    // the list it has no minion, which is why it refuses the job.
    let gate = PlatformGate::start(&fleet, move |method, uri| {
        let query = uri.query().unwrap_or_default();
        let is_later_read = method == Method::GET && !query.starts_with("from=0");
        match uri.path() {
            LIST_PATH => Gate::Refuse,
            path if path == claims && is_later_read => Gate::Hold,
            _ => Gate::Pass,
        }
    });
    let platform = gate.await;
    fleet.add_unlisted_vm(config(1, platform)).await;
    fleet.until(1, |s| s["log"] == "answers").await;
    let refused = fleet.submit(1, "bare", &[10]).await;
    assert_eq!(refused.1["reason"], "no_minion", "{refused:?}");
    assert_eq!(refused.1["ran"], "no", "{refused:?}");
    let released = async {
        while fleet.platform.records(Stream::Claims).len() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let released = tokio::time::timeout(TIMEOUT, released).await;
    released.expect("the key was not released in time");
    fleet.until(0, |s| s["claims_next"] == 2).await;
    let ran = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(ran.0, 200, "{ran:?}");
    let reply = fleet.submit(1, "bare", &[10]).await;
    assert_eq!(reply.1["outcome"], "unknown", "{reply:?}");
    assert_eq!(fleet.starts_of("bare"), 1);
}
