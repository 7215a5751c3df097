//! What a replay has counted, and whether it is as it must be.

use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::trace::{Answer, Bounds, Expect, Expectation, Verdict};

/// The counts of a replay, printed as one JSON object. All are seen by the
/// stand-ins, not told by the dispatcher.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Summary {
    /// The jobs submitted, resubmissions not counted.
    pub jobs: u64,
    /// The jobs of which a caller got the whole answer.
    pub complete: u64,
    /// The jobs of which the callers were told only failures, after which they
    /// may have run.
    pub failed: u64,
    /// The jobs of which the callers were told only "not run".
    pub not_run: u64,
    /// The submissions that got no answer, though nobody hung up.
    pub unanswered: u64,
    /// The tasks that minions started.
    pub task_starts: u64,
    /// The starts beyond the first of each task.
    pub double_starts: u64,
    /// The answers that were called complete with a task missing.
    pub partial_answers: u64,
    /// The answers of another job, or with tasks in the wrong order.
    pub wrong_answers: u64,
    /// The submissions told "not run" of whose job a task had started, or
    /// started later without a submission after that answer.
    pub false_not_run: u64,
    /// The starts on minions that had been leaving for more than 2 s.
    pub late_starts_on_leaving: u64,
    /// The submissions in flight at a planned stop that it cut off.
    pub cut_off: u64,
    /// How often a VM's sheet went back to an earlier offset.
    pub sheet_reverts: u64,
    /// The requests and answers of minions.
    pub messages: u64,
    /// Messages by task started; 0 without any.
    pub messages_per_task: f64,
    /// Response time over the ideal, of complete answers.
    pub response_ratio: Ratio,
    /// The expectations of the trace.
    pub expectations: u64,
    /// The expectations that were missed.
    pub missed: u64,
}

/// Quantiles of a ratio; 0 without any value.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Ratio {
    /// The median.
    pub p50: f64,
    /// The 99th of 100.
    pub p99: f64,
}

/// What must be 0 in every replay.
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
    /// Returns a number by its name.
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

    /// Returns the invariants that are broken.
    pub fn broken(&self) -> Vec<&'static str> {
        let broken = |name: &&str| self.total(name) != Some(0.0);
        INVARIANTS.into_iter().filter(broken).collect()
    }

    /// Tells whether every invariant and every expectation held.
    pub fn good(&self) -> bool {
        self.missed == 0 && self.broken().is_empty()
    }
}

impl std::fmt::Display for Summary {
    /// Writes the JSON object.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| std::fmt::Error)?;
        f.write_str(&text)
    }
}

/// A missed expectation.
#[derive(Debug, Clone)]
pub struct Miss {
    /// The trace's line.
    pub line: usize,
    /// What was expected.
    pub what: Expectation,
    /// What was seen.
    pub seen: Seen,
}

/// What was seen in place of what was expected.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    /// The job's answers.
    Answers(Vec<Answer>),
    /// The publication's verdict.
    Verdict(Verdict),
    /// The total.
    Total(f64),
}

impl std::fmt::Display for Miss {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: ", self.line)?;
        match &self.what {
            Expectation::Job(job, allowed) => write!(f, "job {job}: expected {allowed:?}")?,
            Expectation::Publish(n, verdict) => write!(f, "publish {n}: expected {verdict:?}")?,
            Expectation::Total(name, bounds) => write!(f, "{name}: expected {}", range(bounds))?,
        }
        match &self.seen {
            Seen::Answers(seen) => write!(f, ", seen {seen:?}"),
            Seen::Verdict(seen) => write!(f, ", seen {seen:?}"),
            Seen::Total(seen) => write!(f, ", seen {seen}"),
        }
    }
}

fn range(bounds: &Bounds) -> CompactString {
    let least = bounds.at_least.or(bounds.equals);
    let most = bounds.at_most.or(bounds.equals);
    match (least, most) {
        (Some(least), Some(most)) => format_compact!("{least} to {most}"),
        (Some(least), None) => format_compact!("at least {least}"),
        (None, Some(most)) => format_compact!("at most {most}"),
        (None, None) => "anything".into(),
    }
}

/// Returns the expectations that were missed.
pub fn misses(
    expects: &[Expect],
    summary: &Summary,
    answers: impl Fn(&str) -> Vec<Answer>,
    verdicts: &[Verdict],
) -> Vec<Miss> {
    let miss = |expect: &Expect| {
        let seen = match &expect.what {
            Expectation::Job(job, allowed) => {
                let seen = answers(job);
                let met = !seen.is_empty() && seen.iter().all(|a| allowed.contains(a));
                (!met).then_some(Seen::Answers(seen))
            }
            Expectation::Publish(n, verdict) => {
                let seen = verdicts.get(n - 1).copied();
                let seen = seen.unwrap_or(Verdict::Undecided);
                (seen != *verdict).then_some(Seen::Verdict(seen))
            }
            Expectation::Total(name, bounds) => {
                let seen = summary.total(name).unwrap_or_default();
                (!bounds.hold(seen)).then_some(Seen::Total(seen))
            }
        };
        let what = expect.what.clone();
        let line = expect.line;
        seen.map(|seen| Miss { line, what, seen })
    };
    expects.iter().filter_map(miss).collect()
}
