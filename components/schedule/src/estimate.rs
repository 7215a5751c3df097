//! Estimates of run times, corrected by the run times of tasks that have ended.

use compact_str::CompactString;
use kernel::{Millis, MinionId};

use crate::ids::JobId;
use crate::job::{Job, JobSpec, TaskState};
use crate::scheduler::Scheduler;

/// Factor on a job's estimate for its slowest task, as the run times of a job's
/// tasks differ.
const SLOWEST_TASK: f64 = 1.15;

/// Weight of the newest run in a queue's moving average.
const LEARN_WEIGHT: f64 = 0.02;

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

    /// Returns the expected run time of a task on a minion of average speed,
    /// and on the minion `on`.
    pub(crate) fn run_time(&self, id: &JobId, index: usize, on: &MinionId) -> (Millis, Millis) {
        let (Some(job), Some(minion)) = (self.jobs.get(id), self.minions.get(on)) else {
            return (Millis(0), Millis(0));
        };
        let step = &job.spec.steps[usize::from(job.tasks[index].step)];
        let time = step.estimate.0 as f64 * self.ratio(&job.spec.queue);
        let on_minion = time * minion.health.pace.clamp(0.5, 3.0);
        (Millis(time as u64), Millis(on_minion as u64))
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
