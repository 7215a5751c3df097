//! One line of results.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use routing::{Balanced, LeastOwn, Policy, PolicyKind, Random, Split};

use crate::load::Report;

/// What became of one load under one policy.
#[derive(Debug, Clone)]
pub struct Row {
    /// The case.
    pub case: CompactString,
    /// The policy.
    pub policy: PolicyKind,
    /// What callers saw.
    pub report: Report,
    /// What the VMs counted during the load.
    pub counts: BTreeMap<String, u64>,
    /// Tasks that minions started.
    pub starts: u64,
    /// Tasks that started more than once, since the fleet's start.
    pub double_starts: u64,
}

impl Row {
    /// Returns a counter over the tasks started.
    pub fn per_task(&self, name: &str) -> f64 {
        let count = self.counts.get(name).copied().unwrap_or_default();
        count as f64 / self.starts.max(1) as f64
    }

    /// Returns the messages beyond one request and one answer, for each task
    /// started. A task turned away costs both, a cancelled one its connection.
    pub fn waste(&self) -> f64 {
        2.0 * self.per_task("waste.not_started")
            + self.per_task("waste.cancel")
            + 2.0 * self.per_task("waste.passed")
    }

    /// Returns the tasks of complete jobs for each second.
    pub fn goodput(&self) -> f64 {
        self.report.good_tasks as f64 / self.report.elapsed_s.max(f64::EPSILON)
    }

    /// Counts the failed jobs of a reason.
    fn failed(&self, reason: &str) -> u64 {
        self.report.reasons.get(reason).copied().unwrap_or_default()
    }
}

/// The word of a policy in the settings.
fn word(policy: PolicyKind) -> &'static str {
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
        write!(f, "| {} | {} ", self.case, word(self.policy))?;
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
