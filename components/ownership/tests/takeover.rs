//! Tests which VM takes a shard, and when.

use std::net::SocketAddr;

use kernel::{Incarnation, Offset, Timestamp};
use ownership::{Change, Claim, Epoch, Heartbeat, OwnershipConfig, Peers, Report, Shard, VmInfo};
use schedule::{EvidenceReport, Load};

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn vm(addr: &str, domain: &str, share: u32) -> VmInfo {
    let id = "0123456789abcdef0123456789abcdef";
    VmInfo {
        addr: addr.parse::<SocketAddr>().unwrap(),
        domain: domain.parse().unwrap(),
        share,
        room: 1_000,
        incarnation: id.parse::<Incarnation>().unwrap(),
        leaving: false,
    }
}

fn shard() -> Shard {
    Shard {
        domain: "suva-a".parse().unwrap(),
        index: 0,
        count: 1,
    }
}

fn heartbeat(from: VmInfo, claim: Option<Claim>) -> Heartbeat {
    let report = |claim| Report {
        shard: shard(),
        claim,
        load: Load::default(),
    };
    let cfg = OwnershipConfig::default();
    let interval = match claim {
        Some(_) => cfg.heartbeat_interval,
        None => cfg.idle_interval,
    };
    Heartbeat {
        from,
        interval,
        version: 1,
        reports: claim.map(report).into_iter().collect(),
        known: Vec::new(),
        evacuations: Offset(0),
        evidence: EvidenceReport::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
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

fn has_taken(changes: &[Change]) -> bool {
    changes.iter().any(|c| matches!(c, Change::Taken(..)))
}

/// Returns the time in milliseconds at which a VM takes the shard whose last
/// heartbeats from `others` arrived at time 0. The VM ticks every 10 ms.
fn takeover_time(me: VmInfo, others: &[VmInfo]) -> Option<u64> {
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for other in others {
        peers.receive(heartbeat(other.clone(), None), at(0));
    }
    let times = (0..3_000).step_by(10);
    times
        .into_iter()
        .find(|ms| has_taken(&peers.tick(&[shard()], at(*ms))))
}

#[test]
fn listens_first() {
    let ms = takeover_time(vm("10.0.0.1:1", "suva-a", 250), &[]).unwrap();
    assert!(ms >= OwnershipConfig::default().listen_time.0, "{ms}");
}

#[test]
fn largest_first() {
    let (small, large) = (
        vm("10.0.0.1:1", "suva-a", 120),
        vm("10.0.0.2:1", "suva-a", 500),
    );
    let first = takeover_time(large.clone(), std::slice::from_ref(&small)).unwrap();
    let second = takeover_time(small, &[large]).unwrap();
    assert!(first < second, "{first} {second}");
}

#[test]
fn home_first() {
    let (home, away) = (
        vm("10.0.0.1:1", "suva-a", 120),
        vm("10.0.0.2:1", "nadi-b", 500),
    );
    let first = takeover_time(home.clone(), std::slice::from_ref(&away)).unwrap();
    // The VM of the other domain waits until the VM of the shard's domain has
    // timed out.
    let second = takeover_time(away, &[home]).unwrap();
    assert!(
        second >= OwnershipConfig::default().idle_timeout.0,
        "{second}"
    );
    assert!(first < second);
}

#[test]
fn owner_timeout() {
    let (me, owner) = (
        vm("10.0.0.1:1", "suva-a", 250),
        vm("10.0.0.2:1", "suva-a", 250),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let sent = heartbeat(owner.clone(), Some(claim(&owner, 3)));
    for ms in (0..2_000).step_by(100) {
        peers.receive(sent.clone(), at(ms));
        assert!(!has_taken(&peers.tick(&[shard()], at(ms))));
    }
    let mut changes = Vec::new();
    for ms in (2_000..3_000).step_by(25) {
        changes.extend(peers.tick(&[shard()], at(ms)));
    }
    let lost = Change::OwnerLost(shard(), owner.addr);
    assert!(changes.contains(&lost));
    assert!(changes.contains(&Change::Taken(shard(), Epoch(4))));
}

#[test]
fn higher_epoch() {
    let (me, other) = (
        vm("10.0.0.9:1", "suva-a", 250),
        vm("10.0.0.2:1", "suva-a", 250),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.accept(&shard());
    // At the same epoch the claim of the lower address loses; a claim of a
    // higher epoch wins.
    let equal = heartbeat(other.clone(), Some(claim(&other, 1)));
    assert!(peers.receive(equal, at(10)).is_empty());
    let later = heartbeat(other.clone(), Some(claim(&other, 2)));
    let changes = peers.receive(later, at(20));
    assert_eq!(changes, [Change::Yielded(shard(), other.addr)]);
    assert!(!peers.owns(&shard()));
}

#[test]
fn larger_claim() {
    // At a cold start several VMs take a shard before their heartbeats arrive.
    // The smallest must not keep it because of its address.
    let (me, other) = (
        vm("10.0.0.9:1", "suva-a", 120),
        vm("10.0.0.2:1", "suva-a", 500),
    );
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.accept(&shard());
    let changes = peers.receive(heartbeat(other.clone(), Some(claim(&other, 1))), at(10));
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
    let home = heartbeat(other.clone(), Some(claim(&other, 1)));
    let changes = peers.receive(home, at(20));
    assert_eq!(changes, [Change::Yielded(shard(), other.addr)]);
}

#[test]
fn distinct_ranks() {
    // Each VM of a domain has a rank of its own, so that only a few VMs of a
    // large domain keep the register.
    let vms = (1..=100).map(|i| vm(&format!("10.0.0.{i}:1"), "suva-a", 250));
    let vms: Vec<_> = vms.collect();
    let ranks = vms.iter().map(|me| {
        let mut peers = Peers::new(OwnershipConfig::default(), me.clone(), at(0));
        for other in vms.iter().filter(|other| *other != me) {
            peers.receive(heartbeat(other.clone(), None), at(0));
        }
        peers.rank(&shard(), at(10))
    });
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..100).collect::<Vec<_>>());
}

#[test]
fn successor_order() {
    let me = vm("10.0.0.1:1", "suva-a", 250);
    let mut leaving = vm("10.0.0.2:1", "suva-a", 500);
    leaving.leaving = true;
    let small = vm("10.0.0.3:1", "suva-a", 120);
    let away = vm("10.0.0.4:1", "nadi-b", 500);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for other in [&leaving, &small, &away] {
        peers.receive(heartbeat(other.clone(), None), at(0));
    }
    let next = |anywhere| {
        peers
            .successor(&shard(), anywhere, at(10))
            .map(|vm| vm.addr)
    };
    assert_eq!(next(false), Some(small.addr));
    assert_eq!(next(true), Some(small.addr));
}

/// Lets a VM take its shard, and another VM take all 4 minions at 1.5 s. The
/// heartbeats of the other VM arrive at the times `received`. Returns the times
/// in milliseconds at which the shard is given up and taken again, up to 30 s.
fn contest(received: &[u64]) -> (Option<u64>, Option<u64>) {
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let other = vm("10.0.0.1:1", "nadi-b", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    peers.receive(heartbeat(other.clone(), None), at(0));
    let mut yielded = None;
    let mut retaken = None;
    for ms in (0..30_000).step_by(10) {
        if received.contains(&ms) {
            peers.receive(heartbeat(other.clone(), None), at(ms));
        }
        if ms == 1_500 {
            (0..4).for_each(|_| peers.record_loss(&shard(), 4, at(ms)));
        }
        let changes = peers.tick(&[shard()], at(ms));
        if changes.contains(&Change::Contested(shard())) {
            yielded = yielded.or(Some(ms));
        }
        if yielded.is_some() && has_taken(&changes) {
            retaken = retaken.or(Some(ms));
        }
    }
    (yielded, retaken)
}

#[test]
fn isolated_yields() {
    // The last heartbeat came more than 1.1 s before the minions were taken.
    assert_eq!(contest(&[]), (Some(1_500), Some(3_500)));
}

#[test]
fn connected_keeps() {
    let received: Vec<u64> = (0..30_000).step_by(500).collect();
    assert_eq!(contest(&received), (None, None));
}

#[test]
fn yields_longer() {
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let mut taken = Vec::new();
    for ms in (0..20_000).step_by(10) {
        let changes = peers.tick(&[shard()], at(ms));
        if has_taken(&changes) {
            taken.push(ms);
        }
        // Another VM takes the minions back after 800 ms.
        if taken.last().is_some_and(|at| at + 800 == ms) {
            (0..4).for_each(|_| peers.record_loss(&shard(), 4, at(ms)));
        }
    }
    let gaps: Vec<_> = taken.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(gaps, [2_810, 4_810, 8_810]);
}

#[test]
fn minority_isolated() {
    let isolated = |me: &str, reached: &[&str], unreached: &[&str]| {
        let me = vm(me, "suva-a", 250);
        let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
        for addr in reached.iter().chain(unreached) {
            peers.receive(heartbeat(vm(addr, "nadi-b", 250), None), at(0));
        }
        for addr in reached {
            peers.receive(heartbeat(vm(addr, "nadi-b", 250), None), at(2_000));
        }
        peers.is_isolated(at(2_500))
    };
    let (a, b, c, d) = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1");
    // A VM that has never received a heartbeat may be isolated from the start.
    assert!(isolated(a, &[], &[]));
    assert!(isolated(c, &[], &[a, b]));
    assert!(isolated(c, &[d], &[a, b, "10.0.0.5:1"]));
    assert!(!isolated(c, &[d], &[a]));
    // Of two equal halves only one is isolated.
    assert!(!isolated(a, &[b], &[c, d]));
    assert!(isolated(c, &[d], &[a, b]));
}

#[test]
fn owners_lost() {
    // The heartbeats of idle VMs are too rare to show a loss this early, those
    // of owners are not.
    let me = vm("10.1.0.1:1", "suva-a", 250);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    let owner = vm("10.1.0.2:1", "suva-a", 250);
    let other = vm("10.2.0.1:1", "nadi-b", 250);
    let mut second = heartbeat(other.clone(), Some(claim(&other, 1)));
    second.reports[0].shard.domain = "nadi-b".parse().unwrap();
    peers.receive(heartbeat(vm("10.3.0.1:1", "nadi-b", 250), None), at(0));
    peers.receive(heartbeat(owner.clone(), Some(claim(&owner, 1))), at(0));
    peers.receive(second, at(0));
    peers.tick(&[shard()], at(400));
    assert!(!peers.is_isolated(at(400)));
    peers.tick(&[shard()], at(500));
    assert!(peers.is_isolated(at(500)));
}

/// Returns the time in milliseconds at which an owner of the given domain and
/// size should hand its shard to a VM of the shard's domain whose heartbeats
/// arrive from 2 s on.
fn handover_time(me: (&str, u32), other: u32) -> Option<u64> {
    let me = vm("10.1.0.1:1", me.0, me.1);
    let other = vm("10.1.0.2:1", "suva-a", other);
    let mut peers = Peers::new(OwnershipConfig::default(), me, at(0));
    for ms in (0..10_000).step_by(100) {
        if ms >= 2_000 {
            peers.receive(heartbeat(other.clone(), None), at(ms));
        }
        if peers.better_owner(&shard(), at(ms)).is_some() {
            return Some(ms);
        }
    }
    None
}

#[test]
fn larger_owner() {
    assert_eq!(handover_time(("suva-a", 100), 250), Some(5_000));
    assert_eq!(handover_time(("suva-a", 200), 250), None);
}

#[test]
fn home_owner() {
    assert_eq!(handover_time(("nadi-b", 500), 100), Some(5_000));
}
