//! Decides whether a job may be taken on: whether its tasks fit any minion, and
//! whether it could end in time.

use std::sync::atomic::Ordering;

use jobs::{JobSpec, Reason, TaskSpec};
use kernel::{Millis, Slots};
use limits::Demand;
use routing::{Policy, Unavailable};

use super::{Dispatch, Line};

/// The quantile of run times that a job's last task is expected to take.
const LONG: f64 = 0.95;

impl<P: Policy> Dispatch<P> {
    /// Decides whether a job may be taken on.
    ///
    /// # Errors
    ///
    /// Tells why not; nothing of the job has run.
    pub fn admit(&self, spec: &JobSpec) -> Result<(), Reason> {
        for task in &spec.tasks {
            self.fleet
                .fits(&spec.service, task.cores)
                .map_err(|e| refusal(e, task))?;
        }
        let demand = self.demand(spec);
        self.admission
            .admit(&demand)
            .map_err(|_| Reason::Overloaded)
    }

    /// Returns when a caller refused for lack of slots should come back.
    pub fn retry_after(&self, spec: &JobSpec) -> Option<Millis> {
        let refused = self.admission.admit(&self.demand(spec)).err()?;
        Some(refused.retry_after)
    }

    /// Sums up what a job meets. What is not learned yet counts as nothing, so
    /// that no job is refused on a guess.
    fn demand(&self, spec: &JobSpec) -> Demand {
        let line = self.line(&spec.service);
        let queued = line.waiting.load(Ordering::Relaxed);
        let (service, team) = (&spec.service, &spec.team);
        Demand {
            queued,
            tasks: spec.tasks.len(),
            slots: self.usable_slots(&line, queued),
            mean_run: self.times.learned_mean(service).unwrap_or_default(),
            longest_run: self
                .times
                .learned_quantile(service, team, LONG)
                .unwrap_or_default(),
            time_left: spec.deadline,
        }
    }

    /// Returns the slots that this VM can count on: all while nothing waits,
    /// as VMs lend what they don't need; else its part, or what it holds.
    fn usable_slots(&self, line: &Line<P>, queued: usize) -> Slots {
        let all = self.fleet.capacity(&line.service);
        if queued == 0 {
            return all;
        }
        let part = all.0 as usize / self.sharers.load(Ordering::Relaxed);
        let held = line.held.load(Ordering::Relaxed);
        Slots(part.max(held) as u32)
    }
}

fn refusal(why: Unavailable, task: &TaskSpec) -> Reason {
    match why {
        Unavailable::NoMinion => Reason::NoMinion,
        Unavailable::TooLarge => Reason::TooLarge(task.id.clone()),
        Unavailable::Full => Reason::Overloaded,
    }
}
