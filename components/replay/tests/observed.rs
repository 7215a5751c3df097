//! Tests that invariant violations counted by VMs are kept.

use replay::{Observed, VmStatus};
use serde_json::json;

fn status(incarnation: &str, double_starts: u64) -> VmStatus {
    let body = json!({
        "vm": "a/vm-0",
        "incarnation": incarnation,
        "ready": true,
        "log": "answers",
        "sheet": null,
        "changes": [],
        "faults": {"double_starts": double_starts, "broken_slots": 0},
    });
    serde_json::from_value(body).unwrap()
}

#[test]
fn zero_counts() {
    let mut observed = Observed::default();
    observed.record(&status("one", 0));
    assert!(observed.violations().is_empty());
}

#[test]
fn earlier_incarnation() {
    let mut observed = Observed::default();
    observed.record(&status("one", 1));
    observed.record(&status("one", 2));
    observed.record(&status("two", 0));
    let violations: Vec<String> = observed
        .violations()
        .iter()
        .map(|f| f.to_string())
        .collect();
    assert_eq!(violations, ["a/vm-0 counts 2 double_starts"]);
}
