//! Evacuation of the shard's failure domain: nothing more is started on its
//! minions until the operator ends it. Runs in progress continue
//! (docs/design/evacuation.md).

use kernel::{Millis, Timestamp};

use crate::job::{Job, Outcome};
use crate::scheduler::{Load, Scheduler};

/// Retry hint of refusals during an evacuation. All VMs have learned of the
/// evacuation by then and take the job to another domain.
pub(crate) const EVACUATED_RETRY: Millis = Millis(1_000);

/// Jobs that ended because their tasks can't start any more, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GivenBack {
    /// Number of jobs of which nothing had been started.
    pub waiting: usize,
    /// Number of jobs of which some tasks had been started.
    pub started: usize,
}

impl Scheduler {
    /// Returns whether the shard's domain is being evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Begins or ends the evacuation of the shard's domain, and returns the
    /// jobs that were given back. A frozen scheduler gives jobs back once it is
    /// resumed, because its exported state has to stay valid.
    pub fn set_evacuated(&mut self, evacuated: bool, now: Timestamp) -> GivenBack {
        self.evacuated = evacuated;
        match evacuated && !self.frozen {
            true => self.give_back(now),
            false => {
                self.place(now);
                GivenBack::default()
            }
        }
    }

    /// Ends the jobs with waiting tasks, as those would wait until the end of
    /// the evacuation. A job of which tasks were started counts as lost, so
    /// that the VM that took it runs it again in another domain.
    pub(crate) fn give_back(&mut self, now: Timestamp) -> GivenBack {
        let mut given_back = GivenBack::default();
        for id in std::mem::take(&mut self.queue) {
            let Some(job) = self.jobs.get(&id).filter(|j| Job::has_waiting(j)) else {
                continue;
            };
            let outcome = match job.started {
                true => Outcome::Lost,
                false => Outcome::Refused {
                    retry: EVACUATED_RETRY,
                },
            };
            match job.started {
                true => given_back.started += 1,
                false => given_back.waiting += 1,
            }
            self.settle(&id, outcome, now);
        }
        given_back
    }

    /// Returns the load of a shard that takes no work.
    pub(crate) fn evacuated_load(&self) -> Load {
        Load {
            delay: self.delay,
            ..Load::default()
        }
    }
}
