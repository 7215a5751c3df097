//! A VM never sends a minion more tasks than it has slots, and no slot is lost.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use common::*;
use kernel::{Cores, Slots};
use proptest::prelude::*;
use routing::{
    Balanced, Finish, Fleet, LeastOwn, MinionInfo, Policy, Random, Slot, Split, Unavailable,
};

#[derive(Debug, Clone)]
enum Step {
    Take,
    Finish(usize, u8),
    Drop(usize),
    Wait(u64),
    Sheet(Vec<(usize, bool, u32, bool)>),
    Digest,
}

fn step() -> impl Strategy<Value = Step> {
    let sheet = prop::collection::vec((0..6usize, any::<bool>(), 0..9u32, any::<bool>()), 0..6);
    prop_oneof![
        8 => Just(Step::Take),
        4 => (any::<usize>(), 0..5u8).prop_map(|(i, n)| Step::Finish(i, n)),
        2 => any::<usize>().prop_map(Step::Drop),
        2 => (0..20_000u64).prop_map(Step::Wait),
        1 => sheet.prop_map(Step::Sheet),
        1 => Just(Step::Digest),
    ]
}

fn finish(n: u8) -> Finish {
    match n {
        0 => Finish::Answered { run: 300_000 },
        1 => Finish::TaskFailed,
        2 => Finish::Lost,
        3 => Finish::NotStarted,
        _ => Finish::Cancelled,
    }
}

fn sheet(rows: &[(usize, bool, u32, bool)]) -> Vec<MinionInfo> {
    let row = |&(i, leaving, slots, moved): &(usize, bool, u32, bool)| MinionInfo {
        leaving,
        slots: Slots(slots),
        addr: ([127, 0, 0, 1], if moved { 9000 } else { 1000 } + i as u16).into(),
        ..minion("a", i)
    };
    rows.iter().map(row).collect()
}

/// Returns how many of `slots` are on this minion at this address.
fn held(slots: &[Slot], info: &MinionInfo) -> u32 {
    let same = |s: &&Slot| s.minion().id == info.id && s.minion().addr == info.addr;
    slots.iter().filter(same).count() as u32
}

fn drive<P: Policy>(policy: P, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut table = minions("a", 4);
    let fleet: Fleet<P> = fleet(policy, &table);
    let mut slots: Vec<Slot> = Vec::new();
    let mut now = 0;
    for step in steps {
        match step {
            Step::Take => {
                if let Ok(slot) = take(&fleet, now) {
                    let info = slot.minion().clone();
                    slots.push(slot);
                    prop_assert!(!info.leaving);
                    prop_assert!(held(&slots, &info) <= info.slots.0);
                }
            }
            Step::Finish(i, n) if !slots.is_empty() => {
                let slot = slots.swap_remove(i % slots.len());
                slot.finish(finish(*n), ms(now));
            }
            Step::Drop(i) if !slots.is_empty() => drop(slots.swap_remove(i % slots.len())),
            Step::Wait(span) => now += span,
            Step::Sheet(rows) => {
                table = sheet(rows);
                fleet.update(&table);
            }
            Step::Digest => drop(fleet.digest(ms(now))),
            _ => {}
        }
    }
    slots.clear();
    // All holds and back-offs have ended by then, and a successful probe
    // readmits each minion.
    let probes = fleet.status().len();
    for round in 0..2 * probes as u64 {
        now += 700_000 + round;
        while let Ok(slot) = take(&fleet, now) {
            slots.push(slot);
        }
        for slot in slots.drain(..) {
            good(slot, now);
        }
    }
    while let Ok(slot) = take(&fleet, now) {
        slots.push(slot);
    }
    for row in fleet.status().iter().filter(|r| !r.leaving) {
        prop_assert_eq!(row.own, row.slots.0, "{} in {:?}", row.id, row.mode);
    }
    prop_assert_eq!(fleet.violations(), 0);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn balanced_slots(steps in prop::collection::vec(step(), 1..200)) {
        drive(Balanced, &steps)?;
    }

    #[test]
    fn baseline_slots(steps in prop::collection::vec(step(), 1..100)) {
        drive(Random, &steps)?;
        drive(LeastOwn, &steps)?;
        drive(Split, &steps)?;
    }
}

#[test]
fn impossible_task() {
    let fleet = fleet(Balanced, &minions("a", 2));
    let other = "other".parse().unwrap();
    assert_eq!(
        fleet.fits(&service(), Cores(31)),
        Err(Unavailable::TooLarge)
    );
    assert_eq!(fleet.fits(&service(), Cores(30)), Ok(()));
    assert_eq!(fleet.fits(&other, Cores(1)), Err(Unavailable::NoMinion));
}

#[test]
fn avoids_refusers() {
    let fleet = fleet(Balanced, &minions("a", 2));
    let avoid = [minion("a", 0).id];
    for _ in 0..8 {
        let slot = fleet
            .acquire(&service(), Cores(1), &avoid, ms(0))
            .expect("a slot on the other minion");
        assert_eq!(slot.minion().id, minion("a", 1).id);
    }
}

#[test]
fn many_threads() {
    let fleet = fleet(Balanced, &minions("a", 3));
    let clock = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    let now = clock.fetch_add(1, Ordering::Relaxed) / 16;
                    let slots: Vec<_> = (0..8).map_while(|_| take(&fleet, now).ok()).collect();
                    for row in fleet.status() {
                        assert!(row.own <= 8);
                    }
                    drop(slots);
                }
            });
        }
        for _ in 0..200 {
            fleet.update(&minions("a", 3));
        }
    });
    let slots: Vec<_> = std::iter::from_fn(|| take(&fleet, 30_000).ok()).collect();
    assert_eq!(slots.len(), 24);
    assert_eq!(fleet.violations(), 0);
}
