//! Errors in traces.

use std::fmt;

use compact_str::CompactString;

/// An error in a line of a trace.
#[derive(Debug)]
pub struct TraceError {
    /// Line number, from 1.
    pub line: usize,
    /// Kind of the error.
    pub kind: TraceErrorKind,
}

/// The kind of an error in a trace.
#[derive(Debug)]
pub enum TraceErrorKind {
    /// The line is not JSON of the expected form.
    Json(serde_json::Error),
    /// The line doesn't have exactly one action.
    Action,
    /// The line needs `at_ms`.
    TimeMissing,
    /// The line must not have `at_ms`.
    TimeGiven,
    /// The line's `at_ms` is less than that of an earlier line.
    Unsorted,
    /// A `fleet` line follows other lines.
    FleetLate,
    /// A field of the fleet is out of range.
    FleetRange(&'static str),
    /// The fleet has no such machine or failure domain.
    Target(CompactString),
    /// No line submits this job.
    Job(CompactString),
    /// The job's name is not a valid key.
    Key(CompactString),
    /// A resubmission has another source of keys than the first submission.
    Keys(CompactString),
    /// A required field is missing.
    Missing(&'static str),
    /// A field is not allowed here.
    Extra(&'static str),
    /// A number is out of range.
    Range(&'static str),
    /// The summary has no total of this name.
    Total(CompactString),
    /// The trace has no publication of this number.
    Publish(usize),
    /// The expectation has none of the three forms.
    Expect,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.kind)
    }
}

impl fmt::Display for TraceErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceErrorKind::Json(e) => write!(f, "{e}"),
            TraceErrorKind::Action => write!(
                f,
                "expected exactly one of fleet, submit, cancel, hang_up, fault, publish, expect"
            ),
            TraceErrorKind::TimeMissing => write!(f, "at_ms is missing"),
            TraceErrorKind::TimeGiven => write!(f, "at_ms is not allowed here"),
            TraceErrorKind::Unsorted => write!(f, "at_ms is before that of an earlier line"),
            TraceErrorKind::FleetLate => write!(f, "fleet may only be the first line"),
            TraceErrorKind::FleetRange(field) => write!(f, "fleet: {field} is out of range"),
            TraceErrorKind::Target(name) => write!(f, "the fleet has no {name}"),
            TraceErrorKind::Job(name) => write!(f, "no line submits the job {name}"),
            TraceErrorKind::Key(name) => write!(f, "the job name {name:?} is not a valid key"),
            TraceErrorKind::Keys(name) => write!(
                f,
                "keys differ from those of an earlier submission of {name}"
            ),
            TraceErrorKind::Missing(field) => write!(f, "{field} is missing"),
            TraceErrorKind::Extra(field) => write!(f, "{field} is not allowed here"),
            TraceErrorKind::Range(field) => write!(f, "{field} is out of range"),
            TraceErrorKind::Total(name) => write!(f, "the summary has no total {name:?}"),
            TraceErrorKind::Publish(n) => write!(f, "the trace has no publish number {n}"),
            TraceErrorKind::Expect => write!(
                f,
                "expected job and answer, or publish and verdict, or total and a bound"
            ),
        }
    }
}

impl std::error::Error for TraceError {}
