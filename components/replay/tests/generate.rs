//! Random traces are of the format, and their seed tells them.

use kernel::Millis;
use proptest::prelude::*;
use replay::{Trace, generate};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn always_parse(seed in any::<u64>()) {
        let text = generate(seed, Millis(4_000));
        let trace = text.parse::<Trace>();
        prop_assert!(trace.is_ok(), "{:?}", trace.err());
        prop_assert_eq!(generate(seed, Millis(4_000)), text);
    }
}
