//! A scheduler's state on its way to the next owner, so that a planned stop
//! costs no job.

use kernel::{Fence, LeaseTime, Millis, MinionId, RunNumber, Timestamp};
use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TaskName};
use crate::job::{Job, JobSpec, TaskState};
use crate::minion::{Minion, MinionInfo};
use crate::resources::Resources;
use crate::run::{Phase, Run};
use crate::scheduler::Scheduler;

/// A task of a job that changes hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTransfer {
    /// True if it is done.
    pub done: bool,
    /// True if a run of it may go on.
    pub placed: bool,
    /// The number of its latest run.
    pub run: RunNumber,
    /// How many of its runs failed.
    pub failures: u32,
}

/// A job that changes hands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobTransfer {
    /// The job, with the times that are left of its objective and patience.
    pub spec: JobSpec,
    /// True if any task was started.
    pub started: bool,
    /// Its tasks.
    pub tasks: Vec<TaskTransfer>,
}

/// A run that changes hands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunTransfer {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub number: RunNumber,
    /// The job and the task's place in it.
    #[serde(rename = "of")]
    pub job: Option<(JobId, usize)>,
    /// Its room.
    pub need: Option<Resources>,
    /// How long ago it was started.
    pub age: Millis,
    /// How long it takes on a usual minion.
    #[serde(rename = "usual")]
    pub baseline: Millis,
    /// How long it should take.
    pub expected: Millis,
}

/// A minion that changes hands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MinionTransfer {
    /// What the register says.
    pub info: MinionInfo,
    /// The last end that was taken note of.
    pub seen: u64,
    /// The runs that may be there.
    pub runs: Vec<RunTransfer>,
}

/// All that the next owner of a shard needs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transfer {
    /// The jobs.
    pub jobs: Vec<JobTransfer>,
    /// The minions.
    pub minions: Vec<MinionTransfer>,
}

impl Scheduler {
    /// Copies what the next owner needs.
    pub fn export(&self, now: Timestamp) -> Transfer {
        let jobs = self.jobs.values().map(|j| export_job(j, now));
        let minions = self.minions.values().map(|m| export_minion(m, now));
        Transfer {
            jobs: jobs.collect(),
            minions: minions.collect(),
        }
    }

    /// Takes over jobs and minions, each minion under a token from `fence`.
    /// Their runs are confirmed by each minion's first list.
    pub fn import(&mut self, now: Timestamp, from: Transfer, mut fence: impl FnMut() -> Fence) {
        for job in from.jobs {
            let id = job.spec.id.clone();
            let mut state = Job::new(job.spec, RunNumber(0), now, Millis(0));
            state.expected = self.expected_time(&state.spec);
            state.started = job.started;
            for (task, imported) in state.tasks.iter_mut().zip(job.tasks) {
                task.run = imported.run;
                task.failures = imported.failures;
                if imported.done {
                    task.state = TaskState::Done;
                    state.unfinished[usize::from(task.step)] -= 1;
                } else if imported.placed {
                    task.state = TaskState::Placed;
                }
            }
            self.queue.push(id.clone());
            self.jobs.insert(id, state);
        }
        for minion in from.minions {
            let id: MinionId = minion.info.id.clone();
            let mut state = Minion::new(minion.info, fence());
            state.seen = minion.seen;
            state.last_renewal = now;
            state.runs = minion
                .runs
                .into_iter()
                .map(|r| import_run(r, now))
                .collect();
            self.minions.insert(id, state);
        }
    }
}

fn export_job(job: &Job, now: Timestamp) -> JobTransfer {
    let mut spec = job.spec.clone();
    spec.objective = job.objective.since(now);
    spec.patience = job.deadline.since(now);
    let tasks = job.tasks.iter().map(|t| TaskTransfer {
        done: t.state == TaskState::Done,
        placed: t.state == TaskState::Placed,
        run: t.run,
        failures: t.failures,
    });
    JobTransfer {
        spec,
        started: job.started,
        tasks: tasks.collect(),
    }
}

fn export_minion(minion: &Minion, now: Timestamp) -> MinionTransfer {
    let runs = minion.runs.iter().map(|r| RunTransfer {
        task: r.task.clone(),
        number: r.number,
        job: r.job.clone(),
        need: r.need,
        age: now.since(r.sent),
        baseline: r.baseline,
        expected: r.expected,
    });
    MinionTransfer {
        info: minion.info.clone(),
        seen: minion.seen,
        runs: runs.collect(),
    }
}

fn import_run(run: RunTransfer, now: Timestamp) -> Run {
    Run {
        task: run.task,
        number: run.number,
        job: run.job,
        need: run.need,
        // The first list under the new token settles it: no order of the
        // former owner is carried out after that.
        phase: Phase::Unconfirmed,
        sent: Timestamp(now.0.saturating_sub(run.age.micros())),
        baseline: run.baseline,
        expected: run.expected,
        confirmed: None,
        start_limit: LeaseTime(0),
        stop_sent: None,
        stop_acked: None,
    }
}
