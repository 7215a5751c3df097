//! Tests the model of the VM's own link.

use std::time::{Duration, Instant};

use kernel::BitRate;
use wire::Link;

/// A link on which a kilobyte takes 4 ms.
fn slow() -> Link {
    Link::new(BitRate(2_000_000))
}

#[test]
fn queue_grows() {
    let link = slow();
    let first = link.reserve(10_000);
    let second = link.reserve(10_000);
    assert!(first >= Duration::from_millis(40), "{first:?}");
    assert!(second >= Duration::from_millis(79), "{second:?}");
    assert!(link.backlog() > Duration::from_millis(70));
}

#[test]
fn fast_link() {
    let link = Link::new(BitRate(1_000_000_000));
    assert!(link.reserve(10_000) < Duration::from_millis(1));
}

/// Fails if a link that sends half of the time counts as idle: holds that time out
/// behind the starts of wide jobs would be shortened and repeated into it.
#[test]
fn busy_link() {
    let link = slow();
    assert!(!link.is_busy());
    link.reserve(60_000);
    assert!(link.usage() > 0.4, "{}", link.usage());
    assert!(link.is_busy());
    assert!(link.burst_time() > Duration::from_millis(60));
    let fast = Link::new(BitRate(200_000_000));
    fast.reserve(60_000);
    assert!(!fast.is_busy());
    assert!(fast.burst_time() < Duration::from_millis(1));
}

#[tokio::test]
async fn own_turn() {
    let link = slow();
    let start = Instant::now();
    // Ten messages of 5 ms each: the last one waits for all but the 10 ms that
    // may be queued.
    let sends = (0..10).map(|_| link.pace(1_196));
    futures::future::join_all(sends).await;
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(34), "{took:?}");
    assert!(link.backlog() <= Duration::from_millis(16));
}

#[tokio::test]
async fn small_first() {
    // A heartbeat that is sent while large messages wait has a short queue.
    let link = slow();
    let bulk = (0..20).map(|_| link.pace(9_946));
    let bulk = futures::future::join_all(bulk);
    let heartbeat = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        link.reserve(150)
    };
    let wait = tokio::select! {
        _ = bulk => panic!("sent too fast"),
        wait = heartbeat => wait,
    };
    assert!(wait < Duration::from_millis(60), "{wait:?}");
}
