//! Quotas hold over all VMs, and unused slots are lent to VMs that need them.

use kernel::{Millis, Slots, Team, Timestamp, VmId};
use limits::{QuotaGuard, Quotas, Share};
use proptest::prelude::*;

const VMS: usize = 3;

fn team(i: usize) -> Team {
    format!("team-{i}").parse().unwrap()
}

fn vm(i: usize) -> VmId {
    format!("a/vm-{i}").parse().unwrap()
}

fn share(rank: usize, live: usize) -> Share {
    Share {
        vm: vm(rank),
        rank,
        live,
    }
}

fn fleet(quota: u32) -> Vec<Quotas> {
    let make = |rank| {
        let quotas = Quotas::new(Millis(3000));
        quotas.update(&[(team(0), Slots(quota))], share(rank, VMS));
        quotas
    };
    (0..VMS).map(make).collect()
}

fn send_digest(fleet: &[Quotas], from: usize, now: u64, lost: u8) {
    let now = Timestamp(now * 1000);
    let digest = fleet[from].digest(now);
    for (to, quotas) in fleet.iter().enumerate() {
        if to != from && lost >> to & 1 == 0 {
            quotas.apply_digest(&vm(from), &digest.addressed_to(&vm(to)), now);
        }
    }
}

fn held(fleet: &[Quotas]) -> u32 {
    let held = |q: &Quotas| q.status().iter().map(|s| s.held.0).sum::<u32>();
    fleet.iter().map(held).sum()
}

fn take_all(quotas: &Quotas) -> Vec<QuotaGuard> {
    std::iter::from_fn(|| quotas.acquire(&team(0)).ok()).collect()
}

#[test]
fn unlimited_team() {
    let fleet = fleet(1);
    let guards: Vec<_> = (0..50).map(|_| fleet[0].acquire(&team(9))).collect();
    assert!(guards.iter().all(Result::is_ok));
}

#[test]
fn parts_add_up() {
    let fleet = fleet(20);
    let guards: Vec<_> = fleet.iter().map(take_all).collect();
    assert_eq!(guards.iter().map(Vec::len).sum::<usize>(), 20);
}

#[test]
fn follows_demand() {
    let fleet = fleet(20);
    let mut guards = take_all(&fleet[0]);
    for round in 0..20 {
        guards.extend(take_all(&fleet[0]));
        send_digest(&fleet, round % VMS, round as u64 * 30, 0);
    }
    assert_eq!(guards.len(), 20);
}

#[test]
fn loan_returned() {
    let fleet = fleet(20);
    let mut guards = Vec::new();
    for round in 0..20 {
        guards.extend(take_all(&fleet[0]));
        send_digest(&fleet, round % VMS, round as u64 * 30, 0);
    }
    let mut others = Vec::new();
    for round in 20..60 {
        others.extend(take_all(&fleet[1]));
        guards.pop();
        send_digest(&fleet, round % VMS, round as u64 * 30, 0);
        assert!(held(&fleet) <= 20);
    }
    assert!(others.len() >= 6, "VM 1 has its own part back");
}

#[test]
fn quota_of_one() {
    let fleet = fleet(1);
    let mut turns = [0; VMS];
    for round in 0..120 {
        for (rank, quotas) in fleet.iter().enumerate() {
            if let Ok(_guard) = quotas.acquire(&team(0)) {
                turns[rank] += 1;
            }
        }
        send_digest(&fleet, round % VMS, round as u64 * 30, 0);
    }
    assert!(turns.iter().all(|&n| n > 0), "{turns:?}");
}

#[test]
fn update_keeps_held() {
    let quotas = Quotas::new(Millis(3000));
    quotas.update(&[(team(0), Slots(5))], share(0, 1));
    let guards = take_all(&quotas);
    quotas.update(&[], share(0, 1));
    assert!(quotas.acquire(&team(0)).is_ok());
    quotas.update(&[(team(0), Slots(5))], share(0, 1));
    assert!(quotas.acquire(&team(0)).is_err());
    drop(guards);
    assert_eq!(take_all(&quotas).len(), 5);
    assert_eq!(quotas.violations(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The quota is never exceeded, whichever digests are lost, as long as all
    /// VMs agree on which VMs are live.
    #[test]
    fn never_exceeded(
        quota in 0..30u32,
        steps in prop::collection::vec((0..VMS, 0..6u8, any::<usize>(), 0..8u8), 1..300),
    ) {
        let fleet = fleet(quota);
        let mut guards: Vec<Vec<QuotaGuard>> = (0..VMS).map(|_| Vec::new()).collect();
        for (now, (vm, action, i, lost)) in steps.into_iter().enumerate() {
            match action {
                0 | 1 => guards[vm].extend(fleet[vm].acquire(&team(0)).ok()),
                2 | 3 if !guards[vm].is_empty() => {
                    let i = i % guards[vm].len();
                    guards[vm].swap_remove(i);
                }
                4 => send_digest(&fleet, vm, now as u64 * 5, lost),
                _ => send_digest(&fleet, vm, now as u64 * 5, 0),
            }
            prop_assert!(held(&fleet) <= quota);
        }
        guards.clear();
        prop_assert_eq!(held(&fleet), 0);
        prop_assert!(fleet.iter().all(|q| q.violations() == 0));
    }

    /// When a VM joins, the quota is exceeded by at most that VM's part.
    #[test]
    fn join_bound(quota in 0..40u32) {
        let mut fleet = fleet(quota);
        let _guards: Vec<_> = fleet.iter().map(take_all).collect();
        let joiner = Quotas::new(Millis(3000));
        joiner.update(&[(team(0), Slots(quota))], share(VMS, VMS + 1));
        let extra = take_all(&joiner);
        fleet.push(joiner);
        let part = quota.div_ceil(VMS as u32 + 1);
        prop_assert!(extra.len() as u32 <= part);
        prop_assert!(held(&fleet) <= quota + part);
    }
}

/// Sends a digest, in one fleet as a whole and in the other only the receiver's
/// part.
fn send_both(whole: &[Quotas], part: &[Quotas], from: usize, to: usize, now: u64) {
    let now = Timestamp(now * 1000);
    whole[to].apply_digest(&vm(from), &whole[from].digest(now), now);
    let own = part[from].digest(now).addressed_to(&vm(to));
    assert!(own.heard.len() <= 1);
    part[to].apply_digest(&vm(from), &own, now);
}

#[test]
fn digest_part() {
    // Only one VM borrows from one other, because the order of loans is random.
    let (whole, part) = (fleet(9), fleet(9));
    send_both(&whole, &part, 2, 1, 1);
    let mut guards = vec![(take_all(&whole[0]), take_all(&part[0]))];
    for now in 2..40 {
        let (from, to) = if now % 2 == 0 { (0, 1) } else { (1, 0) };
        send_both(&whole, &part, from, to, now);
        match now {
            2..20 => guards.push((take_all(&whole[0]), take_all(&part[0]))),
            _ => drop(guards.pop()),
        }
        for at in 0..VMS {
            assert_eq!(whole[at].status(), part[at].status(), "step {now}");
        }
    }
    let held = |fleet: &[Quotas]| fleet[0].status()[0].held;
    assert_eq!(held(&whole), held(&part));
}

#[test]
fn try_requests_nothing() {
    let fleet = fleet(6);
    let _held = take_all(&fleet[0]);
    send_digest(&fleet, 0, 0, 0);
    for _ in 0..100 {
        assert!(fleet[0].try_acquire(&team(0)).is_err());
    }
    let digest = fleet[0].digest(Timestamp(1000));
    assert!(digest.teams.iter().all(|t| t.want == 0), "{digest:?}");
    for _ in 0..100 {
        fleet[0].report_waiting(&team(0), 4);
    }
    let digest = fleet[0].digest(Timestamp(2000));
    assert_eq!(digest.teams[0].want, 4);
    assert_eq!(fleet[0].free_slots(&team(0)), 0);
    assert_eq!(fleet[0].free_slots(&team(9)), usize::MAX);
}
