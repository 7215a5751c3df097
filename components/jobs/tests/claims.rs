//! Every reader of the log sees the same owner of a key, by the log's order.

use jobs::{ClaimRecord, Claims, Decisions, KeyHash, KeyState, Owner, Release};
use kernel::{Incarnation, Offset};
use proptest::prelude::*;

fn owner(n: u128) -> Owner {
    let incarnation: Incarnation = format!("{n:032x}").parse().unwrap();
    Owner {
        incarnation,
        vm: format!("a/vm-{n}").parse().unwrap(),
    }
}

fn claim(by: u128, keys: &[u128]) -> String {
    let record = ClaimRecord::Claim {
        by: owner(by),
        keys: keys.iter().copied().map(KeyHash).collect(),
    };
    serde_json::to_string(&record).unwrap()
}

fn release(by: u128, key: u128, claim: u64) -> String {
    let record = ClaimRecord::Release {
        by: owner(by),
        keys: vec![Release {
            key: KeyHash(key),
            claim: Offset(claim),
        }],
    };
    serde_json::to_string(&record).unwrap()
}

fn apply(claims: &mut Claims, records: &[String]) -> Vec<Decisions> {
    let from = claims.next().0;
    let numbered = records.iter().zip(from..);
    numbered
        .map(|(text, offset)| claims.apply(Offset(offset), text).unwrap())
        .collect()
}

#[test]
fn first_wins() {
    let mut claims = Claims::new(owner(1), 100);
    claims.wait_for(KeyHash(7));
    let decisions = apply(&mut claims, &[claim(2, &[7]), claim(1, &[7])]);
    assert_eq!(decisions[0].lost, [(KeyHash(7), owner(2))]);
    assert_eq!(decisions[1], Decisions::default());
}

#[test]
fn late_claim_released() {
    let mut claims = Claims::new(owner(1), 100);
    claims.wait_for(KeyHash(7));
    claims.stop_waiting(KeyHash(7));
    let decisions = apply(&mut claims, &[claim(1, &[7])]);
    assert_eq!(decisions[0].unwanted.len(), 1);
    assert!(claims.is_releasing(KeyHash(7)));
    apply(&mut claims, &[release(1, 7, 0), claim(2, &[7])]);
    assert!(!claims.is_releasing(KeyHash(7)));
    assert_eq!(claims.owner(KeyHash(7)), Some(&owner(2)));
}

#[test]
fn releasing_refused() {
    let mut claims = Claims::new(owner(1), 100);
    assert_eq!(claims.wait_for(KeyHash(7)), KeyState::Waiting);
    claims.stop_waiting(KeyHash(7));
    apply(&mut claims, &[claim(1, &[7])]);
    // After the pending release, another VM may own the key.
    assert_eq!(claims.wait_for(KeyHash(7)), KeyState::Releasing);
    apply(&mut claims, &[release(1, 7, 0)]);
    assert_eq!(claims.wait_for(KeyHash(7)), KeyState::Waiting);
}

#[test]
fn older_coverage() {
    let mut peer = Claims::new(owner(2), 100);
    peer.skip_to(Offset(10));
    apply(&mut peer, &[claim(2, &[7]), claim(3, &[8])]);
    let mut fresh = Claims::new(owner(1), 100);
    assert!(fresh.import(&peer.export()).is_none());
    fresh.skip_to(Offset(10));
    assert!(fresh.import(&peer.export()).is_some());
    assert_eq!(fresh.owner(KeyHash(7)), Some(&owner(2)));
}

#[test]
fn stale_release() {
    let mut claims = Claims::new(owner(3), 100);
    let records = [
        claim(1, &[7]),
        release(1, 7, 0),
        claim(1, &[7]),
        release(1, 7, 0),
    ];
    apply(&mut claims, &records);
    assert_eq!(claims.owner(KeyHash(7)), Some(&owner(1)));
}

#[test]
fn foreign_release() {
    let mut claims = Claims::new(owner(3), 100);
    apply(&mut claims, &[claim(1, &[7]), release(2, 7, 0)]);
    assert_eq!(claims.owner(KeyHash(7)), Some(&owner(1)));
}

#[test]
fn import_keeps_running() {
    let mut mine = Claims::new(owner(1), 100);
    mine.wait_for(KeyHash(7));
    let records = [claim(1, &[7]), claim(2, &[8])];
    apply(&mut mine, &records[..1]);
    let mut peer = Claims::new(owner(2), 100);
    apply(&mut peer, &records);
    let decisions = mine.import(&peer.export()).unwrap();
    assert_eq!(
        decisions.unwanted,
        [],
        "the claim of a running job was released"
    );
    assert!(!mine.is_releasing(KeyHash(7)));
    assert_eq!(mine.owner(KeyHash(8)), Some(&owner(2)));
}

#[test]
fn malformed_skipped() {
    let mut claims = Claims::new(owner(1), 100);
    assert!(claims.apply(Offset(0), "{\"claim\":3}").is_err());
    apply(&mut claims, &[claim(2, &[7])]);
    assert_eq!(claims.owner(KeyHash(7)), Some(&owner(2)));
}

fn records() -> impl Strategy<Value = Vec<String>> {
    let one =
        (0..3u32, 1..4u128, 0..5u128, 0..40u64).prop_map(|(kind, by, key, offset)| match kind {
            0 => release(by, key, offset),
            _ => claim(by, &[key, (key + by) % 5]),
        });
    proptest::collection::vec(one, 1..40)
}

proptest! {
    #[test]
    fn readers_agree(records in records(), split in 0usize..40) {
        let mut complete = Claims::new(owner(1), 1000);
        apply(&mut complete, &records);
        let split = split.min(records.len());
        let mut peer = Claims::new(owner(2), 1000);
        apply(&mut peer, &records[..split]);
        let mut joined = Claims::new(owner(3), 1000);
        joined.import(&peer.export());
        let read = joined.next().0 as usize;
        apply(&mut joined, &records[read..]);
        for key in (0..5).map(KeyHash) {
            prop_assert_eq!(complete.owner(key), joined.owner(key));
        }
    }

    #[test]
    fn one_winner(records in records()) {
        let mut readers: Vec<_> = (1..4).map(|n| Claims::new(owner(n), 1000)).collect();
        for reader in &mut readers {
            for key in (0..5).map(KeyHash) {
                reader.wait_for(key);
            }
        }
        let mut won = vec![0; 5];
        for reader in &mut readers {
            for decisions in apply(reader, &records) {
                decisions.won.iter().for_each(|key| won[key.0 as usize] += 1);
            }
        }
        prop_assert!(won.iter().all(|n| *n <= 1), "{won:?}");
    }
}
