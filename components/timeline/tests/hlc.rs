//! Tests that stamps are in causal order.

use kernel::Millis;
use proptest::prelude::*;
use timeline::{Hlc, MAX_DRIFT, Stamp};

/// A step in a run of three processes whose wall clocks differ.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A process takes a stamp.
    Local(usize),
    /// The first process sends a message to the second.
    Send(usize, usize),
    /// The wall clock of a process advances by some milliseconds.
    Tick(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize).prop_map(Step::Local),
        (0..3usize, 0..3usize).prop_map(|(a, b)| Step::Send(a, b)),
        (0..3usize, 0..50u64).prop_map(|(a, ms)| Step::Tick(a, ms)),
    ]
}

proptest! {
    #[test]
    fn receipt_after_sending(
        mut walls in prop::array::uniform3(1_000_000u64..1_030_000),
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let clocks = [Hlc::default(), Hlc::default(), Hlc::default()];
        let mut last = [Stamp::default(); 3];
        for step in steps {
            let (at, stamp, floor) = match step {
                Step::Tick(a, ms) => {
                    walls[a] += ms;
                    continue;
                }
                Step::Local(a) => (a, clocks[a].stamp(Millis(walls[a])), last[a]),
                Step::Send(a, b) => {
                    let sent = clocks[a].stamp(Millis(walls[a]));
                    prop_assert!(sent > last[a]);
                    last[a] = sent;
                    (b, clocks[b].merge(sent, Millis(walls[b])), sent.max(last[b]))
                }
            };
            prop_assert!(stamp > floor);
            last[at] = stamp;
        }
    }

    #[test]
    fn stamp_round_trip(wall in 0..1u64 << 48, count in any::<u16>()) {
        let stamp = Stamp { wall: Millis(wall), count };
        prop_assert_eq!(stamp.to_string().parse(), Ok(stamp));
    }
}

#[test]
fn wall_backwards() {
    let clock = Hlc::default();
    let first = clock.stamp(Millis(5000));
    assert!(clock.stamp(Millis(10)) > first);
}

#[test]
fn count_overflow() {
    let clock = Hlc::default();
    let mut last = clock.stamp(Millis(1));
    for _ in 0..200_000 {
        let next = clock.stamp(Millis(1));
        assert!(next > last);
        last = next;
    }
    assert_eq!(last.wall, Millis(4));
}

#[test]
fn peer_clock_wrong() {
    let clock = Hlc::default();
    let wall = Millis(1_000_000);
    let far = Stamp {
        wall: Millis(wall.0 + MAX_DRIFT.0 + 1),
        count: 0,
    };
    assert_eq!(clock.merge(far, wall).wall, wall);
}
