//! Why a trace can't be played.

use std::fmt;

use compact_str::CompactString;

/// A fault of a trace and its line, from 1.
#[derive(Debug)]
pub struct TraceError {
    /// The line.
    pub line: usize,
    /// What is wrong with it.
    pub kind: TraceErrorKind,
}

/// What is wrong with a line of a trace.
#[derive(Debug)]
pub enum TraceErrorKind {
    /// It is no JSON of the form that it should have.
    Json(serde_json::Error),
    /// It has not exactly one action.
    Action,
    /// It needs `at_ms`.
    TimeMissing,
    /// It must not have `at_ms`.
    TimeGiven,
    /// Its `at_ms` is before that of an earlier line.
    Unsorted,
    /// A `fleet` line behind other lines.
    FleetLate,
    /// The fleet's field is out of range.
    FleetRange(&'static str),
    /// The fleet has no such machine or failure domain.
    Target(CompactString),
    /// No line submits this job.
    Job(CompactString),
    /// The job's name can't be a key.
    Key(CompactString),
    /// A resubmission names another source of keys than the first submission.
    Keys(CompactString),
    /// The field is needed here.
    Missing(&'static str),
    /// The field has no place here.
    Extra(&'static str),
    /// The field's number is out of range.
    Range(&'static str),
    /// The summary has no such number.
    Total(CompactString),
    /// The trace has no such publication.
    Publish(usize),
    /// The expectation is none of the three forms.
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
            TraceErrorKind::TimeGiven => write!(f, "at_ms has no place here"),
            TraceErrorKind::Unsorted => write!(f, "at_ms is before that of an earlier line"),
            TraceErrorKind::FleetLate => write!(f, "fleet may only be the first line"),
            TraceErrorKind::FleetRange(field) => write!(f, "fleet: {field} is out of range"),
            TraceErrorKind::Target(name) => write!(f, "the fleet has no {name}"),
            TraceErrorKind::Job(name) => write!(f, "no line submits the job {name}"),
            TraceErrorKind::Key(name) => write!(f, "the job name {name:?} can't be a key"),
            TraceErrorKind::Keys(name) => write!(f, "keys differ from those of {name} before"),
            TraceErrorKind::Missing(field) => write!(f, "{field} is missing"),
            TraceErrorKind::Extra(field) => write!(f, "{field} has no place here"),
            TraceErrorKind::Range(field) => write!(f, "{field} is out of range"),
            TraceErrorKind::Total(name) => write!(f, "the summary has no number {name:?}"),
            TraceErrorKind::Publish(n) => write!(f, "the trace has no publish number {n}"),
            TraceErrorKind::Expect => write!(
                f,
                "expected job and answer, or publish and verdict, or total and a bound"
            ),
        }
    }
}

impl std::error::Error for TraceError {}
