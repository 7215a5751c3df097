//! Admission of jobs: a job is refused if one of its tasks fits no minion, or
//! if the job could not end by its deadline.

use std::sync::atomic::Ordering;

use jobs::{JobSpec, Reason, TaskSpec};
use kernel::{Millis, Slots};
use limits::Demand;
use routing::{Policy, Unavailable};

use super::{Dispatch, ServiceQueue};

/// Quantile of the learned run times that is assumed for a job's last task.
const LONG_QUANTILE: f64 = 0.95;

impl<P: Policy> Dispatch<P> {
    /// Checks whether a job may be admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the job; none of its tasks has run.
    pub fn admit(&self, spec: &JobSpec) -> Result<(), Reason> {
        for task in &spec.tasks {
            self.fleet
                .fits(&spec.service, task.cores)
                .map_err(|e| reason_of(e, task))?;
        }
        let demand = self.demand(spec);
        self.admission
            .admit(&demand)
            .map_err(|_| Reason::Overloaded)
    }

    /// Returns the delay after which a caller that was refused for lack of
    /// slots should retry.
    pub fn retry_after(&self, spec: &JobSpec) -> Option<Millis> {
        let refused = self.admission.admit(&self.demand(spec)).err()?;
        Some(refused.retry_after)
    }

    /// Collects the queue length, slots and learned run times that decide about
    /// a job. Run times that are not learned yet count as zero, so that no job
    /// is refused on a guess.
    fn demand(&self, spec: &JobSpec) -> Demand {
        let queue = self.queue(&spec.service);
        let queued = queue.waiting.load(Ordering::Relaxed);
        let (service, team) = (&spec.service, &spec.team);
        Demand {
            queued,
            tasks: spec.tasks.len(),
            slots: self.usable_slots(&queue, queued),
            mean_run: self.times.learned_mean(service).unwrap_or_default(),
            longest_run: self
                .times
                .learned_quantile(service, team, LONG_QUANTILE)
                .unwrap_or_default(),
            time_left: spec.deadline,
        }
    }

    /// Returns the number of slots that this VM can count on. While no task is
    /// queued that is all of them, as VMs lend slots that they don't need;
    /// otherwise it is this VM's share, or what it holds if that is more.
    fn usable_slots(&self, queue: &ServiceQueue<P>, queued: usize) -> Slots {
        let all = self.fleet.capacity(&queue.service);
        if queued == 0 {
            return all;
        }
        let part = all.0 as usize / self.sharers.load(Ordering::Relaxed);
        let held = queue.held.load(Ordering::Relaxed);
        Slots(part.max(held) as u32)
    }
}

fn reason_of(unavailable: Unavailable, task: &TaskSpec) -> Reason {
    match unavailable {
        Unavailable::NoMinion => Reason::NoMinion,
        Unavailable::TooLarge => Reason::TooLarge(task.id.clone()),
        Unavailable::Full => Reason::Overloaded,
    }
}
