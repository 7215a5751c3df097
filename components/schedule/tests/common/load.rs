//! The load of the production sites, on a simulation of one failure domain.

use std::collections::BTreeMap;

use kernel::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schedule::{Admission, JobId, JobSpec, Outcome};

use super::{Simulation, cores, job};

/// Cores of the domain's minions: two tasks of 14 cores fit on the small ones,
/// three on the others.
pub const MINION_CORES: [u32; 16] = [
    32, 32, 48, 32, 32, 48, 32, 32, 48, 32, 32, 48, 32, 32, 48, 32,
];

/// Number of tasks of 14 cores that fit on the domain's minions.
const SLOTS: f64 = 37.0;

/// The usual load of the sites as a fraction of the slots: at 2.6 times the usual
/// rates just over all slots are needed (docs/design/hard-load.md).
pub const USUAL: f64 = 0.4;

/// Run time on a minion relative to the mean, by kind of minion. The site of
/// 350 minions has kinds of speed 0.8, 1.0 and 1.25.
pub const SLOWNESS: [f64; 3] = [1.25, 1.0, 0.8];

/// A kind of job: sizes, run time and share of the load.
#[derive(Debug, Clone, Copy)]
pub struct JobKind {
    pub queue: &'static str,
    pub width: f64,
    pub run_ms: f64,
    pub priority: u8,
    pub attempts: u32,
    /// Fraction of all jobs that are of this kind.
    pub share: f64,
}

/// Short wide jobs, long jobs, and many small jobs.
pub const KINDS: [JobKind; 3] = [
    JobKind {
        queue: "wide",
        width: 8.0,
        run_ms: 60.0,
        priority: 0,
        attempts: 4,
        share: 0.244,
    },
    JobKind {
        queue: "long",
        width: 4.0,
        run_ms: 900.0,
        priority: 2,
        attempts: 4,
        share: 0.044,
    },
    JobKind {
        queue: "small",
        width: 2.0,
        run_ms: 200.0,
        priority: 1,
        attempts: 2,
        share: 0.712,
    },
];

/// A job that was submitted.
#[derive(Debug, Clone)]
pub struct Submitted {
    pub spec: JobSpec,
    pub at: u64,
    /// Index of the domain that the caller came through.
    pub origin: usize,
    /// Processor time of all tasks on a minion of average speed, in core
    /// milliseconds.
    pub work: f64,
    /// Time and outcome of the end, once the job has ended.
    pub end: Option<(u64, Outcome)>,
}

impl Submitted {
    pub fn served(&self) -> bool {
        matches!(self.end, Some((_, Outcome::Completed)))
    }

    pub fn in_time(&self) -> bool {
        let due = self.at + self.spec.objective.0;
        matches!(self.end, Some((at, Outcome::Completed)) if at <= due)
    }

    pub fn late(&self) -> bool {
        self.served() && !self.in_time()
    }

    pub fn refused(&self) -> bool {
        matches!(self.end, Some((_, Outcome::Refused { .. })))
    }
}

/// Submits random jobs to one simulated owner.
pub struct LoadGenerator {
    pub sim: Simulation,
    pub submitted: Vec<Submitted>,
    indices: BTreeMap<JobId, usize>,
    collected: usize,
    rng: StdRng,
    /// Load by domain that callers come through; a sum of 1 fills all slots.
    pub factors: Vec<f64>,
}

impl LoadGenerator {
    pub fn new(seed: u64, factor: f64) -> LoadGenerator {
        LoadGenerator::with_origins(seed, vec![factor])
    }

    /// Creates a generator with the load of each domain that callers come
    /// through.
    pub fn with_origins(seed: u64, factors: Vec<f64>) -> LoadGenerator {
        let mut sim = Simulation::new(seed, 1, &MINION_CORES);
        sim.run(50);
        LoadGenerator {
            sim,
            submitted: Vec::new(),
            indices: BTreeMap::new(),
            collected: 0,
            rng: StdRng::seed_from_u64(seed),
            factors,
        }
    }

    /// Gives the minions the speeds of the site's three kinds.
    pub fn mix_speeds(&mut self) {
        let speeds = SLOWNESS.iter().cycle();
        for (minion, slowness) in self.sim.minions.values_mut().zip(speeds) {
            minion.slowness = *slowness;
        }
    }

    /// Draws a random size distributed like the sites' sizes, which are rarely
    /// more than four times the mean.
    fn draw_size(&mut self, mean: f64, max_factor: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (0.4 * normal - 0.08).exp()).clamp(mean / 4.0, mean * max_factor)
    }

    fn draw_job(&mut self, kind: &JobKind) -> (JobSpec, u64) {
        let number = self.submitted.len() as u64 + 1;
        let tasks = self.draw_size(kind.width, 4.0).round().max(1.0) as u16;
        let run_ms = self.draw_size(kind.run_ms, 4.0);
        let size = self.rng.random_range(11..=17);
        let estimate = run_ms * self.rng.random_range(0.6..1.4);
        let mut spec = job(number, tasks, size, estimate as u64);
        spec.steps[0].need = cores(size);
        spec.queue = kind.queue.into();
        spec.priority = kind.priority;
        spec.attempts = kind.attempts;
        spec.objective = Millis((run_ms * 1.6) as u64 + 60);
        spec.timeout = Millis((run_ms * 4.8) as u64 + 1_000);
        (spec, run_ms as u64)
    }

    /// Submits a random job of a kind.
    pub fn submit_kind(&mut self, kind: &JobKind, origin: usize) {
        let (spec, run_ms) = self.draw_job(kind);
        self.submit(spec, run_ms, origin);
    }

    /// Submits a random job of a kind whose caller waits for only a second.
    pub fn submit_with_short_timeout(&mut self, kind: &JobKind) {
        let (mut spec, run_ms) = self.draw_job(kind);
        spec.timeout = Millis(1_000);
        self.submit(spec, run_ms, 0);
    }

    fn submit(&mut self, spec: JobSpec, run_ms: u64, origin: usize) {
        let at = self.sim.now;
        self.indices.insert(spec.id.clone(), self.submitted.len());
        let admission = self.sim.submit(0, spec.clone(), run_ms);
        let end = match admission {
            Admission::Taken => None,
            Admission::Refused { retry } => Some((at, Outcome::Refused { retry })),
        };
        let cores = f64::from(spec.steps[0].need.cpu.0) / 1_000.0;
        let work = f64::from(spec.steps[0].count) * cores * run_ms as f64;
        self.submitted.push(Submitted {
            spec,
            at,
            origin,
            work,
            end,
        });
    }

    /// Submits jobs at random times for so many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let work: f64 = KINDS
            .iter()
            .map(|k| k.share * k.width * k.run_ms / 1_000.0)
            .sum();
        let rate = SLOTS / work / 1_000.0;
        for _ in 0..millis {
            for origin in 0..self.factors.len() {
                for kind in &KINDS {
                    let chance = rate * kind.share * self.factors[origin];
                    if self.rng.random::<f64>() < chance {
                        self.submit_kind(kind, origin);
                    }
                }
            }
            self.sim.step();
            self.collect();
        }
    }

    fn collect(&mut self) {
        for (at, id, outcome) in &self.sim.outcomes[self.collected..] {
            if let Some(index) = self.indices.get(id) {
                self.submitted[*index].end = Some((*at, *outcome));
            }
        }
        self.collected = self.sim.outcomes.len();
    }

    /// Runs until all jobs have ended, without submitting new ones.
    pub fn finish(&mut self) {
        for _ in 0..6_000 {
            self.sim.step();
            self.collect();
        }
    }
}

/// Returns the fraction of the jobs that satisfy a condition.
pub fn fraction(jobs: &[&Submitted], condition: impl Fn(&Submitted) -> bool) -> f64 {
    let count = jobs.iter().filter(|a| condition(a)).count();
    count as f64 / jobs.len().max(1) as f64
}

/// Splits jobs into the widest tenth, the next fifth and the rest.
pub fn by_width<'a>(jobs: &[&'a Submitted]) -> [Vec<&'a Submitted>; 3] {
    let mut sorted = jobs.to_vec();
    sorted.sort_by_key(|a| std::cmp::Reverse(a.spec.steps[0].count));
    let rest = sorted.split_off(sorted.len() * 3 / 10);
    let next = sorted.split_off(jobs.len() / 10);
    [sorted, next, rest]
}
