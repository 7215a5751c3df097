//! A job, as submitted and while it runs.

use std::sync::Arc;

use compact_str::CompactString;
use kernel::{Millis, RunNumber, Service, Timestamp};
use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TaskName};
use crate::resources::Resources;

/// Tasks of a job that are alike.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks, at least 1.
    pub count: u16,
    /// What each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done before.
    pub after: Vec<u16>,
    /// A label that the minion must have.
    pub label: Option<CompactString>,
    /// The rack where the data lies; runs elsewhere take longer.
    pub rack: Option<CompactString>,
    /// The most tasks of the step on one minion.
    pub spread: Option<u16>,
}

/// A job as an entry VM hands it to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// The queue that it came through, for learned run times.
    pub queue: CompactString,
    /// The service whose minions run it.
    pub service: Service,
    /// What the tasks are told.
    pub payload: Arc<str>,
    /// Its steps, at least one.
    pub steps: Vec<Step>,
    /// The queue's priority; 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub attempts: u32,
    /// The latency objective, from the client's first attempt.
    pub objective: Millis,
    /// How much later the client stops waiting.
    pub patience: Millis,
}

impl JobSpec {
    /// Returns the longest chain of estimated run times over the steps.
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

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may; none will be started any more.
    Failed,
    /// No task was started, and none will be; worth another try then.
    Refused {
        /// When room is expected.
        retry: Millis,
    },
    /// Tasks were started, and their results will not come.
    Lost,
    /// Tasks were started, and did not end before the deadline.
    Expired,
}

impl Outcome {
    /// Returns what is true of a job that was run again after `earlier`: that
    /// nothing of it has run holds only if it held before.
    pub fn after(self, earlier: Option<Outcome>) -> Outcome {
        match (earlier, self) {
            (Some(Outcome::Lost), Outcome::Refused { .. }) => Outcome::Lost,
            (_, outcome) => outcome,
        }
    }
}

/// Where a task of a running job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits for room.
    Waiting,
    /// A run of it was ordered, and may go on.
    Placed,
    /// It is done.
    Done,
}

/// A task of a running job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// Its name at the minions.
    pub name: TaskName,
    /// Its step.
    pub step: u16,
    /// Where it stands.
    pub state: TaskState,
    /// The number of its latest run; 0 before the first.
    pub run: RunNumber,
    /// How many of its runs failed.
    pub failures: u32,
}

/// A job in the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// Its tasks, by step.
    pub tasks: Vec<Task>,
    /// How many tasks of each step are not done.
    pub unfinished: Vec<u16>,
    /// When it arrived here.
    pub arrived: Timestamp,
    /// When it must have ended.
    pub deadline: Timestamp,
    /// When it misses its objective.
    pub objective: Timestamp,
    /// How long it takes once all its tasks can start.
    pub expected: Millis,
    /// True once a task was ordered to start.
    pub started: bool,
    /// When the latest start was ordered.
    pub last_start: Timestamp,
}

/// What is told of a job that has ended, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// How many tasks it has.
    pub tasks: usize,
    /// How many of them are done.
    pub done: usize,
    /// How many of their runs failed.
    pub failures: u32,
    /// How long it was expected to take.
    pub expected: Millis,
    /// How long it was here.
    pub took: Millis,
    /// How long after its arrival its latest task was started.
    pub waited: Millis,
}

impl Job {
    /// Makes the state of a job that arrives at `now`, whose runs are numbered
    /// from the one after `last`.
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
                });
            }
        }
        let objective = now.after(spec.objective);
        Job {
            unfinished: spec.steps.iter().map(|s| s.count).collect(),
            arrived: now,
            deadline: now.after(spec.patience),
            objective,
            expected,
            started: false,
            last_start: now,
            tasks,
            spec,
        }
    }

    /// Returns when it has to end to be worth the most.
    pub fn due(&self) -> Timestamp {
        self.objective.min(self.deadline)
    }

    /// Returns the latest start with which it is still expected to end by then.
    pub fn latest_start(&self) -> Timestamp {
        Timestamp(self.due().0.saturating_sub(self.expected.micros()))
    }

    /// Returns which part of the time left the job needs; above 1 it is
    /// expected to be late.
    pub fn tightness(&self, now: Timestamp) -> f64 {
        self.expected.micros() as f64 / self.due().micros_since(now).max(1) as f64
    }

    /// Returns the waiting tasks whose turn has come.
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

    /// Sums the job up at its end.
    pub fn summary(&self, now: Timestamp) -> Summary {
        let done = self.tasks.iter().filter(|t| t.state == TaskState::Done);
        Summary {
            tasks: self.tasks.len(),
            done: done.count(),
            failures: self.tasks.iter().map(|t| t.failures).sum(),
            expected: self.expected,
            took: now.since(self.arrived),
            waited: self.last_start.since(self.arrived),
        }
    }

    /// Tells whether any task waits.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Waiting)
    }

    /// Tells whether every task is done.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|n| *n == 0)
    }

    /// Returns the highest run number given out.
    pub fn last_run(&self) -> RunNumber {
        self.tasks.iter().map(|t| t.run).max().unwrap_or_default()
    }
}
