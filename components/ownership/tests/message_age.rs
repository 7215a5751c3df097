//! How long a message between VMs has been on its way, without a common clock.

use std::net::SocketAddr;

use kernel::{Incarnation, Millis, Offset, Timestamp};
use ownership::{Heartbeat, OwnershipConfig, Peers, VmInfo};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn vm(number: u8, incarnation: u64) -> VmInfo {
    VmInfo {
        addr: SocketAddr::from(([10, 0, 0, number], 7_000)),
        domain: "suva-a".parse().unwrap(),
        share: 250,
        room: 100,
        incarnation: Incarnation::draw(&mut StdRng::seed_from_u64(incarnation)),
        leaving: false,
    }
}

fn peers(me: VmInfo) -> Peers {
    Peers::new(OwnershipConfig::default(), me, Timestamp(0))
}

fn heartbeat(from: VmInfo, sent: Timestamp) -> Heartbeat {
    Heartbeat {
        from,
        interval: Millis(500),
        version: 1,
        reports: Vec::new(),
        known: Vec::new(),
        evacuations: Offset(0),
        evidence: Default::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent,
        calls: None,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp(0).after(Millis(millis))
}

/// Fails if a message counts as younger than it is, whatever the two clocks show.
#[test]
fn never_younger() {
    let (caller, owner) = (vm(1, 1), vm(2, 2));
    let mut state = peers(caller);
    let receiver = peers(owner.clone());
    // Sent at 90 s on the owner's clock, and 30 ms on its way.
    state.receive(heartbeat(owner.clone(), at(90_000)), at(4_000));
    let sent = state.sent_at(owner.addr, at(4_200));
    // The message is sent at 90,230 ms on the owner's clock.
    assert_eq!(receiver.age(sent, at(90_240)), Some(Millis(40)));
    assert_eq!(receiver.age(sent, at(92_130)), Some(Millis(1_930)));
}

/// Fails if a message is judged by the clock of another process at the same
/// address, or by one that was read too long ago.
#[test]
fn clock_unknown() {
    let owner = vm(2, 2);
    let mut state = peers(vm(1, 1));
    assert_eq!(state.sent_at(owner.addr, at(4_000)), None);
    state.receive(heartbeat(owner.clone(), at(90_000)), at(4_000));
    let sent = state.sent_at(owner.addr, at(4_000));
    assert!(sent.is_some());
    assert_eq!(peers(vm(2, 3)).age(sent, at(90_010)), None);
    assert_eq!(peers(owner.clone()).age(None, at(90_010)), None);
    assert_eq!(state.sent_at(owner.addr, at(9_000)), None);
}
