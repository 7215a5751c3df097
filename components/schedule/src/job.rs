//! Jobs as submitted, and their state while they run.

use std::sync::Arc;

use compact_str::CompactString;
use kernel::{Millis, MinionId, RunNumber, Service, Timestamp};
use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TaskName};
use crate::resources::Resources;

/// A group of identical tasks of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u16,
    /// Resources that each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Indices of earlier steps whose tasks must all be done before a task of
    /// this step starts.
    pub after: Vec<u16>,
    /// Label that a minion must have to run the tasks.
    pub label: Option<CompactString>,
    /// Rack that holds the input data; tasks take longer on minions elsewhere.
    pub rack: Option<CompactString>,
    /// Maximum number of tasks of the step on one minion.
    pub spread: Option<u16>,
}

/// A job as an entry VM submits it to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Queue through which the job was submitted; run times are learned per
    /// queue.
    pub queue: CompactString,
    /// Service whose minions run the job.
    pub service: Service,
    /// Input passed to each task.
    pub payload: Arc<str>,
    /// Steps of the job, at least one.
    pub steps: Vec<Step>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Number of failures of one task at which the job fails.
    pub attempts: u32,
    /// Latency objective, counted from the client's first attempt.
    pub objective: Millis,
    /// Time after which the client stops waiting, counted like the objective.
    #[serde(rename = "patience")]
    pub timeout: Millis,
}

impl JobSpec {
    /// Returns the number of tasks of all steps.
    pub fn tasks(&self) -> u32 {
        self.steps.iter().map(|step| u32::from(step.count)).sum()
    }

    /// Returns the cores that the tasks of the first step need together.
    pub fn width(&self) -> f64 {
        let step = &self.steps[0];
        f64::from(step.count) * f64::from(step.need.cpu.0) / 1000.0
    }

    /// Returns the sum of estimated run times along the longest chain of
    /// dependent steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|i| ends.get(usize::from(*i)));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + step.estimate.0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the estimated processor time of all tasks, in core milliseconds.
    pub fn work(&self) -> f64 {
        let step = |s: &Step| f64::from(s.count) * f64::from(s.need.cpu.0) * s.estimate.0 as f64;
        self.steps.iter().map(step).sum::<f64>() / 1000.0
    }
}

/// Outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task used up its attempts; no further task will be started.
    Failed,
    /// No task was started and none will be; the client may retry after
    /// `retry`.
    Refused {
        /// Time until capacity is expected to be free.
        retry: Millis,
    },
    /// Tasks were started and their results are lost.
    Lost,
    /// Tasks were started and did not end before the deadline.
    Expired,
}

impl Outcome {
    /// Combines this outcome with that of an `earlier` run of the same job. A
    /// refusal says that nothing has run, so after an earlier [`Outcome::Lost`]
    /// the job counts as lost.
    pub fn after(self, earlier: Option<Outcome>) -> Outcome {
        match (earlier, self) {
            (Some(Outcome::Lost), Outcome::Refused { .. }) => Outcome::Lost,
            (_, outcome) => outcome,
        }
    }
}

/// State of a task of a running job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task waits to be started, for capacity or for an earlier step.
    Waiting,
    /// A run of the task was ordered and may still be executing.
    Placed,
    /// The task is done.
    Done,
}

/// What is at fault if runs of a task fail or hang.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum Blame {
    /// None did so far.
    #[default]
    Nobody,
    /// The minion on which the first one did, as far as is known.
    Minion(MinionId),
    /// The task, as runs on two minions did.
    Task,
}

/// A task of a running job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// Name under which minions know the task.
    pub name: TaskName,
    /// Index of the task's step.
    pub step: u16,
    /// State of the task.
    pub state: TaskState,
    /// Number of the latest run; before the first run, the last number used by
    /// an earlier submission of the job, or 0.
    pub run: RunNumber,
    /// Number of runs that failed.
    pub failures: u32,
    /// What is at fault for failed and hung runs.
    pub blame: Blame,
    /// Probability at the start of the latest run that it makes the job late,
    /// zero if it was not predicted.
    pub risk: f64,
}

/// A job in the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Tasks of all steps, in the order of the steps.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done, by step.
    pub unfinished: Vec<u16>,
    /// Time at which this scheduler received the job.
    pub arrived: Timestamp,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Time from which no task is started any more unless the lease is renewed;
    /// `None` if the VM of the job's caller is the owner.
    pub lease: Option<Timestamp>,
    /// Time after which the latency objective is missed.
    pub objective: Timestamp,
    /// Expected duration once all its tasks can start.
    pub expected: Millis,
    /// True once a start of one of its tasks was ordered.
    pub started: bool,
    /// Time at which the latest start was ordered.
    pub last_start: Timestamp,
    /// Time that the latest start order waited for the VM's link.
    pub link_delay: Millis,
    /// Run times of the tasks that are done.
    pub ratios: RunRatios,
}

/// Run times of a job's done tasks, as ratios of actual over estimated time.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunRatios {
    /// Sum of the ratios of all runs but the latest.
    sum: f64,
    /// Number of these runs.
    count: u32,
    /// Minion and ratio of the run that ended latest.
    last: Option<(MinionId, f64)>,
}

impl RunRatios {
    /// Adds a run that has ended.
    pub fn add(&mut self, on: &MinionId, ratio: f64) {
        if let Some((_, earlier)) = self.last.replace((on.clone(), ratio)) {
            self.sum += earlier;
            self.count += 1;
        }
    }

    /// Returns the mean ratio of all runs but the latest, or that of the only one.
    fn mean(&self) -> f64 {
        match self.count {
            0 => self.last.as_ref().map_or(0.0, |(_, ratio)| *ratio),
            count => self.sum / f64::from(count),
        }
    }
}

/// Statistics of a job that has ended, for logs.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Number of tasks.
    pub tasks: usize,
    /// Number of tasks that are done.
    pub done: usize,
    /// Number of runs that failed.
    pub failures: u32,
    /// Expected duration of the job.
    pub expected: Millis,
    /// Time from the job's arrival to its end.
    pub took: Millis,
    /// Time from the job's arrival to the start of its latest task.
    pub waited: Millis,
    /// Time that the order of that start waited for the VM's link.
    pub link_delay: Millis,
    /// Mean ratio of actual over estimated run time of all runs but the last.
    pub run_ratio: f64,
    /// Size of the tasks of the first step.
    pub need: Resources,
    /// Minion of the run that ended last and that run's ratio.
    pub last_run: Option<(MinionId, f64)>,
}

impl Job {
    /// Creates the state of a job that arrives at `now`. Its runs are numbered
    /// from `last` + 1.
    pub fn new(spec: JobSpec, last: RunNumber, now: Timestamp, expected: Millis) -> Job {
        let mut tasks = Vec::new();
        for (step, part) in spec.steps.iter().enumerate() {
            for index in 0..part.count {
                tasks.push(Task {
                    name: TaskName::new(&spec.id, step, index),
                    step: step as u16,
                    state: TaskState::Waiting,
                    run: last,
                    failures: 0,
                    blame: Blame::Nobody,
                    risk: 0.0,
                });
            }
        }
        let objective = now.after(spec.objective);
        Job {
            unfinished: spec.steps.iter().map(|s| s.count).collect(),
            arrived: now,
            deadline: now.after(spec.timeout),
            lease: None,
            objective,
            expected,
            started: false,
            last_start: now,
            link_delay: Millis(0),
            ratios: RunRatios::default(),
            tasks,
            spec,
        }
    }

    /// Returns the time by which the job should end: its objective or its
    /// deadline, whichever is earlier.
    pub fn due(&self) -> Timestamp {
        self.objective.min(self.deadline)
    }

    /// Returns the latest start with which the job is expected to end by
    /// [`Job::due`].
    pub fn latest_start(&self) -> Timestamp {
        Timestamp(self.due().0.saturating_sub(self.expected.micros()))
    }

    /// Returns the expected duration as a fraction of the time left until
    /// [`Job::due`]; above 1 the job is expected to be late.
    pub fn tightness(&self, now: Timestamp) -> f64 {
        self.expected.micros() as f64 / self.due().micros_since(now).max(1) as f64
    }

    /// Returns the indices of waiting tasks whose preceding steps are done.
    pub fn runnable(&self) -> impl Iterator<Item = usize> + '_ {
        let ready = |step: u16| {
            let after = &self.spec.steps[usize::from(step)].after;
            after
                .iter()
                .all(|i| self.unfinished.get(usize::from(*i)) == Some(&0))
        };
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, t)| t.state == TaskState::Waiting && ready(t.step))
            .map(|(i, _)| i)
    }

    /// Returns the highest risk of the tasks that run. The tasks of a job share
    /// the error of its estimate, so the worst one stands for all.
    pub fn worst_risk(&self) -> f64 {
        let placed = self.tasks.iter().filter(|t| t.state == TaskState::Placed);
        placed.map(|t| t.risk).fold(0.0, f64::max)
    }

    /// Returns the sum of estimates along the longest chain of steps that follow
    /// a step.
    pub fn path_after(&self, step: usize) -> Millis {
        let steps = &self.spec.steps;
        let mut after = vec![None; steps.len()];
        after[step] = Some(0);
        for i in step + 1..steps.len() {
            let before = steps[i].after.iter();
            let before = before.filter_map(|b| after.get(usize::from(*b)).copied().flatten());
            after[i] = before.max().map(|start: u64| start + steps[i].estimate.0);
        }
        Millis(after.into_iter().flatten().max().unwrap_or(0))
    }

    /// Returns the job's statistics at its end.
    pub fn summary(&self, now: Timestamp) -> Summary {
        let done = self.tasks.iter().filter(|t| t.state == TaskState::Done);
        Summary {
            tasks: self.tasks.len(),
            done: done.count(),
            failures: self.tasks.iter().map(|t| t.failures).sum(),
            expected: self.expected,
            took: now.since(self.arrived),
            waited: self.last_start.since(self.arrived),
            link_delay: self.link_delay,
            run_ratio: self.ratios.mean(),
            need: self.spec.steps[0].need,
            last_run: self.ratios.last.clone(),
        }
    }

    /// Returns whether the job's lease has lapsed: its caller may have given it up.
    pub fn is_lapsed(&self, now: Timestamp) -> bool {
        self.lease.is_some_and(|until| until <= now)
    }

    /// Returns whether tasks of the job may still be started.
    pub fn may_start(&self, now: Timestamp) -> bool {
        now < self.deadline && !self.is_lapsed(now)
    }

    /// Returns whether any task waits to be started.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Waiting)
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|n| *n == 0)
    }

    /// Returns the highest run number used so far.
    pub fn last_run(&self) -> RunNumber {
        self.tasks.iter().map(|t| t.run).max().unwrap_or_default()
    }
}
