//! Which jobs a load sends and when: a function of the seed alone.

use std::time::Duration;

use bytes::Bytes;
use kernel::Millis;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;

use crate::load::{Mix, Part};

/// What a load consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Jobs a second, on average.
    pub rate: u32,
    /// For how long jobs are sent.
    pub duration: Millis,
    /// The mix of jobs.
    pub mix: Mix,
    /// The spread of run times: the sigma of their log-normal distribution, in
    /// percent.
    pub spread: u32,
    /// How many teams the jobs are of.
    pub teams: u32,
    /// Each job's deadline.
    pub deadline: Millis,
    /// Seeds every choice.
    pub seed: u64,
}

/// One job to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// When, from the start of the load.
    pub at: Duration,
    /// Its number, from 0.
    pub serial: u64,
    /// Its submission's body.
    pub body: Bytes,
    /// How many tasks it has.
    pub tasks: usize,
    /// The longest run time of its tasks.
    pub ideal: Duration,
}

/// The jobs of a plan in the order of their starts. The gaps between them are
/// exponential, as those of independent callers are.
#[derive(Debug)]
pub struct Arrivals {
    /// The plan.
    plan: Plan,
    /// Draws every choice.
    rng: Xoshiro256PlusPlus,
    /// When the last job was sent, in seconds.
    last: f64,
    /// The next job's number.
    serial: u64,
}

/// A submission's body.
#[derive(Serialize)]
struct Body<'a> {
    team: String,
    service: &'a str,
    idempotent: bool,
    deadline_ms: u64,
    tasks: Vec<Task>,
}

/// A task in a submission's body.
#[derive(Serialize)]
struct Task {
    id: String,
    payload: Payload,
    declared_ms: u64,
}

/// What a stand-in minion is told to do.
#[derive(Serialize)]
struct Payload {
    run_ms: u64,
}

impl Arrivals {
    /// Starts at the plan's beginning.
    pub fn new(plan: Plan) -> Arrivals {
        Arrivals {
            rng: Xoshiro256PlusPlus::seed_from_u64(plan.seed),
            plan,
            last: 0.0,
            serial: 0,
        }
    }

    fn gap(&mut self) -> f64 {
        let rate = f64::from(self.plan.rate.max(1));
        match Exp::new(rate) {
            Ok(gaps) => gaps.sample(&mut self.rng),
            Err(_) => 1.0 / rate,
        }
    }

    /// Draws a run time around the part's median.
    fn run_time(&mut self, part: &Part) -> u64 {
        let sigma = f64::from(self.plan.spread) / 100.0;
        match LogNormal::new((part.run.0 as f64).ln(), sigma) {
            Ok(times) => times.sample(&mut self.rng).round() as u64,
            Err(_) => part.run.0,
        }
    }

    fn job(&mut self, at: Duration) -> Planned {
        let number = self.rng.random();
        let part = self.plan.mix.pick(number).clone();
        let runs: Vec<u64> = (0..part.tasks).map(|_| self.run_time(&part)).collect();
        let team = self.rng.random_range(0..self.plan.teams.max(1));
        let task = |(i, run_ms): (usize, &u64)| Task {
            id: format!("t{i}"),
            payload: Payload { run_ms: *run_ms },
            declared_ms: part.run.0,
        };
        let body = Body {
            team: format!("team-{team}"),
            service: part.service.as_str(),
            idempotent: false,
            deadline_ms: self.plan.deadline.0,
            tasks: runs.iter().enumerate().map(task).collect(),
        };
        let longest = runs.iter().max().copied().unwrap_or_default();
        self.serial += 1;
        Planned {
            at,
            serial: self.serial - 1,
            body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
            tasks: part.tasks,
            ideal: Duration::from_millis(longest),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        self.last += self.gap();
        let at = Duration::from_secs_f64(self.last);
        if at >= self.plan.duration.duration() {
            return None;
        }
        Some(self.job(at))
    }
}
