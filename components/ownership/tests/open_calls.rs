//! The calls that a VM lists as open in its heartbeats.

use ownership::{CallNumber, CallState, OpenCalls};
use wire::encode;

fn list(latest: u64, open: &[u64]) -> OpenCalls {
    let open = open.iter().map(|n| CallNumber(*n));
    OpenCalls::new(None, CallNumber(latest), open)
}

/// Fails if a call that was made after the list counts as given up, or one that is
/// missing in it as awaited.
#[test]
fn states() {
    let calls = list(90, &[12, 85, 90]);
    let state = |n| calls.state(CallNumber(n));
    assert_eq!(
        [12, 85, 90].map(state),
        [CallState::Open, CallState::Open, CallState::Open]
    );
    assert_eq!([1, 86, 89].map(state), [CallState::Ended; 3]);
    assert_eq!(state(91), CallState::Later);
    assert_eq!(list(0, &[]).state(CallNumber(1)), CallState::Later);
}

/// Fails if the list of a VM with as many open calls as it has descriptors does not fit
/// into a heartbeat.
#[test]
fn small() {
    let numbers: Vec<_> = (1..=100).map(|n| 5_000_000 - n).collect();
    let bytes = encode(&list(5_000_000, &numbers)).unwrap().len();
    assert!(bytes < 120, "{bytes}");
    let numbers: Vec<_> = (1..=3_900).map(|n| 5_000_000 - 2 * n).collect();
    let bytes = encode(&list(5_000_000, &numbers)).unwrap().len();
    assert!(bytes < 12_000, "{bytes}");
}
