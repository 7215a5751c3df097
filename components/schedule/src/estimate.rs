//! Estimates of run times, corrected by the run times of tasks that have ended.

use compact_str::CompactString;
use kernel::{Millis, MinionId, Timestamp};

use crate::action::Action;
use crate::evidence_report::{EvidenceReport, REPORTED_PAIRS};
use crate::ids::JobId;
use crate::job::{Job, JobSpec, TaskState};
use crate::scheduler::Scheduler;

/// Factor on a job's estimate for its slowest task, as the run times of a job's
/// tasks differ.
const SLOWEST_TASK: f64 = 1.15;

/// Weight of the newest run in a queue's moving average.
const LEARN_WEIGHT: f64 = 0.02;

/// Expected run times of a task on a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RunTimes {
    /// On a minion of average speed.
    pub baseline: Millis,
    /// On a minion of the same kind, if kinds differ in speed; else `baseline`.
    pub typical: Millis,
    /// On this minion.
    pub expected: Millis,
}

impl Scheduler {
    /// Updates the queue's average of actual over estimated run time with a run
    /// that took `ratio` times its estimate.
    pub(crate) fn learn(&mut self, queue: &CompactString, ratio: f64) {
        let mean = self.ratios.entry(queue.clone()).or_insert(1.0);
        *mean += LEARN_WEIGHT * (ratio.clamp(0.2, 5.0) - *mean);
    }

    pub(crate) fn ratio(&self, queue: &CompactString) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Returns the expected duration of a job all of whose tasks can start at
    /// once when their steps are ready.
    pub(crate) fn expected_time(&self, spec: &JobSpec) -> Millis {
        let path = spec.critical_path().0 as f64;
        Millis((path * self.ratio(&spec.queue) * SLOWEST_TASK) as u64)
    }

    /// Returns the expected run times of a task if it runs on the minion `on`.
    pub(crate) fn run_times(&self, id: &JobId, index: usize, on: &MinionId) -> RunTimes {
        let (Some(job), Some(minion)) = (self.jobs.get(id), self.minions.get(on)) else {
            return RunTimes::default();
        };
        let queue = &job.spec.queue;
        let step = &job.spec.steps[usize::from(job.tasks[index].step)];
        let estimate = step.estimate.0 as f64;
        let baseline = estimate * self.ratio(queue);
        let usual = baseline * minion.health.pace.clamp(0.5, 3.0);
        let (typical, expected) = match self.evidence.is_uneven() {
            // The limit of hung runs follows from the expected time, and must not
            // fall with a new estimate of the same minion: stragglers would be
            // stopped and run again.
            true => {
                let typical = estimate * self.evidence.typical(&minion.kind, queue);
                (typical, usual.max(typical * minion.pace.log().exp()))
            }
            false => (baseline, usual),
        };
        RunTimes {
            baseline: Millis(baseline as u64),
            typical: Millis(typical as u64),
            expected: Millis(expected as u64),
        }
    }

    /// Records a run of a queue's task that took `ratio` times its estimate.
    pub(crate) fn learn_kind(
        &mut self,
        on: &MinionId,
        queue: &CompactString,
        ratio: f64,
        now: Timestamp,
    ) {
        let Some(minion) = self.minions.get_mut(on) else {
            return;
        };
        let typical = self.evidence.typical(&minion.kind, queue);
        minion.pace.record(ratio / typical);
        self.evidence.add(&minion.kind, queue, ratio, now);
    }

    /// Returns the expected run time on a minion of a queue's task with this
    /// estimate, if kinds of minions differ in speed.
    pub fn expected_on(&self, on: &MinionId, queue: &str, estimate: Millis) -> Option<Millis> {
        let minion = self.minions.get(on).filter(|_| self.evidence.is_uneven())?;
        let typical = self.evidence.typical(&minion.kind, &queue.into());
        let time = estimate.0 as f64 * typical * minion.pace.log().exp();
        Some(Millis(time as u64))
    }

    /// Returns the run times observed here, for other VMs: the pairs of kind and
    /// queue with the most runs. Empty if all minions are of one kind, as run
    /// times by kind decide nothing then.
    pub fn evidence_report(&self, now: Timestamp) -> EvidenceReport {
        match self.evidence.kinds().len() > 1 {
            true => self.evidence.report(REPORTED_PAIRS, now),
            false => EvidenceReport::default(),
        }
    }

    /// Returns the slowest kind's mean run time over the fastest kind's if tasks
    /// are placed by their predicted end, which they are where kinds differ.
    pub fn speed_contrast(&self) -> Option<f64> {
        let evidence = &self.evidence;
        evidence.is_uneven().then(|| evidence.contrast())
    }

    /// Adds the run times that another owner has observed. Fleets whose kinds do
    /// not differ are scheduled as without it.
    pub fn learn_report(&mut self, report: &EvidenceReport, now: Timestamp) {
        self.evidence.add_report(report, now);
        self.compare_kinds();
    }

    /// Compares the speeds of the kinds of minions, and tells if the placement
    /// rule changes with it.
    pub(crate) fn compare_kinds(&mut self) {
        let kinds = self.minions.values().map(|m| m.kind.clone()).collect();
        if self.evidence.compare(kinds) {
            let contrast = self.evidence.contrast();
            let uneven = self.evidence.is_uneven();
            self.actions
                .push(Action::SpeedsCompared { uneven, contrast });
        }
    }

    /// Returns the estimated work of a job's waiting tasks in core
    /// milliseconds.
    pub(crate) fn waiting_work(&self, job: &Job) -> f64 {
        let ratio = self.ratio(&job.spec.queue);
        let waiting = job.tasks.iter().filter(|t| t.state == TaskState::Waiting);
        let work = waiting.map(|t| {
            let step = &job.spec.steps[usize::from(t.step)];
            f64::from(step.need.cpu.0) / 1000.0 * step.estimate.0 as f64
        });
        work.sum::<f64>() * ratio
    }
}
