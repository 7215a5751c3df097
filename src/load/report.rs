//! What became of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::view::{Answer, Ended, RanWord};

/// The longest response that the histograms tell apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Parts of one in which ratios are kept.
const RATIO_UNIT: f64 = 1000.0;

/// Percentiles of a measure.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// 90 in 100 are at most this.
    pub p90: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// 999 in 1000 are at most this.
    pub p999: f64,
    /// The greatest.
    pub max: f64,
}

impl Percentiles {
    fn new(of: &Histogram<u64>, unit: f64) -> Percentiles {
        let at = |q| of.value_at_quantile(q) as f64 / unit;
        Percentiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: of.max() as f64 / unit,
        }
    }
}

/// What became of a load, as the last line of the command tells it.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// Jobs sent.
    pub jobs: u64,
    /// Tasks of the jobs sent.
    pub tasks: u64,
    /// Jobs answered completely.
    pub complete: u64,
    /// Tasks of the jobs answered completely.
    pub good_tasks: u64,
    /// Jobs told "not run".
    pub not_run: u64,
    /// Jobs failed of which something may have run.
    pub may_have_run: u64,
    /// Jobs whose outcome was told to be unknown.
    pub unknown: u64,
    /// Submissions that got no answer that can be read.
    pub unanswered: u64,
    /// Complete answers that lack a task's answer or have one too many.
    pub partial: u64,
    /// Failed jobs by the reason's word.
    pub reasons: BTreeMap<CompactString, u64>,
    /// How long the load took until the last answer, in seconds.
    pub elapsed_s: f64,
    /// The jobs sent a second.
    pub rate: f64,
    /// Milliseconds from the intended start to the complete answer.
    pub response_ms: Percentiles,
    /// The response over the longest run time of the job's tasks.
    pub ratio: Percentiles,
    /// Milliseconds by which the generator itself sent jobs late; when these
    /// are not small the load was not the one asked for.
    pub lag_ms: Percentiles,
}

/// Gathers results while a load runs.
#[derive(Debug)]
pub struct Tally {
    /// The counts so far.
    report: Report,
    /// Responses in microseconds.
    response: Histogram<u64>,
    /// Responses over ideal, in thousandths.
    ratio: Histogram<u64>,
    /// Lateness of the generator in microseconds.
    lag: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}

impl Tally {
    /// Makes an empty tally.
    pub fn new() -> Tally {
        Tally {
            report: Report::default(),
            response: histogram(),
            ratio: histogram(),
            lag: histogram(),
        }
    }

    /// Counts a job sent, `lag` after its intended start.
    pub fn sent(&mut self, tasks: usize, lag: Duration) {
        self.report.jobs += 1;
        self.report.tasks += tasks as u64;
        self.lag.saturating_record(lag.as_micros() as u64);
    }

    /// Counts a complete answer and its response from the intended start.
    pub fn complete(&mut self, response: Duration, ideal: Duration) {
        let micros = response.as_micros() as u64;
        let least = ideal.max(Duration::from_millis(1)).as_secs_f64();
        let ratio = response.as_secs_f64() / least * RATIO_UNIT;
        self.response.saturating_record(micros);
        self.ratio.saturating_record(ratio as u64);
    }

    /// Counts what a job's caller was told.
    pub fn answer(&mut self, answer: &Answer, tasks: usize) {
        let report = &mut self.report;
        match (answer.outcome, answer.ran) {
            (Ended::Complete, _) => {
                report.complete += 1;
                report.good_tasks += tasks as u64;
            }
            (Ended::Unknown | Ended::Running, _) => report.unknown += 1,
            (_, Some(RanWord::No)) => report.not_run += 1,
            (_, _) => report.may_have_run += 1,
        }
        if answer.outcome == Ended::Complete && answer.answers.len() != tasks {
            report.partial += 1;
        }
        if let Some(reason) = &answer.reason {
            *report.reasons.entry(reason.clone()).or_default() += 1;
        }
    }

    /// Counts a submission without an answer that can be read.
    pub fn unanswered(&mut self) {
        self.report.unanswered += 1;
    }

    /// Returns the counts and percentiles so far.
    pub fn report(&self, elapsed: Duration) -> Report {
        let seconds = elapsed.as_secs_f64();
        Report {
            elapsed_s: seconds,
            rate: self.report.jobs as f64 / seconds.max(f64::EPSILON),
            response_ms: Percentiles::new(&self.response, 1000.0),
            ratio: Percentiles::new(&self.ratio, RATIO_UNIT),
            lag_ms: Percentiles::new(&self.lag, 1000.0),
            ..self.report.clone()
        }
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds and digits are valid, so that the library can't refuse them.
    Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!())
}
