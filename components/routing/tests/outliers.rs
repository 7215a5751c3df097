//! Failing and slow minions are ejected and readmitted after a successful
//! probe.

mod common;

use common::*;
use proptest::prelude::*;
use routing::{Balanced, Finish, Fleet, Mode};

fn mode(fleet: &Fleet<Balanced>, i: usize) -> Mode {
    fleet.status()[i].mode
}

#[test]
fn eject_failing() {
    let fleet = fleet(Balanced, &minions("a", 10));
    let bad = minion("a", 3).id;
    for _ in 0..2 {
        let slot = take_on(&fleet, &bad, 0).expect("not ejected yet");
        fail(slot, 0);
    }
    assert_eq!(mode(&fleet, 3), Mode::Ejected);
    assert!(take_on(&fleet, &bad, 100).is_none());
}

#[test]
fn one_probe() {
    let fleet = fleet(Balanced, &minions("a", 10));
    let bad = minion("a", 3).id;
    for _ in 0..2 {
        fail(take_on(&fleet, &bad, 0).unwrap(), 0);
    }
    let later = 10_001;
    let probe = take_on(&fleet, &bad, later).expect("a probe");
    assert!(take_on(&fleet, &bad, later).is_none());
    fail(probe, later);
    assert!(
        take_on(&fleet, &bad, later + 10_001).is_none(),
        "the hold doubles"
    );
    let probe = take_on(&fleet, &bad, later + 20_001).expect("a second probe");
    good(probe, later + 20_200);
    assert_eq!(mode(&fleet, 3), Mode::Normal);
}

#[test]
fn shared_evidence() {
    let all = minions("a", 10);
    let (one, two) = (fleet(Balanced, &all), fleet(Balanced, &all));
    one.set_peers(0, 2);
    two.set_peers(1, 2);
    let bad = minion("a", 3).id;
    for fleet in [&one, &two] {
        fail(take_on(fleet, &bad, 0).unwrap(), 0);
        assert_eq!(mode(fleet, 3), Mode::Suspect);
    }
    two.apply_digest(&vm(0), &one.digest(ms(1)), ms(1));
    assert_eq!(mode(&two, 3), Mode::Ejected);
    one.apply_digest(&vm(1), &two.digest(ms(2)), ms(2));
    assert_eq!(mode(&one, 3), Mode::Ejected);
}

#[test]
fn eject_slow() {
    let fleet = fleet(Balanced, &minions("a", 10));
    let slow = minion("a", 3).id;
    let slots: Vec<_> = (0..4).filter_map(|_| take_on(&fleet, &slow, 0)).collect();
    assert_eq!(slots.len(), 4);
    for slot in slots {
        slot.finish(Finish::Answered { run: 4_000_000 }, ms(4000));
    }
    assert_eq!(mode(&fleet, 3), Mode::Ejected);
}

#[test]
fn suspect_stuck() {
    let fleet = fleet(Balanced, &minions("a", 10));
    let stuck = minion("a", 3).id;
    let held: Vec<_> = (0..3).filter_map(|_| take_on(&fleet, &stuck, 0)).collect();
    fleet.digest(ms(2000));
    assert_eq!(mode(&fleet, 3), Mode::Suspect);
    assert!(take_on(&fleet, &stuck, 2000).is_none());
    for slot in held {
        good(slot, 2100);
    }
    assert_eq!(mode(&fleet, 3), Mode::Normal);
}

#[test]
fn new_address() {
    let fleet = fleet(Balanced, &minions("a", 10));
    let bad = minion("a", 3).id;
    for _ in 0..2 {
        fail(take_on(&fleet, &bad, 0).unwrap(), 0);
    }
    fleet.update(&minions("a", 10));
    assert_eq!(mode(&fleet, 3), Mode::Ejected);
    let mut moved = minions("a", 10);
    moved[3].addr.set_port(7000);
    fleet.update(&moved);
    assert_eq!(mode(&fleet, 3), Mode::Normal);
}

proptest! {
    /// Whichever tasks fail, most minions of the domain stay in use.
    #[test]
    fn most_stay(ends in prop::collection::vec((0..12usize, any::<bool>()), 1..300)) {
        let fleet = fleet(Balanced, &minions("a", 12));
        for (now, (i, ok)) in ends.into_iter().enumerate() {
            let now = now as u64;
            let Some(slot) = take_on(&fleet, &minion("a", i).id, now) else {
                continue;
            };
            if ok { good(slot, now) } else { fail(slot, now) }
            fleet.digest(ms(now));
            let ejected = fleet.status().iter().filter(|r| r.mode == Mode::Ejected).count();
            prop_assert!(ejected <= 3);
            prop_assert!(take(&fleet, now).is_ok());
        }
    }
}
