//! Tests that heartbeats take a bounded part of links and processors, whatever
//! the number of VMs, and that timeouts follow the announced intervals.

use std::net::SocketAddr;

use kernel::{BitRate, Epoch, Incarnation, Millis, Offset, Timestamp};
use ownership::{
    Broadcast, Change, Claim, Heartbeat, OwnershipConfig, Peers, Report, Shard, VmInfo,
};
use schedule::{EvidenceReport, Load};

fn broadcast(peers: usize, owners: usize, is_owner: bool, megabits: u64) -> u64 {
    let broadcast = Broadcast {
        peers,
        owners,
        is_owner,
        bytes: 150,
        link: BitRate(megabits * 1_000_000),
    };
    broadcast.interval(&OwnershipConfig::default()).0
}

#[test]
fn few_vms() {
    assert_eq!(broadcast(8, 3, true, 1_000), 100);
    assert_eq!(broadcast(8, 3, false, 1_000), 500);
}

#[test]
fn bounded_rates() {
    for (peers, owners, megabits) in [(146, 5, 25), (146, 40, 2), (827, 100, 25), (299, 60, 8)] {
        let owner = broadcast(peers, owners, true, megabits);
        let idle = broadcast(peers, owners, false, megabits);
        // A sixteenth of the link, give or take rounding.
        for interval in [owner, idle] {
            let bits = peers as u64 * (150 + 28) * 8 * 1_000 / interval;
            assert!(bits <= megabits * 1_000_000 / 15, "{peers} {bits}");
        }
        assert!(peers as u64 * 1_000 / idle <= 202, "{peers} {idle}");
        assert!(owners as u64 * 1_000 / owner <= 102, "{owners} {owner}");
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn vm(number: u8) -> VmInfo {
    VmInfo {
        addr: SocketAddr::from(([10, 0, 0, number], 1)),
        domain: "suva-a".parse().unwrap(),
        share: 250,
        room: 100,
        incarnation: "0123456789abcdef0123456789abcdef"
            .parse::<Incarnation>()
            .unwrap(),
        leaving: false,
    }
}

/// Returns the time in milliseconds at which an owner counts as lost whose only
/// heartbeat announced the next after `interval`.
fn lost_after(interval: u64) -> Option<u64> {
    let shard = Shard {
        domain: "suva-a".parse().unwrap(),
        index: 0,
        count: 1,
    };
    let owner = vm(2);
    let claim = Claim {
        home: true,
        epoch: Epoch(1),
        share: owner.share,
        addr: owner.addr,
    };
    let mut peers = Peers::new(OwnershipConfig::default(), vm(1), at(0));
    let heartbeat = Heartbeat {
        from: owner.clone(),
        interval: Millis(interval),
        version: 1,
        reports: vec![Report {
            shard: shard.clone(),
            claim,
            load: Load::default(),
        }],
        known: Vec::new(),
        evacuations: Offset(0),
        evidence: EvidenceReport::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
    };
    peers.receive(heartbeat, at(0));
    let lost = Change::OwnerLost(shard, owner.addr);
    (0..20_000)
        .step_by(10)
        .find(|ms| peers.tick(&[], at(*ms)).contains(&lost))
}

#[test]
fn announced_interval() {
    assert_eq!(lost_after(100), Some(450));
    assert_eq!(lost_after(1_000), Some(4_500));
}

#[test]
fn fresh_addresses() {
    let mut peers = Peers::new(OwnershipConfig::default(), vm(1), at(0));
    peers.add_address([10, 0, 0, 2].into(), at(0));
    peers.add_address([10, 0, 0, 3].into(), at(0));
    let heard = Heartbeat {
        from: vm(3),
        interval: Millis(500),
        version: 1,
        reports: Vec::new(),
        known: vec![[10, 0, 0, 2].into()],
        evacuations: Offset(0),
        evidence: EvidenceReport::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
    };
    peers.receive(heard, at(1));
    // The VM that was heard needs no greeting, a known one no second.
    assert_eq!(peers.take_fresh(), [std::net::Ipv4Addr::new(10, 0, 0, 2)]);
    assert!(peers.take_fresh().is_empty());
}

#[test]
fn sign_of_life() {
    let mut peers = Peers::new(OwnershipConfig::default(), vm(1), at(0));
    let addr = vm(2).addr;
    peers.refresh(addr, at(1_000));
    assert!(peers.within_timeout(addr, at(0), at(1_400)));
    assert!(!peers.within_timeout(addr, at(0), at(1_500)));
    // Heartbeats at the shortest interval are expected only from the call on.
    assert!(peers.within_timeout(addr, at(1_200), at(1_500)));
}
