//! Tests that a plan depends on its seed alone, and that plans contain every kind
//! of fault.

use std::collections::BTreeSet;

use kernel::Millis;
use soak::{Fault, Plan, Shape, Step};

const SHAPE: Shape = Shape {
    domains: 2,
    vms: 5,
    minions: 4,
};

#[test]
fn same_seed() {
    let draw = |seed| Plan::draw(seed, SHAPE, Millis(12_000));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7).steps, draw(8).steps);
}

#[test]
fn all_kinds() {
    let plans = (0..60).map(|seed| Plan::draw(seed, SHAPE, Millis(12_000)));
    let steps: Vec<_> = plans.flat_map(|p| p.steps).collect();
    let kinds: BTreeSet<_> = steps.iter().map(|s| s.fault.kind()).collect();
    assert_eq!(kinds.len(), 24, "{kinds:?}");
}

#[test]
fn only_fault() {
    let step = |at, span, fault| Step {
        at: Millis(at),
        span: Millis(span),
        fault,
    };
    let plan = Plan {
        seed: 0,
        shape: SHAPE,
        span: Millis(60_000),
        steps: vec![
            step(1_000, 1_000, Fault::Compact),
            step(10_000, 500, Fault::Stop(0)),
            step(18_000, 500, Fault::Stop(1)),
        ],
    };
    let only_fault = |index| plan.is_only_fault(index, Millis(3_000), Millis(7_000));
    assert!(only_fault(1));
    // Another fault is in force shortly before the step, or shortly after it.
    assert!(!plan.is_only_fault(1, Millis(8_500), Millis(7_000)));
    assert!(!plan.is_only_fault(1, Millis(3_000), Millis(8_000)));
    assert!(only_fault(2));
}
