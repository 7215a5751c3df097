//! Row of the table of results.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use routing::{Balanced, LeastOwn, Policy, PolicyKind, Random, Split};

use crate::load::Report;

/// Results of one load under one policy.
#[derive(Debug, Clone)]
pub struct Row {
    /// Title of the case.
    pub case: CompactString,
    /// Routing policy of the VMs.
    pub policy: PolicyKind,
    /// Results as callers saw them.
    pub report: Report,
    /// Increase of the counters of all VMs during the load, by metric name.
    pub counts: BTreeMap<String, u64>,
    /// Number of tasks that minions started during the load.
    pub starts: u64,
    /// Number of tasks that started more than once since the start of the
    /// fleet.
    pub double_starts: u64,
}

impl Row {
    /// Returns a counter divided by the number of tasks started.
    pub fn per_task(&self, name: &str) -> f64 {
        let count = self.counts.get(name).copied().unwrap_or_default();
        count as f64 / self.starts.max(1) as f64
    }

    /// Returns the number of messages per started task beyond one request and
    /// one answer. A task that was turned away costs both, a cancelled one its
    /// connection.
    pub fn waste(&self) -> f64 {
        2.0 * self.per_task("waste.not_started")
            + self.per_task("waste.cancel")
            + 2.0 * self.per_task("waste.passed")
    }

    /// Returns the number of tasks of complete jobs per second.
    pub fn goodput(&self) -> f64 {
        self.report.good_tasks as f64 / self.report.elapsed_s.max(f64::EPSILON)
    }

    /// Returns the number of jobs that failed for a reason.
    fn failed(&self, reason: &str) -> u64 {
        self.report.reasons.get(reason).copied().unwrap_or_default()
    }
}

/// Returns the name of a policy in the settings.
fn policy_name(policy: PolicyKind) -> &'static str {
    match policy {
        PolicyKind::Balanced => Balanced::NAME,
        PolicyKind::Random => Random::NAME,
        PolicyKind::Least => LeastOwn::NAME,
        PolicyKind::Split => Split::NAME,
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = &self.report;
        write!(f, "| {} | {} ", self.case, policy_name(self.policy))?;
        write!(f, "| {:.3} | {:.2} ", report.ratio.p50, report.ratio.p99)?;
        write!(f, "| {:.4} ", self.waste())?;
        write!(f, "| {:.4} ", self.per_task("waste.not_started"))?;
        write!(f, "| {:.4} ", self.per_task("waste.cancel"))?;
        write!(f, "| {} | {} ", report.jobs, report.not_run)?;
        write!(f, "| {} ", self.failed("deadline"))?;
        write!(f, "| {} ", self.failed("task_failed"))?;
        write!(f, "| {:.0} ", self.goodput())?;
        write!(f, "| {:.1} ", report.lag_ms.p99)?;
        write!(f, "| {} |", self.double_starts)
    }
}
