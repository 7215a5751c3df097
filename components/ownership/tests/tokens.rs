//! Tests of fencing tokens.

use std::net::Ipv4Addr;

use kernel::Millis;
use ownership::Tokens;
use proptest::prelude::*;

/// A time of day in 2026, in milliseconds of Unix time.
const START: Millis = Millis(1_796_342_400_000);

#[test]
fn unique_rising() {
    let mut a = Tokens::new(Ipv4Addr::new(10, 1, 0, 13), START);
    let mut b = Tokens::new(Ipv4Addr::new(10, 2, 0, 13), START);
    let mut last = None;
    for _ in 0..1_000 {
        let (x, y) = (a.mint(), b.mint());
        assert_ne!(x, y);
        assert!(last.is_none_or(|l| x > l));
        last = Some(x);
    }
}

#[test]
fn exact_numbers() {
    // JSON parsers read integers below 2^53 exactly.
    let token = Tokens::new(Ipv4Addr::BROADCAST, START).mint();
    assert!(token.0 < 1 << 53, "{token}");
}

proptest! {
    /// A VM whose clock is up to two hours late finds a token that a minion
    /// accepts within 130 tries.
    #[test]
    fn wrong_clock(behind in 0_u64..7_200_000) {
        let mut ahead = Tokens::new(Ipv4Addr::new(10, 1, 0, 13), START);
        let seen = ahead.mint();
        let mut late = Tokens::new(Ipv4Addr::new(10, 1, 0, 14), Millis(START.0 - behind));
        let mut token = late.mint();
        let mut tries = 0;
        while token <= seen {
            tries += 1;
            token = late.above(token, tries);
        }
        prop_assert!(tries <= 130, "{tries}");
    }
}
