//! Prediction of whether a task ends in time on each kind of minion, for fleets
//! whose kinds differ in speed (docs/design/run-times.md).

use compact_str::CompactString;
use kernel::Timestamp;

use crate::distribution::Survival;
use crate::evidence::Evidence;
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
    sent: Timestamp,
    /// Moving average of the risk that the fastest kind spares a task.
    gain: f64,
    /// Speed of each kind between that of the slowest kind, 0, and that of the
    /// fastest, 1.
    advantages: Vec<f64>,
    /// Distributions by kind, for each queue that was asked for in this round.
    tables: Vec<(CompactString, Vec<Survival>)>,
}

/// Prediction for one task.
#[derive(Debug)]
pub(crate) struct TaskForecast<'a> {
    /// Distribution of the task's queue on each kind.
    tables: &'a [Survival],
    advantages: &'a [f64],
    /// Estimated run time in milliseconds.
    estimate_ms: f64,
    /// Ratio of actual over estimated run time at which the job is just in time.
    due: f64,
    /// The same for the time at which the caller leaves.
    deadline: f64,
    /// Probability that the job's other tasks leave it in time.
    pub stake: f64,
    /// Moving average of the risk that the fastest kind spares a task.
    gain: f64,
}

impl<'a> Forecast<'a> {
    /// Creates the predictions for a round whose orders are sent at `sent`.
    pub fn new(evidence: &'a Evidence, gain: f64, sent: Timestamp) -> Forecast<'a> {
        Forecast {
            evidence,
            sent,
            gain,
            advantages: evidence.advantages(),
            tables: Vec::new(),
        }
    }

    /// Returns the number of kinds of minions.
    pub fn kind_count(&self) -> usize {
        self.evidence.kinds().len()
    }

    /// Returns the index of a minion's kind. It is out of range for a minion that
    /// joined since the kinds were last compared.
    pub fn kind_index(&self, minion: &Minion) -> usize {
        let kinds = self.evidence.kinds();
        kinds.binary_search(&minion.kind).unwrap_or(kinds.len())
    }

    /// Returns the moving average of the risk that the fastest kind spares a task.
    pub fn gain(&self) -> f64 {
        self.gain
    }

    /// Returns the prediction for a task of a job whose other tasks have at most
    /// the risk `worst`.
    pub fn task(&mut self, job: &Job, index: usize, worst: f64) -> TaskForecast<'_> {
        let step = usize::from(job.tasks[index].step);
        let estimate = job.spec.steps[step].estimate.micros().max(1) as f64;
        let at = self.table_index(&job.spec.queue);
        let after = job.path_after(step).micros();
        let ratio = |end: Timestamp| {
            let left = end.micros_since(self.sent).saturating_sub(after);
            left as f64 / estimate
        };
        TaskForecast {
            tables: &self.tables[at].1,
            advantages: &self.advantages,
            estimate_ms: estimate / 1000.0,
            due: ratio(job.due()),
            deadline: ratio(job.deadline),
            stake: 1.0 - worst,
            gain: self.gain,
        }
    }

    /// Returns the index of a queue's distributions.
    fn table_index(&mut self, queue: &CompactString) -> usize {
        if let Some(at) = self.tables.iter().position(|(name, _)| name == queue) {
            return at;
        }
        let kinds = self.evidence.kinds().iter();
        let tables = kinds.map(|kind| self.evidence.survival(kind, queue));
        self.tables.push((queue.clone(), tables.collect()));
        self.tables.len() - 1
    }

    /// Adds the gain of a task that was placed to the moving average.
    pub fn record_gain(&mut self, gain: f64) {
        self.gain += GAIN_WEIGHT * (gain - self.gain);
    }
}

impl TaskForecast<'_> {
    /// Returns the part of the job's value that is lost if the task starts in
    /// `wait_ms` on a minion of the kind whose run times are e^`pace` times those
    /// of its kind.
    pub fn risk(&self, kind: usize, pace: f64, wait_ms: f64) -> f64 {
        let Some(table) = self.tables.get(kind) else {
            return 1.0;
        };
        let wait = wait_ms / self.estimate_ms;
        let beyond = |ratio: f64| match ratio > wait {
            true => table.beyond((ratio - wait).ln() - pace),
            false => 1.0,
        };
        LATE_LOSS * beyond(self.due) + (1.0 - LATE_LOSS) * beyond(self.deadline)
    }

    /// Returns the mean risk that the fastest kind spares other tasks.
    pub fn mean_gain(&self) -> f64 {
        self.gain
    }

    /// Returns the lowest and the highest risk over all kinds.
    pub fn risks(&self) -> (f64, f64) {
        let all = (0..self.tables.len()).map(|kind| self.risk(kind, 0.0, 0.0));
        all.fold((1.0, 0.0), |(low, high), risk| {
            (risk.min(low), risk.max(high))
        })
    }

    /// Returns the risk that the fastest kind spares the job over the slowest.
    pub fn gain(&self) -> f64 {
        let (low, high) = self.risks();
        self.stake * (high - low).max(0.0)
    }

    /// Returns how slow each kind is, from 0 to 1, for a task that is late on any
    /// kind; less for others, whose risk counts alone.
    pub fn delays(&self) -> impl Iterator<Item = f64> {
        let (low, _) = self.risks();
        self.advantages.iter().map(move |a| low * (1.0 - a))
    }

    /// Returns the price of each kind's room: the mean gain that tasks have from
    /// it, times the chance that it runs out.
    pub fn prices(&self, used: impl Iterator<Item = f64>) -> impl Iterator<Item = f64> {
        used.zip(self.advantages).map(|(used, advantage)| {
            self.gain * advantage * used.clamp(0.0, 1.0).powi(PRICE_EXPONENT)
        })
    }
}
