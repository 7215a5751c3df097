//! Every metric has a unique name and a row in docs/METRICS.md.

use metrics::{Count, Gauge, Timing};

const PAGE: &str = include_str!("../../../docs/METRICS.md");

/// Returns the name, statsd type and help sentence of every metric.
fn all_metrics() -> Vec<(&'static str, &'static str, &'static str)> {
    let counts = Count::ALL.iter().map(|m| (m.name(), "count", m.help()));
    let gauges = Gauge::ALL.iter().map(|m| (m.name(), "gauge", m.help()));
    let timings = Timing::ALL.iter().map(|m| (m.name(), "timing", m.help()));
    counts.chain(gauges).chain(timings).collect()
}

#[test]
fn all_documented() {
    let row = |(name, kind, help): &(&str, &str, &str)| {
        format!("| `pomelopost.{name}` | {kind} | {help} |")
    };
    let missing: Vec<_> = all_metrics()
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
fn no_stale_rows() {
    let rows = PAGE.lines().filter(|l| l.starts_with("| `pomelopost."));
    assert_eq!(rows.count(), all_metrics().len());
}

#[test]
fn unique_names() {
    let mut names: Vec<_> = all_metrics().iter().map(|m| m.0).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all_metrics().len());
}
