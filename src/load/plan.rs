//! Jobs of a load and their start times, fully determined by the plan and its
//! seed.

use std::time::Duration;

use bytes::Bytes;
use kernel::Millis;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;

use crate::load::{JobKind, Mix};

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Average number of jobs per second.
    pub rate: u32,
    /// Period during which jobs are sent.
    pub duration: Millis,
    /// Mix of jobs.
    pub mix: Mix,
    /// Sigma of the log-normal distribution of run times, in percent.
    pub spread: u32,
    /// Number of teams that the jobs belong to.
    pub teams: u32,
    /// Deadline of each job.
    pub deadline: Millis,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Job to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedJob {
    /// Intended start, from the start of the load.
    pub at: Duration,
    /// Index of the job in the load, from 0.
    pub index: u64,
    /// Body of the submission.
    pub body: Bytes,
    /// Number of tasks in the job.
    pub tasks: usize,
    /// Longest run time of the tasks, the shortest possible response.
    pub ideal: Duration,
}

/// Iterator over the jobs of a plan in the order of their starts. The gaps
/// between starts are exponentially distributed, like those of independent
/// callers.
#[derive(Debug)]
pub struct Arrivals {
    /// Parameters of the load.
    plan: Plan,
    /// Random number generator for gaps, kinds, teams and run times.
    rng: Xoshiro256PlusPlus,
    /// Intended start of the previous job, in seconds.
    last: f64,
    /// Index of the next job.
    index: u64,
}

/// Body of a submission.
#[derive(Serialize)]
struct Body<'a> {
    team: String,
    service: &'a str,
    idempotent: bool,
    deadline_ms: u64,
    tasks: Vec<Task>,
}

/// Task in the body of a submission.
#[derive(Serialize)]
struct Task {
    id: String,
    payload: Payload,
    declared_ms: u64,
}

/// Payload that tells a stand-in minion how long to run.
#[derive(Serialize)]
struct Payload {
    run_ms: u64,
}

impl Arrivals {
    /// Creates the iterator, which starts with the first job of the plan.
    pub fn new(plan: Plan) -> Arrivals {
        Arrivals {
            rng: Xoshiro256PlusPlus::seed_from_u64(plan.seed),
            plan,
            last: 0.0,
            index: 0,
        }
    }

    fn next_gap(&mut self) -> f64 {
        let rate = f64::from(self.plan.rate.max(1));
        match Exp::new(rate) {
            Ok(gaps) => gaps.sample(&mut self.rng),
            Err(_) => 1.0 / rate,
        }
    }

    /// Draws a run time in milliseconds from the distribution of the job kind.
    fn draw_run_time(&mut self, kind: &JobKind) -> u64 {
        let sigma = f64::from(self.plan.spread) / 100.0;
        match LogNormal::new((kind.run.0 as f64).ln(), sigma) {
            Ok(times) => times.sample(&mut self.rng).round() as u64,
            Err(_) => kind.run.0,
        }
    }

    fn next_job(&mut self, at: Duration) -> PlannedJob {
        let number = self.rng.random();
        let kind = self.plan.mix.pick(number).clone();
        let runs: Vec<u64> = (0..kind.tasks).map(|_| self.draw_run_time(&kind)).collect();
        let team = self.rng.random_range(0..self.plan.teams.max(1));
        let task = |(i, run_ms): (usize, &u64)| Task {
            id: format!("t{i}"),
            payload: Payload { run_ms: *run_ms },
            declared_ms: kind.run.0,
        };
        let body = Body {
            team: format!("team-{team}"),
            service: kind.service.as_str(),
            idempotent: false,
            deadline_ms: self.plan.deadline.0,
            tasks: runs.iter().enumerate().map(task).collect(),
        };
        let longest = runs.iter().max().copied().unwrap_or_default();
        self.index += 1;
        PlannedJob {
            at,
            index: self.index - 1,
            body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
            tasks: kind.tasks,
            ideal: Duration::from_millis(longest),
        }
    }
}

impl Iterator for Arrivals {
    type Item = PlannedJob;

    fn next(&mut self) -> Option<PlannedJob> {
        self.last += self.next_gap();
        let at = Duration::from_secs_f64(self.last);
        if at >= self.plan.duration.duration() {
            return None;
        }
        Some(self.next_job(at))
    }
}
