//! The summary of a replay, with its invariants and missed expectations.

use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::trace::{Answer, Bounds, Expect, Expectation, Verdict};

/// The counts and ratios of a replay, printed as one JSON object. They come from
/// the stand-ins' own records rather than the dispatcher's; only `sheet_reverts`
/// and a part of `missed` come from the VMs' statuses.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Summary {
    /// Jobs submitted, without resubmissions.
    pub jobs: u64,
    /// Jobs for which a caller got the complete answer.
    pub complete: u64,
    /// Jobs that got a failure after which they may have run, and no complete
    /// answer.
    pub failed: u64,
    /// Jobs for which the only answer was "not run".
    pub not_run: u64,
    /// Submissions without an answer whose caller didn't disconnect.
    pub unanswered: u64,
    /// Task starts on minions.
    pub task_starts: u64,
    /// Task starts beyond the first of each task.
    pub double_starts: u64,
    /// Answers marked complete in which a task is missing.
    pub partial_answers: u64,
    /// Answers that belong to another job or have tasks in the wrong order.
    pub wrong_answers: u64,
    /// Submissions answered "not run" although a task of the job was started, and
    /// no attempt sent after the refused one can have caused that start.
    pub false_not_run: u64,
    /// Task starts on minions that had been leaving for more than 2 s.
    pub late_starts_on_leaving: u64,
    /// Submissions in flight at a planned stop that were cut off by it.
    pub cut_off: u64,
    /// Number of times that a VM's sheet went back to an earlier offset.
    pub sheet_reverts: u64,
    /// Requests to minions and their answers.
    pub messages: u64,
    /// Messages per task start; 0 if there was no start.
    pub messages_per_task: f64,
    /// Ratio of response time to the ideal, over complete answers.
    pub response_ratio: Ratio,
    /// Expectations in the trace.
    pub expectations: u64,
    /// Expectations that were not met, plus invariant violations that VMs counted.
    pub missed: u64,
}

/// Quantiles of a ratio; 0 if there are no values.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Ratio {
    /// Median of the ratio.
    pub p50: f64,
    /// 99th percentile of the ratio.
    pub p99: f64,
}

/// Names of the counts that must be 0 in every replay.
pub const INVARIANTS: [&str; 8] = [
    "double_starts",
    "unanswered",
    "partial_answers",
    "wrong_answers",
    "false_not_run",
    "late_starts_on_leaving",
    "cut_off",
    "sheet_reverts",
];

impl Summary {
    /// Returns a total by its name; `None` if there is none of this name.
    pub fn total(&self, name: &str) -> Option<f64> {
        let count = match name {
            "jobs" => self.jobs,
            "complete" => self.complete,
            "failed" => self.failed,
            "not_run" => self.not_run,
            "unanswered" => self.unanswered,
            "task_starts" => self.task_starts,
            "double_starts" => self.double_starts,
            "partial_answers" => self.partial_answers,
            "wrong_answers" => self.wrong_answers,
            "false_not_run" => self.false_not_run,
            "late_starts_on_leaving" => self.late_starts_on_leaving,
            "cut_off" => self.cut_off,
            "sheet_reverts" => self.sheet_reverts,
            "messages" => self.messages,
            "messages_per_task" => return Some(self.messages_per_task),
            _ => return None,
        };
        Some(count as f64)
    }

    /// Returns the names of the invariants that are violated.
    pub fn violations(&self) -> Vec<&'static str> {
        let is_violated = |name: &&str| self.total(name) != Some(0.0);
        INVARIANTS.into_iter().filter(is_violated).collect()
    }

    /// Returns whether all invariants held and all expectations were met.
    pub fn passed(&self) -> bool {
        self.missed == 0 && self.violations().is_empty()
    }
}

impl std::fmt::Display for Summary {
    /// Writes the summary as a JSON object.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| std::fmt::Error)?;
        f.write_str(&text)
    }
}

/// An expectation that was not met.
#[derive(Debug, Clone)]
pub struct MissedExpectation {
    /// Line number in the trace.
    pub line: usize,
    /// Expected result.
    pub what: Expectation,
    /// Actual result.
    pub actual: Actual,
}

/// The actual result where another was expected.
#[derive(Debug, Clone, PartialEq)]
pub enum Actual {
    /// The answers to the job.
    Answers(Vec<Answer>),
    /// The verdict on the publication.
    Verdict(Verdict),
    /// The value of the total.
    Total(f64),
}

impl std::fmt::Display for MissedExpectation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: ", self.line)?;
        match &self.what {
            Expectation::Job(job, allowed) => write!(f, "job {job}: expected {allowed:?}")?,
            Expectation::Publish(n, verdict) => write!(f, "publish {n}: expected {verdict:?}")?,
            Expectation::Total(name, bounds) => write!(f, "{name}: expected {}", range(bounds))?,
        }
        match &self.actual {
            Actual::Answers(actual) => write!(f, ", seen {actual:?}"),
            Actual::Verdict(actual) => write!(f, ", seen {actual:?}"),
            Actual::Total(actual) => write!(f, ", seen {actual}"),
        }
    }
}

fn range(bounds: &Bounds) -> CompactString {
    let min = bounds.at_least.or(bounds.equals);
    let max = bounds.at_most.or(bounds.equals);
    match (min, max) {
        (Some(min), Some(max)) => format_compact!("{min} to {max}"),
        (Some(min), None) => format_compact!("at least {min}"),
        (None, Some(max)) => format_compact!("at most {max}"),
        (None, None) => "anything".into(),
    }
}

/// Returns the expectations that were not met.
pub fn missed_expectations(
    expects: &[Expect],
    summary: &Summary,
    answers: impl Fn(&str) -> Vec<Answer>,
    verdicts: &[Verdict],
) -> Vec<MissedExpectation> {
    let check = |expect: &Expect| {
        let wrong = match &expect.what {
            Expectation::Job(job, allowed) => {
                let actual = answers(job);
                let met = !actual.is_empty() && actual.iter().all(|a| allowed.contains(a));
                (!met).then_some(Actual::Answers(actual))
            }
            Expectation::Publish(n, verdict) => {
                let actual = verdicts.get(n - 1).copied();
                let actual = actual.unwrap_or(Verdict::Undecided);
                (actual != *verdict).then_some(Actual::Verdict(actual))
            }
            Expectation::Total(name, bounds) => {
                let actual = summary.total(name).unwrap_or_default();
                (!bounds.contains(actual)).then_some(Actual::Total(actual))
            }
        };
        let what = expect.what.clone();
        let line = expect.line;
        wrong.map(|actual| MissedExpectation { line, what, actual })
    };
    expects.iter().filter_map(check).collect()
}
