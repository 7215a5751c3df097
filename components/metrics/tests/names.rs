//! Every metric stands in docs/METRICS.md, under a name of its own.

use metrics::{Count, Gauge, Timing};

const PAGE: &str = include_str!("../../../docs/METRICS.md");

/// Name, statsd type and help of every metric.
fn all() -> Vec<(&'static str, &'static str, &'static str)> {
    let counts = Count::ALL.iter().map(|m| (m.name(), "count", m.help()));
    let gauges = Gauge::ALL.iter().map(|m| (m.name(), "gauge", m.help()));
    let timings = Timing::ALL.iter().map(|m| (m.name(), "timing", m.help()));
    counts.chain(gauges).chain(timings).collect()
}

#[test]
fn all_listed() {
    let row = |(name, kind, help): &(&str, &str, &str)| {
        format!("| `pomelopost.{name}` | {kind} | {help} |")
    };
    let missing: Vec<_> = all()
        .iter()
        .map(row)
        .filter(|row| !PAGE.lines().any(|line| line == row))
        .collect();
    assert!(
        missing.is_empty(),
        "not in docs/METRICS.md:\n{}",
        missing.join("\n")
    );
}

#[test]
fn none_stale() {
    let rows = PAGE.lines().filter(|l| l.starts_with("| `pomelopost."));
    assert_eq!(rows.count(), all().len());
}

#[test]
fn unique_names() {
    let mut names: Vec<_> = all().iter().map(|m| m.0).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all().len());
}
