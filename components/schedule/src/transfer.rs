//! State of a scheduler as it is handed over to the next owner, so that a
//! planned stop loses no job.

use kernel::{Fence, LeaseTime, Millis, MinionId, RunNumber, Timestamp};
use serde::{Deserialize, Serialize};

use crate::crash::CrashRecord;
use crate::evidence::MAX_PAIRS;
use crate::evidence_report::EvidenceReport;
use crate::ids::{JobId, TaskName};
use crate::job::{Job, JobSpec, TaskState};
use crate::minion::{Minion, MinionInfo};
use crate::resources::Resources;
use crate::run::{Phase, Run};
use crate::scheduler::Scheduler;

/// Maximum number of pairs of kind and queue in a handover.
const TRANSFER_PAIRS: usize = MAX_PAIRS;

/// State of a task in a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTransfer {
    /// True if the task is done.
    pub done: bool,
    /// True if a run of the task may still be executing.
    pub placed: bool,
    /// Number of the task's latest run.
    pub run: RunNumber,
    /// Number of the task's runs that failed.
    pub failures: u32,
}

/// State of a job in a handover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobTransfer {
    /// The job, with the time left of its objective and timeout.
    pub spec: JobSpec,
    /// True if any task was started.
    pub started: bool,
    /// Tasks of the job, in the order of its steps.
    pub tasks: Vec<TaskTransfer>,
    /// Time left of the job's lease; `None` for a job of the previous owner's own
    /// callers.
    #[serde(default)]
    pub lease: Option<Millis>,
}

/// State of a run in a handover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunTransfer {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub number: RunNumber,
    /// The job and the task's index in it; `None` for a run started by another
    /// owner.
    #[serde(rename = "of")]
    pub job: Option<(JobId, usize)>,
    /// Resources that the run uses; `None` if unknown.
    pub need: Option<Resources>,
    /// Time since the start was sent.
    pub age: Millis,
    /// Expected run time on a minion of average speed.
    #[serde(rename = "usual")]
    pub baseline: Millis,
    /// Expected run time on this minion.
    pub expected: Millis,
    /// Expected run time on a minion of this kind.
    #[serde(default)]
    pub typical: Option<Millis>,
    /// True if the minion is kept for this run.
    #[serde(default)]
    pub alone: bool,
    /// True if the run is being stopped.
    #[serde(default)]
    pub stopping: bool,
}

/// State of a minion in a handover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MinionTransfer {
    /// The minion's entry in the register.
    pub info: MinionInfo,
    /// Sequence number of the last end that was processed.
    pub seen: u64,
    /// Runs that may be on the minion.
    pub runs: Vec<RunTransfer>,
    /// Largest capacity that the minion has had in this life, if known.
    #[serde(default)]
    pub size: Option<Resources>,
}

/// The jobs and minions of a shard in a handover.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transfer {
    /// Jobs that have not ended.
    pub jobs: Vec<JobTransfer>,
    /// Minions of the shard and their runs.
    pub minions: Vec<MinionTransfer>,
    /// Run times that the previous owner has observed.
    #[serde(default)]
    pub evidence: EvidenceReport,
    /// Runs that were lost with their minions.
    #[serde(default)]
    pub crashes: Vec<CrashRecord>,
}

impl Scheduler {
    /// Returns a copy of the state for the next owner.
    pub fn export(&self, now: Timestamp) -> Transfer {
        let jobs = self.jobs.values().map(|j| export_job(j, now));
        let minions = self.minions.values().map(|m| export_minion(m, now));
        Transfer {
            jobs: jobs.collect(),
            minions: minions.collect(),
            evidence: self.evidence.report(TRANSFER_PAIRS, now),
            crashes: self.crashes.records().cloned().collect(),
        }
    }

    /// Adds jobs and minions of the previous owner. `fence` mints a token for
    /// each minion. The first list of each minion confirms its runs.
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
            state.set_size(minion.size.unwrap_or_default());
            state.seen = minion.seen;
            state.last_renewal = now;
            for mut run in minion.runs {
                // A run outlives its job only while it is being stopped.
                let orphaned = run
                    .job
                    .as_ref()
                    .is_some_and(|(id, _)| !self.jobs.contains_key(id));
                run.stopping |= orphaned;
                if run.stopping {
                    self.record_run(&run.task, run.number, now);
                }
                state.runs.push(import_run(run, state.info.born, now));
            }
            self.minions.insert(id, state);
        }
        self.learn_report(&from.evidence, now);
        for record in from.crashes {
            self.learn_crash(record, now);
        }
    }
}

fn export_job(job: &Job, now: Timestamp) -> JobTransfer {
    let mut spec = job.spec.clone();
    spec.objective = job.objective.since(now);
    spec.timeout = job.deadline.since(now);
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
        lease: job.lease.map(|until| until.since(now)),
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
        typical: Some(r.typical),
        alone: r.alone,
        stopping: r.stop_sent.is_some(),
    });
    MinionTransfer {
        info: minion.info.clone(),
        size: Some(minion.size),
        seen: minion.seen,
        runs: runs.collect(),
    }
}

fn import_run(run: RunTransfer, born: u64, now: Timestamp) -> Run {
    let sent = now.before(run.age);
    Run {
        task: run.task,
        number: run.number,
        job: run.job,
        need: run.need,
        // The first list under the new token confirms or removes the run: orders of
        // the previous owner are no longer carried out after it, unless the minion
        // restarts meanwhile (docs/incidents/start-after-handover.md).
        phase: Phase::Unconfirmed,
        attributed: false,
        born,
        sent,
        baseline: run.baseline,
        typical: run.typical.unwrap_or(run.baseline),
        expected: run.expected,
        alone: run.alone,
        confirmed: None,
        last_contact: sent,
        start_limit: LeaseTime(0),
        // A tick sends the stop again under the new token.
        stop_sent: run.stopping.then_some(sent),
        stop_acked: None,
    }
}
