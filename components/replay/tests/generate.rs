//! Tests that random traces are valid and depend only on their seed.

use kernel::Millis;
use proptest::prelude::*;
use replay::{Trace, generate};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn valid_and_repeatable(seed in any::<u64>()) {
        let text = generate(seed, Millis(4_000));
        let trace = text.parse::<Trace>();
        prop_assert!(trace.is_ok(), "{:?}", trace.err());
        prop_assert_eq!(generate(seed, Millis(4_000)), text);
    }
}
