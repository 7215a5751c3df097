//! Tasks go to other domains only when waiting would take longer.

mod common;

use common::*;
use kernel::Millis;
use routing::{Balanced, Digest, Finish, Fleet, RoutingConfig, Slot};

/// Returns a fleet of two local minions and three in domain `b`, 3 ms away.
fn spilling() -> Fleet<Balanced> {
    let cfg = RoutingConfig {
        extra_trip: Millis(3),
        ..RoutingConfig::default()
    };
    let fleet = Fleet::new(domain("a"), cfg, Balanced);
    let mut all = minions("a", 2);
    all.extend(minions("b", 3));
    fleet.update(&all);
    fleet
}

fn take_local(fleet: &Fleet<Balanced>) -> Vec<Slot> {
    (0..16).map(|_| take(fleet, 0).expect("local")).collect()
}

fn report(free: u32) -> Digest {
    Digest {
        domain: Some(domain("b")),
        free,
        slots: 24,
        ..Digest::default()
    }
}

#[test]
fn local_first() {
    let fleet = spilling();
    for slot in take_local(&fleet) {
        assert_eq!(slot.minion().domain, domain("a"));
    }
}

#[test]
fn long_wait() {
    let fleet = spilling();
    let peer = "b/vm-0".parse().unwrap();
    fleet.apply_digest(&peer, &report(24), ms(0));
    let held = take_local(&fleet);
    fleet.digest(ms(1));
    fleet.set_waiting(&service(), 1);
    assert!(
        take(&fleet, 1).is_err(),
        "the wait is 12 ms, half a run 100 ms"
    );
    fleet.set_waiting(&service(), 10);
    let slot = take(&fleet, 1).expect("the wait is 125 ms, trip and half a run 103 ms");
    assert_eq!(slot.minion().domain, domain("b"));
    drop(held);
}

#[test]
fn bounded_spill() {
    let fleet = spilling();
    let peer = "b/vm-0".parse().unwrap();
    fleet.apply_digest(&peer, &report(24), ms(0));
    let _held = take_local(&fleet);
    fleet.set_waiting(&service(), 100);
    let spilled: Vec<_> = (0..24).map_while(|_| take(&fleet, 1).ok()).collect();
    // A third of the 24 slots stays free; a quarter of the others may be used.
    assert_eq!(spilled.len(), 4);
}

#[test]
fn full_domain() {
    let fleet = spilling();
    let peer = "b/vm-0".parse().unwrap();
    fleet.apply_digest(&peer, &report(2), ms(0));
    let _held = take_local(&fleet);
    fleet.set_waiting(&service(), 100);
    assert!(take(&fleet, 1).is_err());
}

#[test]
fn unreachable_domain() {
    let fleet = spilling();
    let _held = take_local(&fleet);
    fleet.set_waiting(&service(), 100);
    let mut tries = 0;
    for now in 1..10_000 {
        if let Ok(slot) = take(&fleet, now) {
            slot.finish(Finish::NotStarted, ms(now));
            tries += 1;
        }
    }
    assert!(tries <= 8, "{tries} tries in 10 s");
}

#[test]
fn no_local() {
    let cfg = RoutingConfig::default();
    let fleet = Fleet::new(domain("a"), cfg, Balanced);
    fleet.update(&minions("b", 3));
    assert!(take(&fleet, 0).is_ok());
}
