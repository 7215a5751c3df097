//! Who takes a shard, and when.

use std::net::SocketAddr;

use kernel::{Incarnation, Timestamp};
use ownership::{Beat, Change, Claim, Epoch, OwnershipConfig, Peers, Report, Shard, VmInfo};
use schedule::Load;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn vm(addr: &str, domain: &str, share: u32) -> VmInfo {
    let id = "0123456789abcdef0123456789abcdef";
    VmInfo {
        addr: addr.parse::<SocketAddr>().unwrap(),
        domain: domain.parse().unwrap(),
        share,
        incarnation: id.parse::<Incarnation>().unwrap(),
        leaving: false,
    }
}

fn shard() -> Shard {
    Shard {
        domain: "suva-a".parse().unwrap(),
        index: 0,
    }
}

fn beat(from: VmInfo, claim: Option<Claim>) -> Beat {
    let report = |claim| Report {
        shard: shard(),
        claim,
        load: Load::default(),
    };
    Beat {
        from,
        version: 1,
        reports: claim.map(report).into_iter().collect(),
        known: Vec::new(),
    }
}

fn claim(from: &VmInfo, epoch: u64) -> Claim {
    Claim {
        home: from.domain.as_str() == "suva-a",
        epoch: Epoch(epoch),
        share: from.share,
        addr: from.addr,
    }
}

fn taken(changes: &[Change]) -> bool {
    changes.iter().any(|c| matches!(c, Change::Taken(..)))
}

/// Returns when a VM that hears `others` until time 0 takes the shard, looking
/// every 10 ms.
fn takes(me: VmInfo, others: &[VmInfo]) -> Option<u64> {
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for other in others {
        peers.hear(beat(other.clone(), None), at(0));
    }
    let times = (0..3_000).step_by(10);
    times
        .into_iter()
        .find(|ms| taken(&peers.tick(&[shard()], at(*ms))))
}

#[test]
fn listens_first() {
    let ms = takes(vm("10.0.0.1:1", "suva-a", 250), &[]).unwrap();
    assert!(ms >= OwnershipConfig::default().listen.0, "{ms}");
}

#[test]
fn largest_first() {
    let (small, large) = (
        vm("10.0.0.1:1", "suva-a", 120),
        vm("10.0.0.2:1", "suva-a", 500),
    );
    let first = takes(large.clone(), std::slice::from_ref(&small)).unwrap();
    let second = takes(small, &[large]).unwrap();
    assert!(first < second, "{first} {second}");
}

#[test]
fn own_domain() {
    let (home, away) = (
        vm("10.0.0.1:1", "suva-a", 120),
        vm("10.0.0.2:1", "nadi-b", 500),
    );
    let first = takes(home.clone(), std::slice::from_ref(&away)).unwrap();
    // The other domain's VM waits until the shard's own is no longer alive.
    let second = takes(away, &[home]).unwrap();
    assert!(
        second >= OwnershipConfig::default().idle_silence.0,
        "{second}"
    );
    assert!(first < second);
}

#[test]
fn silent_owner() {
    let (me, owner) = (
        vm("10.0.0.1:1", "suva-a", 250),
        vm("10.0.0.2:1", "suva-a", 250),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let alive = beat(owner.clone(), Some(claim(&owner, 3)));
    for ms in (0..2_000).step_by(100) {
        peers.hear(alive.clone(), at(ms));
        assert!(!taken(&peers.tick(&[shard()], at(ms))));
    }
    let mut changes = Vec::new();
    for ms in (2_000..3_000).step_by(25) {
        changes.extend(peers.tick(&[shard()], at(ms)));
    }
    let lost = Change::Lost(shard(), owner.addr);
    assert!(changes.contains(&lost));
    assert!(changes.contains(&Change::Taken(shard(), Epoch(4))));
}

#[test]
fn later_claim() {
    let (me, other) = (
        vm("10.0.0.9:1", "suva-a", 250),
        vm("10.0.0.2:1", "suva-a", 250),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.accept(&shard());
    // An equal claim of a lower address loses, a later one wins.
    let equal = beat(other.clone(), Some(claim(&other, 1)));
    assert!(peers.hear(equal, at(10)).is_empty());
    let later = beat(other.clone(), Some(claim(&other, 2)));
    let changes = peers.hear(later, at(20));
    assert_eq!(changes, [Change::Yielded(shard(), other.addr)]);
    assert!(!peers.owns(&shard()));
}

#[test]
fn larger_claim() {
    // At a cold start several VMs take a shard before they hear each other. The
    // smallest must not keep it for its address.
    let (me, other) = (
        vm("10.0.0.9:1", "suva-a", 120),
        vm("10.0.0.2:1", "suva-a", 500),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.accept(&shard());
    let changes = peers.hear(beat(other.clone(), Some(claim(&other, 1))), at(10));
    assert_eq!(changes, [Change::Yielded(shard(), other.addr)]);
}

#[test]
fn home_claim() {
    let (me, other) = (
        vm("10.0.0.9:1", "nadi-b", 250),
        vm("10.0.0.2:1", "suva-a", 250),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for _ in 0..5 {
        peers.accept(&shard());
    }
    let home = beat(other.clone(), Some(claim(&other, 1)));
    let changes = peers.hear(home, at(20));
    assert_eq!(changes, [Change::Yielded(shard(), other.addr)]);
}

#[test]
fn few_followers() {
    // Whatever the size of a domain, few of its VMs rank first.
    let vms = (1..=100).map(|i| vm(&format!("10.0.0.{i}:1"), "suva-a", 250));
    let vms: Vec<_> = vms.collect();
    let ranks = vms.iter().map(|me| {
        let mut peers = Peers::new(OwnershipConfig::default(), me.clone(), at(0));
        for other in vms.iter().filter(|other| *other != me) {
            peers.hear(beat(other.clone(), None), at(0));
        }
        peers.rank(&shard(), at(10))
    });
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..100).collect::<Vec<_>>());
}

#[test]
fn successor_alive() {
    let me = vm("10.0.0.1:1", "suva-a", 250);
    let mut gone = vm("10.0.0.2:1", "suva-a", 500);
    gone.leaving = true;
    let small = vm("10.0.0.3:1", "suva-a", 120);
    let away = vm("10.0.0.4:1", "nadi-b", 500);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for other in [&gone, &small, &away] {
        peers.hear(beat(other.clone(), None), at(0));
    }
    let next = |anywhere| {
        peers
            .successor(&shard(), anywhere, at(10))
            .map(|vm| vm.addr)
    };
    assert_eq!(next(false), Some(small.addr));
    assert_eq!(next(true), Some(small.addr));
}

/// Lets a VM take its shard, and another VM take all of its 4 minions at 1.5 s.
/// Returns when the shard is given up and taken again, up to 30 s.
fn contest(hears: &[u64]) -> (Option<u64>, Option<u64>) {
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let other = vm("10.0.0.1:1", "nadi-b", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.hear(beat(other.clone(), None), at(0));
    let mut given = None;
    let mut again = None;
    for ms in (0..30_000).step_by(10) {
        if hears.contains(&ms) {
            peers.hear(beat(other.clone(), None), at(ms));
        }
        if ms == 1_500 {
            (0..4).for_each(|_| peers.lost_minion(&shard(), 4, at(ms)));
        }
        let changes = peers.tick(&[shard()], at(ms));
        if changes.contains(&Change::Contested(shard())) {
            given = given.or(Some(ms));
        }
        if given.is_some() && taken(&changes) {
            again = again.or(Some(ms));
        }
    }
    (given, again)
}

#[test]
fn cut_off_yields() {
    // Nobody was heard for 1.1 s when the minions were taken.
    assert_eq!(contest(&[]), (Some(1_500), Some(3_500)));
}

#[test]
fn heard_keeps() {
    let hears: Vec<u64> = (0..30_000).step_by(500).collect();
    assert_eq!(contest(&hears), (None, None));
}

#[test]
fn yields_longer() {
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let mut takes = Vec::new();
    for ms in (0..20_000).step_by(10) {
        let changes = peers.tick(&[shard()], at(ms));
        if taken(&changes) {
            takes.push(ms);
        }
        // Another VM takes them back soon.
        if takes.last().is_some_and(|at| at + 800 == ms) {
            (0..4).for_each(|_| peers.lost_minion(&shard(), 4, at(ms)));
        }
    }
    let gaps: Vec<_> = takes.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(gaps, [2_810, 4_810, 8_810]);
}

#[test]
fn smaller_part() {
    let cut_off = |me: &str, heard: &[&str], silent: &[&str]| {
        let me = vm(me, "suva-a", 250);
        let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
        for addr in heard.iter().chain(silent) {
            peers.hear(beat(vm(addr, "nadi-b", 250), None), at(0));
        }
        for addr in heard {
            peers.hear(beat(vm(addr, "nadi-b", 250), None), at(2_000));
        }
        peers.cut_off(at(2_500))
    };
    let (a, b, c, d) = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1");
    // One that has never heard another may be cut off from the start.
    assert!(cut_off(a, &[], &[]));
    assert!(cut_off(c, &[], &[a, b]));
    assert!(cut_off(c, &[d], &[a, b, "10.0.0.5:1"]));
    assert!(!cut_off(c, &[d], &[a]));
    // Of two halves only one is the smaller.
    assert!(!cut_off(a, &[b], &[c, d]));
    assert!(cut_off(c, &[d], &[a, b]));
}

#[test]
fn owners_lost_at_once() {
    // Idle VMs beat too seldom to be missed so soon; owners are.
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let owner = vm("10.1.0.2:1", "suva-a", 250);
    let other = vm("10.2.0.1:1", "nadi-b", 250);
    let mut second = beat(other.clone(), Some(claim(&other, 1)));
    second.reports[0].shard.domain = "nadi-b".parse().unwrap();
    peers.hear(beat(vm("10.3.0.1:1", "nadi-b", 250), None), at(0));
    peers.hear(beat(owner.clone(), Some(claim(&owner, 1))), at(0));
    peers.hear(second, at(0));
    peers.tick(&[shard()], at(400));
    assert!(!peers.cut_off(at(400)));
    peers.tick(&[shard()], at(500));
    assert!(peers.cut_off(at(500)));
}

/// Returns when an owner of the given domain and size hands its shard to a VM of
/// the shard's domain that is heard from 2 s on.
fn hands_over(me: (&str, u32), other: u32) -> Option<u64> {
    let me = vm("10.1.0.1:1", me.0, me.1);
    let other = vm("10.1.0.2:1", "suva-a", other);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for ms in (0..10_000).step_by(100) {
        if ms >= 2_000 {
            peers.hear(beat(other.clone(), None), at(ms));
        }
        if peers.better_owner(&shard(), at(ms)).is_some() {
            return Some(ms);
        }
    }
    None
}

#[test]
fn larger_owner() {
    assert_eq!(hands_over(("suva-a", 100), 250), Some(5_000));
    assert_eq!(hands_over(("suva-a", 200), 250), None);
}

#[test]
fn nearer_owner() {
    assert_eq!(hands_over(("nadi-b", 500), 100), Some(5_000));
}
