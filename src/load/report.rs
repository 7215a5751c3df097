//! Results of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::view::{Answer, JobOutcome, Ran};

/// Upper bound of the histograms, in microseconds; longer times are recorded as
/// this.
const MAX_RESPONSE_US: u64 = 3_600_000_000;

/// Resolution of ratios in the histograms: thousandths.
const RATIO_SCALE: f64 = 1000.0;

/// Percentiles of a measured quantity.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

impl Percentiles {
    fn new(histogram: &Histogram<u64>, unit: f64) -> Percentiles {
        let at = |q| histogram.value_at_quantile(q) as f64 / unit;
        Percentiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / unit,
        }
    }
}

/// Results of a load, as printed in the last line of `pomeloctl load`.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// Number of jobs sent.
    pub jobs: u64,
    /// Number of tasks of the jobs sent.
    pub tasks: u64,
    /// Number of jobs answered completely.
    pub complete: u64,
    /// Number of tasks of the jobs answered completely.
    pub good_tasks: u64,
    /// Number of jobs answered "not run".
    pub not_run: u64,
    /// Number of failed jobs of which some task may have run.
    pub may_have_run: u64,
    /// Number of jobs answered with an unknown outcome.
    pub unknown: u64,
    /// Number of submissions without a readable answer.
    pub unanswered: u64,
    /// Number of complete answers with too few or too many answers of tasks.
    pub partial: u64,
    /// Number of answers by their one-word reason.
    pub reasons: BTreeMap<CompactString, u64>,
    /// Time from the start of the load to this report, in seconds.
    pub elapsed_s: f64,
    /// Number of jobs sent per second.
    pub rate: f64,
    /// Time from the intended start to the complete answer, in milliseconds.
    pub response_ms: Percentiles,
    /// Response time divided by the longest run time of the job's tasks.
    pub ratio: Percentiles,
    /// Time by which the generator itself sent jobs late, in milliseconds. If
    /// this is not small, the load was not the one asked for.
    pub lag_ms: Percentiles,
}

/// Collects the results while a load runs.
#[derive(Debug)]
pub struct Tally {
    /// Counts so far, without rates and percentiles.
    report: Report,
    /// Response times in microseconds.
    response: Histogram<u64>,
    /// Response times divided by ideal ones, in thousandths.
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
    /// Creates an empty tally.
    pub fn new() -> Tally {
        Tally {
            report: Report::default(),
            response: histogram(),
            ratio: histogram(),
            lag: histogram(),
        }
    }

    /// Counts a job that was sent `lag` after its intended start.
    pub fn sent(&mut self, tasks: usize, lag: Duration) {
        self.report.jobs += 1;
        self.report.tasks += tasks as u64;
        self.lag.saturating_record(lag.as_micros() as u64);
    }

    /// Records the response time of a complete answer, from the intended start.
    pub fn complete(&mut self, response: Duration, ideal: Duration) {
        let micros = response.as_micros() as u64;
        let ideal = ideal.max(Duration::from_millis(1)).as_secs_f64();
        let ratio = response.as_secs_f64() / ideal * RATIO_SCALE;
        self.response.saturating_record(micros);
        self.ratio.saturating_record(ratio as u64);
    }

    /// Counts the answer to a job.
    pub fn answer(&mut self, answer: &Answer, tasks: usize) {
        let report = &mut self.report;
        match (answer.outcome, answer.ran) {
            (JobOutcome::Complete, _) => {
                report.complete += 1;
                report.good_tasks += tasks as u64;
            }
            (JobOutcome::Unknown | JobOutcome::Running, _) => report.unknown += 1,
            (_, Some(Ran::No)) => report.not_run += 1,
            (_, _) => report.may_have_run += 1,
        }
        if answer.outcome == JobOutcome::Complete && answer.answers.len() != tasks {
            report.partial += 1;
        }
        if let Some(reason) = &answer.reason {
            *report.reasons.entry(reason.clone()).or_default() += 1;
        }
    }

    /// Counts a submission without a readable answer.
    pub fn unanswered(&mut self) {
        self.report.unanswered += 1;
    }

    /// Returns the results so far.
    pub fn report(&self, elapsed: Duration) -> Report {
        let seconds = elapsed.as_secs_f64();
        Report {
            elapsed_s: seconds,
            rate: self.report.jobs as f64 / seconds.max(f64::EPSILON),
            response_ms: Percentiles::new(&self.response, 1000.0),
            ratio: Percentiles::new(&self.ratio, RATIO_SCALE),
            lag_ms: Percentiles::new(&self.lag, 1000.0),
            ..self.report.clone()
        }
    }
}

fn histogram() -> Histogram<u64> {
    // These bounds and digits are valid, so the call can't fail.
    Histogram::new_with_bounds(1, MAX_RESPONSE_US, 3).unwrap_or_else(|_| unreachable!())
}
