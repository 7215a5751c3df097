//! Tests how a domain's minions are divided among VMs of different sizes.

use std::net::SocketAddr;

use kernel::{BitRate, Incarnation, MilliCores, Millis, Offset, Timestamp};
use ownership::{Change, Heartbeat, OwnershipConfig, Peers, Room, Shard, VmInfo, shard_of};

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn vm(number: u8, room: u32) -> VmInfo {
    VmInfo {
        addr: SocketAddr::from(([10, 0, 0, number], 1)),
        domain: "suva-a".parse().unwrap(),
        share: 100,
        room,
        incarnation: "0123456789abcdef0123456789abcdef"
            .parse::<Incarnation>()
            .unwrap(),
        leaving: false,
    }
}

fn shard(index: u16, count: u16) -> Shard {
    Shard {
        domain: "suva-a".parse().unwrap(),
        index,
        count,
    }
}

/// Returns what a VM knows that has heard from the other VMs of its domain.
fn peers(me: &VmInfo, all: &[VmInfo], minions: u32) -> Peers {
    let mut peers = Peers::new(OwnershipConfig::default(), me.clone(), at(0));
    peers.set_minions([(me.domain.clone(), minions)].into_iter().collect());
    for other in all.iter().filter(|vm| vm.addr != me.addr) {
        peers.receive(
            heartbeat(
                other,
                &Peers::new(OwnershipConfig::default(), other.clone(), at(0)),
            ),
            at(0),
        );
    }
    peers
}

fn heartbeat(from: &VmInfo, state: &Peers) -> Heartbeat {
    let reports = state.claims().map(|(shard, claim)| ownership::Report {
        shard: shard.clone(),
        claim: *claim,
        load: schedule::Load::default(),
    });
    Heartbeat {
        from: from.clone(),
        interval: Millis(100),
        version: 1,
        reports: reports.collect(),
        known: Vec::new(),
        evacuations: Offset(0),
        evidence: schedule::EvidenceReport::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
    }
}

fn division(rooms: &[u32], minions: u32) -> usize {
    let all: Vec<_> = rooms.iter().zip(1..).map(|(r, n)| vm(n, *r)).collect();
    let peers = peers(&all[0], &all, minions);
    peers.shards(&all[0].domain, 1, at(10)).len()
}

#[test]
fn by_room() {
    assert_eq!(division(&[300, 80, 80], 220), 1);
    assert_eq!(division(&[80; 4], 220), 4);
    assert_eq!(division(&[12; 4], 24), 2);
    // A VM that knows no other does not divide.
    assert_eq!(division(&[80], 220), 1);
}

#[test]
fn too_little_room() {
    // Not even all VMs together have room. A single owner of all minions would
    // exceed its room the most, so the domain has a shard for each VM.
    assert_eq!(division(&[10, 10], 24), 2);
    assert_eq!(division(&[12; 7], 88), 8);
    assert_eq!(division(&[1; 40], 88), 8);
    let all: Vec<_> = (1..=7).map(|n| vm(n, 12)).collect();
    let fleet = settle(&all, 88);
    let counts = fleet.iter().map(|(_, state)| state.claims().count());
    let counts: Vec<_> = counts.collect();
    assert_eq!(counts.iter().sum::<usize>(), 8);
    assert!(counts.iter().all(|n| (1..=2).contains(n)), "{counts:?}");
}

#[test]
fn busy_link() {
    // An owner behind a full link holds few of its minions. It must divide its
    // shard and hand a half over, which an owner that is cut off from its
    // minions, and whose link is idle, must not.
    let all = [vm(1, 12), vm(2, 12)];
    let mut me = peers(&all[0], &all, 40);
    let idle = Peers::new(OwnershipConfig::default(), all[1].clone(), at(0));
    me.accept(&shard(0, 1));
    me.set_held(&shard(0, 1), 3);
    me.receive(heartbeat(&all[1], &idle), at(900));
    assert_eq!(me.too_large(at(1_000)), None);
    assert_eq!(me.better_owner(&shard(0, 1), at(1_000)), None);
    me.set_link_busy(true);
    assert_eq!(me.too_large(at(1_000)), Some(shard(0, 1)));
    let [_, half] = me.divide(&shard(0, 1)).unwrap();
    assert_eq!(me.better_owner(&half, at(1_000)), Some(all[1].addr));
    // Neither VM has room for its half. It stays there.
    me.hand_over(&half, all[1].addr, at(1_000));
    assert_eq!(me.better_owner(&shard(0, 2), at(1_000)), None);
    assert_eq!(me.too_large(at(1_000)), None);
}

/// Lets a VM hold all minions of its shards, which have equal sizes.
fn hold_all(state: &mut Peers, minions: u32) {
    let claims: Vec<_> = state.claims().map(|(s, _)| s.clone()).collect();
    for shard in claims {
        state.set_held(&shard, minions / u32::from(shard.count));
    }
}

/// Lets all VMs decide on their own, with heartbeats that arrive at once, and
/// returns what each owns after some seconds.
fn settle(all: &[VmInfo], minions: u32) -> Vec<(VmInfo, Peers)> {
    let mut fleet: Vec<_> = all
        .iter()
        .map(|me| (me.clone(), peers(me, all, minions)))
        .collect();
    for ms in (500..6_000).step_by(25) {
        for i in 0..fleet.len() {
            let (me, state) = &mut fleet[i];
            let shards = state.shards(&me.domain, 1, at(ms));
            state.tick(&shards, at(ms));
            hold_all(state, minions);
            if let Some(large) = state.too_large(at(ms)) {
                state.divide(&large);
            }
            let sent = heartbeat(me, state);
            let handed = state
                .claims()
                .find_map(|(s, _)| Some((s.clone(), state.better_owner(s, at(ms))?)));
            for (_, other) in fleet.iter_mut() {
                other.receive(sent.clone(), at(ms));
            }
            if let Some((shard, to)) = handed {
                fleet[i].1.hand_over(&shard, to, at(ms));
                let next = fleet.iter_mut().find(|(vm, _)| vm.addr == to).unwrap();
                next.1.accept(&shard);
            }
        }
    }
    fleet
}

#[test]
fn one_owner_each() {
    let all: Vec<_> = (1..=40).map(|n| vm(n, 20)).collect();
    let fleet = settle(&all, 220);
    let mut owned: Vec<_> = fleet
        .iter()
        .flat_map(|(_, state)| state.claims().map(|(s, _)| s.clone()))
        .collect();
    owned.sort();
    assert_eq!(owned, (0..16).map(|i| shard(i, 16)).collect::<Vec<_>>());
    let most = fleet.iter().map(|(_, state)| state.claims().count()).max();
    assert_eq!(most, Some(1));
}

#[test]
fn whole_domain() {
    let mut all: Vec<_> = (1..=40).map(|n| vm(n, 20)).collect();
    all[7].room = 300;
    all[7].share = 500;
    let fleet = settle(&all, 220);
    let owned: Vec<_> = fleet
        .iter()
        .flat_map(|(vm, state)| state.claims().map(|(s, _)| (vm.addr, s.clone())))
        .collect();
    assert_eq!(owned, [(all[7].addr, shard(0, 1))]);
}

#[test]
fn larger_shard() {
    // At the same epoch the claim of the less divided shard wins, so that a VM
    // that knew few others does not decide the division.
    let all = [vm(1, 300), vm(2, 20)];
    let mut whole = peers(&all[0], &all, 220);
    let mut part = peers(&all[1], &all, 220);
    whole.accept(&shard(0, 1));
    part.accept(&shard(1, 2));
    assert!(whole.receive(heartbeat(&all[1], &part), at(10)).is_empty());
    let changes = part.receive(heartbeat(&all[0], &whole), at(10));
    assert_eq!(changes, [Change::Yielded(shard(1, 2), all[0].addr)]);
}

#[test]
fn later_division() {
    // After a division the claims to the halves win over the one to the whole.
    let all = [vm(1, 100), vm(2, 300)];
    let mut old = peers(&all[1], &all, 220);
    old.accept(&shard(0, 1));
    let mut new = peers(&all[0], &all, 220);
    new.receive(heartbeat(&all[1], &old), at(10));
    new.tick(&[], at(2_600));
    new.accept(&shard(0, 1));
    new.divide(&shard(0, 1));
    let changes = old.receive(heartbeat(&all[0], &new), at(2_700));
    assert!(changes.contains(&Change::Yielded(shard(0, 1), all[0].addr)));
    assert!(!old.owns(&shard(0, 1)));
}

#[test]
fn nested_shards() {
    let minions = (0..200).map(|i| format!("m-{i}").parse().unwrap());
    let domain = "suva-a".parse().unwrap();
    for minion in minions {
        let half = shard_of(&domain, &minion, 8);
        let whole = shard_of(&domain, &minion, 2);
        assert!(half.overlaps(&whole) && whole.overlaps(&half));
        assert_eq!(half.whole().unwrap(), shard_of(&domain, &minion, 4));
        assert!(half.whole().unwrap().halves().contains(&half));
    }
    assert!(!shard(0, 2).overlaps(&shard(3, 4)));
}

#[test]
fn least_resource() {
    let room = |share, megabits: u64, descriptors| {
        let room = Room {
            share: MilliCores(share),
            link: BitRate(megabits * 1_000_000),
            descriptors,
        };
        room.minions()
    };
    assert!(room(500, 200, 8_192) >= 220);
    assert!(room(120, 2, 4_100) < 24);
    assert!(room(120, 1_000, 4_100) < room(500, 1_000, 4_100));
    assert!(room(500, 1_000, 200) < room(500, 1_000, 4_100));
    assert_eq!(room(1, 0, 0), 1);
}

#[test]
fn vacant_anew() {
    // The time for which a half had no owner does not count on after the whole
    // has had one.
    let mut all = [vm(1, 20), vm(2, 300)];
    all[1].share = 500;
    let mut me = peers(&all[0], &all, 24);
    let mut other = peers(&all[1], &all, 24);
    let halves = shard(0, 1).halves();
    assert!(me.tick(&halves, at(600)).is_empty());
    other.accept(&shard(0, 1));
    for ms in (700..3_000).step_by(100) {
        me.receive(heartbeat(&all[1], &other), at(ms));
        assert!(me.tick(&halves, at(ms)).is_empty());
    }
    let idle = Peers::new(OwnershipConfig::default(), all[1].clone(), at(0));
    me.receive(heartbeat(&all[1], &idle), at(3_000));
    assert!(me.tick(&halves, at(3_000)).is_empty());
    assert!(!me.tick(&halves, at(3_200)).is_empty());
}

#[test]
fn garbled_report() {
    // A report of a shard that can't exist must not reach the division.
    let all = [vm(1, 20), vm(2, 300)];
    let other = peers(&all[1], &all, 24);
    for (index, count) in [(0, 0), (2, 2), (0, 3), (9, 32_768), (0, u16::MAX)] {
        let mut me = peers(&all[0], &all, 24);
        let mut sent = heartbeat(&all[1], &other);
        sent.interval = Millis(u64::MAX);
        sent.reports.push(ownership::Report {
            shard: shard(index, count),
            claim: ownership::Claim {
                home: true,
                epoch: ownership::Epoch(9),
                share: 100,
                addr: all[1].addr,
            },
            load: schedule::Load::default(),
        });
        assert!(me.receive(sent, at(10)).is_empty(), "{index} of {count}");
        assert_eq!(me.owners().count(), 0, "{index} of {count}");
        me.tick(&[], at(20));
        // Nor does an absurd interval keep a silent VM alive.
        me.tick(&[], at(60_000));
        assert_eq!(me.alive(at(60_000)).count(), 0);
    }
}

#[test]
fn unreachable_minions() {
    // A VM of a domain that is cut off takes the shards of the others, whose
    // minions it does not reach. It keeps its own shard, which it serves.
    let mut all = [vm(1, 300), vm(2, 300)];
    all[1].share = 90;
    let away = Shard {
        domain: "nadi-b".parse().unwrap(),
        ..shard(0, 1)
    };
    let mut me = peers(&all[0], &all, 220);
    let counts = [(all[0].domain.clone(), 220), (away.domain.clone(), 220)];
    me.set_minions(counts.into_iter().collect());
    me.accept(&shard(0, 1));
    me.accept(&away);
    me.set_held(&shard(0, 1), 220);
    let idle = Peers::new(OwnershipConfig::default(), all[1].clone(), at(0));
    for ms in [1_900, 3_800] {
        me.receive(heartbeat(&all[1], &idle), at(ms));
    }
    assert_eq!(me.better_owner(&shard(0, 1), at(4_000)), None);
    // If it holds them, it has too little room.
    me.set_held(&away, 220);
    assert_eq!(me.better_owner(&shard(0, 1), at(4_000)), Some(all[1].addr));
}
