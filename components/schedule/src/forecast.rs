//! Prediction of whether a task ends in time on each kind of minion, for fleets
//! whose kinds differ in speed (docs/design/run-times.md).

use compact_str::CompactString;
use kernel::Timestamp;

use crate::evidence::{Evidence, Survival};
use crate::job::Job;
use crate::minion::Minion;

/// Part of a job's value that is lost when it is late; the rest is lost when its
/// caller leaves (docs/bench/load.md).
const LATE_LOSS: f64 = 0.8;

/// Exponent of the used share of a kind's room in its price: room that is half
/// used hardly costs anything, and nearly its full price shortly before it runs
/// out.
const PRICE_EXPONENT: i32 = 4;

/// Weight of the newest task in the moving average of the gain.
const GAIN_WEIGHT: f64 = 0.02;

/// Predictions of one placement round.
#[derive(Debug)]
pub(crate) struct Forecast<'a> {
    evidence: &'a Evidence,
    /// Time at which orders are sent.
    now: Timestamp,
    /// Moving average of the risk that the fastest kind spares a task.
    gain: f64,
    /// Price of each kind's room at its scarcest, relative to the fastest kind's.
    advantages: Vec<f64>,
    /// Distributions by kind, for each queue that was asked for in this round.
    tables: Vec<(CompactString, Vec<Survival>)>,
}

/// Prediction for one task.
#[derive(Debug)]
pub(crate) struct TaskForecast<'a> {
    forecast: &'a Forecast<'a>,
}
