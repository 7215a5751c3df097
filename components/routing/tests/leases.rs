//! VMs pass leases to each other and repair those that were lost with a digest
//! or a VM.

mod common;

use common::*;
use proptest::prelude::*;
use routing::{Balanced, Digest, Fleet, Mode, RoutingConfig};

const VMS: usize = 3;
const MINIONS: usize = 5;

fn fleets() -> Vec<Fleet<Balanced>> {
    let make = |rank| {
        let cfg = RoutingConfig {
            refusals: 0,
            seed: rank as u64,
            ..RoutingConfig::default()
        };
        let fleet = Fleet::new(domain("a"), cfg, Balanced);
        fleet.update(&minions("a", MINIONS));
        fleet.set_peers(rank, VMS);
        fleet
    };
    (0..VMS).map(make).collect()
}

/// Sends the digest of one VM to the others, except those for which `lost` is
/// true.
fn send_digest(
    fleets: &[Fleet<Balanced>],
    from: usize,
    now: u64,
    lost: impl Fn(usize) -> bool,
) -> Digest {
    let digest = fleets[from].digest(ms(now));
    for (to, fleet) in fleets.iter().enumerate() {
        if to != from && !lost(to) {
            fleet.apply_digest(&vm(from), &digest, ms(now));
        }
    }
    digest
}

/// Counts the tasks on each minion over all VMs.
fn totals(fleets: &[Fleet<Balanced>]) -> Vec<u32> {
    let own = |i: usize| fleets.iter().map(|f| f.status()[i].own).sum();
    (0..MINIONS).map(own).collect()
}

#[test]
fn surplus_moves() {
    let fleets = fleets();
    for now in 0..10 {
        send_digest(&fleets, now as usize % VMS, now * 30, |_| false);
    }
    let share = std::iter::from_fn(|| take(&fleets[0], 300).ok()).collect::<Vec<_>>();
    assert!(share.len() < 20);
    fleets[0].set_waiting(&service(), 100);
    let mut slots = share;
    for now in 10..40 {
        send_digest(&fleets, now as usize % VMS, now * 30, |_| false);
        slots.extend(std::iter::from_fn(|| take(&fleets[0], now * 30).ok()));
    }
    assert_eq!(slots.len(), 8 * MINIONS, "one VM can use all idle slots");
}

#[test]
fn dead_vm() {
    let fleets = fleets();
    for now in 0..9 {
        send_digest(&fleets, now as usize % VMS, now * 30, |_| false);
    }
    let alive = &fleets[..2];
    for (rank, fleet) in alive.iter().enumerate() {
        fleet.set_peers(rank, 2);
    }
    for now in 0..60 {
        send_digest(alive, now as usize % 2, 3000 + now * 50, |_| false);
    }
    let slots: Vec<_> = alive
        .iter()
        .flat_map(|f| std::iter::from_fn(|| take(f, 6000).ok()).collect::<Vec<_>>())
        .collect();
    assert_eq!(slots.len(), 8 * MINIONS);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Without lost digests, leased slots never overlap.
    #[test]
    fn no_overlap(steps in prop::collection::vec((0..VMS, 0..4u8, any::<usize>()), 1..300)) {
        let fleets = fleets();
        for from in 0..VMS {
            send_digest(&fleets, from, 0, |_| false);
        }
        let mut held: Vec<Vec<_>> = (0..VMS).map(|_| Vec::new()).collect();
        for (now, (vm, action, i)) in steps.into_iter().enumerate() {
            let now = now as u64 * 5;
            match action {
                0 | 1 => held[vm].extend(take(&fleets[vm], now).ok()),
                2 if !held[vm].is_empty() => {
                    let i = i % held[vm].len();
                    good(held[vm].swap_remove(i), now);
                }
                _ => drop(send_digest(&fleets, vm, now, |_| false)),
            }
            prop_assert!(totals(&fleets).iter().all(|&n| n <= 8));
        }
    }

    /// Leases that overlap or vanish because of lost digests are repaired.
    #[test]
    fn lost_digests(lost in prop::collection::vec((0..VMS, 0..8u8, 0..60usize), 1..60)) {
        let fleets = fleets();
        let mut now = 0;
        for (from, mask, waiting) in lost {
            now += 40;
            fleets[from].set_waiting(&service(), waiting);
            send_digest(&fleets, from, now, |to| mask >> to & 1 == 1);
        }
        for fleet in &fleets {
            fleet.set_waiting(&service(), 0);
        }
        for _ in 0..40 {
            for from in 0..VMS {
                now += 30;
                send_digest(&fleets, from, now, |_| false);
            }
        }
        let digests: Vec<_> = (0..VMS).map(|from| send_digest(&fleets, from, now, |_| false)).collect();
        for i in 0..MINIONS {
            let sum: u32 = digests.iter().map(|d| u32::from(d.leases[i])).sum();
            let moved = digests.iter().flat_map(|d| &d.grants);
            let moved: u32 = moved.filter(|g| usize::from(g.minion) == i).map(|g| u32::from(g.slots)).sum();
            prop_assert!(sum <= 8 && sum + moved >= 8, "minion {} has {} leases", i, sum);
        }
    }
}

#[test]
fn urgent_digest() {
    let fleets = fleets();
    for now in 0..6 {
        send_digest(&fleets, now as usize % VMS, now * 30, |_| false);
    }
    assert!(!fleets[0].urgent(ms(300)), "no task waits");
    let _held: Vec<_> = std::iter::from_fn(|| take(&fleets[0], 300).ok()).collect();
    fleets[0].set_waiting(&service(), 10);
    assert!(fleets[0].urgent(ms(310)));
    send_digest(&fleets, 0, 310, |_| false);
    assert!(!fleets[0].urgent(ms(320)), "a digest was sent 10 ms ago");
    assert!(
        fleets[1].urgent(ms(320)),
        "this VM has leases for a waiting peer"
    );
}

#[test]
fn suspect_leases() {
    // Guards against leases that stay for ever with a VM which suspects their
    // minion and has no task left that could clear the suspicion.
    let fleets = fleets();
    let mut now = 0;
    let mut round = |times: u64| {
        for _ in 0..times * VMS as u64 {
            now += 30;
            send_digest(&fleets, (now / 30) as usize % VMS, now, |_| false);
        }
        now
    };
    round(1);
    let mut slots = Vec::new();
    fleets[1].set_waiting(&service(), 100);
    for _ in 0..30 {
        let at = round(1);
        slots.extend(std::iter::from_fn(|| take(&fleets[1], at).ok()));
    }
    assert_eq!(slots.len(), 8 * MINIONS);
    fleets[1].set_waiting(&service(), 0);
    // The tasks run so long that all minions become suspect, then they are
    // cancelled.
    round(100);
    assert!(fleets[1].status().iter().all(|m| m.mode == Mode::Suspect));
    drop(slots);
    fleets[0].set_waiting(&service(), 4);
    let at = round(30);
    assert!(take(&fleets[0], at).is_ok(), "no lease came back");
}
