//! Helpers to build fleets and take slots.

// Each test file uses some of these functions.
#![allow(dead_code)]

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, VmId};
use routing::{Finish, Fleet, MinionInfo, Policy, RoutingConfig, Slot, Unavailable};

pub fn service() -> Service {
    "quote".parse().unwrap()
}

pub fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

pub fn vm(i: usize) -> VmId {
    format!("a/vm-{i}").parse().unwrap()
}

pub fn ms(n: u64) -> Timestamp {
    Timestamp(n * 1000)
}

pub fn minion(domain: &str, i: usize) -> MinionInfo {
    MinionInfo {
        id: format!("{domain}/m-{i:03}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        addr: ([127, 0, 0, 1], 1000 + i as u16).into(),
        services: vec![service()],
        slots: Slots(8),
        cores: Cores(30),
        leaving: false,
    }
}

pub fn minions(domain: &str, count: usize) -> Vec<MinionInfo> {
    (0..count).map(|i| minion(domain, i)).collect()
}

pub fn fleet<P: Policy>(policy: P, all: &[MinionInfo]) -> Fleet<P> {
    let fleet = Fleet::new(domain("a"), RoutingConfig::default(), policy);
    fleet.update(all);
    fleet
}

pub fn take<P: Policy>(fleet: &Fleet<P>, at: u64) -> Result<Slot, Unavailable> {
    fleet.acquire(&service(), Cores(1), &[], ms(at))
}

/// Takes slots until one is on this minion, and frees the others.
pub fn take_on<P: Policy>(fleet: &Fleet<P>, id: &MinionId, at: u64) -> Option<Slot> {
    let mut others = Vec::new();
    loop {
        let slot = take(fleet, at).ok()?;
        if slot.minion().id == *id {
            return Some(slot);
        }
        others.push(slot);
    }
}

pub fn good(slot: Slot, at: u64) {
    slot.finish(Finish::Answered { run: 200_000 }, ms(at));
}

pub fn fail(slot: Slot, at: u64) {
    slot.finish(Finish::TaskFailed, ms(at));
}
