//! What VMs count that must never happen makes a replay fail.

use replay::{Observed, SeenVm};
use serde_json::json;

fn seen(incarnation: &str, double_starts: u64) -> SeenVm {
    let status = json!({
        "vm": "a/vm-0",
        "incarnation": incarnation,
        "ready": true,
        "log": "answers",
        "sheet": null,
        "changes": [],
        "faults": {"double_starts": double_starts, "broken_slots": 0},
    });
    serde_json::from_value(status).unwrap()
}

#[test]
fn zero_counts() {
    let mut observed = Observed::default();
    observed.note(&seen("one", 0));
    assert!(observed.faults().is_empty());
}

#[test]
fn dead_life() {
    let mut observed = Observed::default();
    observed.note(&seen("one", 1));
    observed.note(&seen("one", 2));
    observed.note(&seen("two", 0));
    let told: Vec<String> = observed.faults().iter().map(|f| f.to_string()).collect();
    assert_eq!(told, ["a/vm-0 counts 2 double_starts"]);
}
