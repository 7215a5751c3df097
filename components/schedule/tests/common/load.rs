//! Load as the sites see it, on a model of one domain.

use std::collections::BTreeMap;

use kernel::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schedule::{Admission, JobId, JobSpec, Outcome};

use super::{World, cores, job};

/// The domain's minions in cores: two tasks of 14 cores fit the small ones,
/// three the others.
pub const MINIONS: [u32; 16] = [
    32, 32, 48, 32, 32, 48, 32, 32, 48, 32, 32, 48, 32, 32, 48, 32,
];

/// How many tasks of 14 cores the domain holds.
const SLOTS: f64 = 37.0;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub queue: &'static str,
    pub width: f64,
    pub span: f64,
    pub priority: u8,
    pub attempts: u32,
    /// The part of all jobs.
    pub part: f64,
}

/// Short and wide, long, and the many small ones.
pub const KINDS: [Kind; 3] = [
    Kind {
        queue: "wide",
        width: 8.0,
        span: 60.0,
        priority: 0,
        attempts: 4,
        part: 0.244,
    },
    Kind {
        queue: "long",
        width: 4.0,
        span: 900.0,
        priority: 2,
        attempts: 4,
        part: 0.044,
    },
    Kind {
        queue: "small",
        width: 2.0,
        span: 200.0,
        priority: 1,
        attempts: 2,
        part: 0.712,
    },
];

/// A job that was asked for.
#[derive(Debug, Clone)]
pub struct Asked {
    pub spec: JobSpec,
    pub at: u64,
    /// Set once it has ended.
    pub end: Option<(u64, Outcome)>,
}

impl Asked {
    pub fn served(&self) -> bool {
        matches!(self.end, Some((_, Outcome::Completed)))
    }

    pub fn in_time(&self) -> bool {
        let due = self.at + self.spec.objective.0;
        matches!(self.end, Some((at, Outcome::Completed)) if at <= due)
    }

    pub fn refused(&self) -> bool {
        matches!(self.end, Some((_, Outcome::Refused { .. })))
    }
}

/// A world with its callers.
pub struct Load {
    pub world: World,
    pub asked: Vec<Asked>,
    places: BTreeMap<JobId, usize>,
    answered: usize,
    rng: StdRng,
    /// The load, 1 when it fills what packs.
    factor: f64,
}

impl Load {
    pub fn new(seed: u64, factor: f64) -> Load {
        let mut world = World::new(seed, 1, &MINIONS);
        world.run(50);
        Load {
            world,
            asked: Vec::new(),
            places: BTreeMap::new(),
            answered: 0,
            rng: StdRng::seed_from_u64(seed),
            factor,
        }
    }

    /// Spreads like the sites' sizes do: rarely more than four times the mean.
    fn spread(&mut self, mean: f64, most: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean * (0.4 * normal - 0.08).exp()).clamp(mean / 4.0, mean * most)
    }

    fn draw(&mut self, kind: &Kind) -> (JobSpec, u64) {
        let number = self.asked.len() as u64 + 1;
        let tasks = self.spread(kind.width, 4.0).round().max(1.0) as u16;
        let span = self.spread(kind.span, 4.0);
        let size = self.rng.random_range(11..=17);
        let estimate = span * self.rng.random_range(0.6..1.4);
        let mut spec = job(number, tasks, size, estimate as u64);
        spec.steps[0].need = cores(size);
        spec.queue = kind.queue.into();
        spec.priority = kind.priority;
        spec.attempts = kind.attempts;
        spec.objective = Millis((span * 1.6) as u64 + 60);
        spec.patience = Millis((span * 4.8) as u64 + 1_000);
        (spec, span as u64)
    }

    /// Submits a job of a kind.
    pub fn ask(&mut self, kind: &Kind) {
        let (spec, span) = self.draw(kind);
        self.submit(spec, span);
    }

    /// Submits a job whose caller waits for a second.
    pub fn ask_impatient(&mut self, kind: &Kind) {
        let (mut spec, span) = self.draw(kind);
        spec.patience = Millis(1_000);
        self.submit(spec, span);
    }

    fn submit(&mut self, spec: JobSpec, span: u64) {
        let at = self.world.now;
        self.places.insert(spec.id.clone(), self.asked.len());
        let admission = self.world.submit(0, spec.clone(), span);
        let end = match admission {
            Admission::Taken => None,
            Admission::Refused { retry } => Some((at, Outcome::Refused { retry })),
        };
        self.asked.push(Asked { spec, at, end });
    }

    /// Lets callers come for so many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let work: f64 = KINDS
            .iter()
            .map(|k| k.part * k.width * k.span / 1_000.0)
            .sum();
        let rate = SLOTS / work / 1_000.0;
        for _ in 0..millis {
            for kind in &KINDS {
                let chance = rate * kind.part * self.factor;
                if self.rng.random::<f64>() < chance {
                    self.ask(kind);
                }
            }
            self.world.step();
            self.collect();
        }
    }

    fn collect(&mut self) {
        for (at, id, outcome) in &self.world.outcomes[self.answered..] {
            if let Some(place) = self.places.get(id) {
                self.asked[*place].end = Some((*at, *outcome));
            }
        }
        self.answered = self.world.outcomes.len();
    }

    /// Lets what is under way end, without new callers.
    pub fn finish(&mut self) {
        for _ in 0..6_000 {
            self.world.step();
            self.collect();
        }
    }
}

/// Returns the part of the jobs for which something holds.
pub fn part(jobs: &[&Asked], holds: impl Fn(&Asked) -> bool) -> f64 {
    let count = jobs.iter().filter(|a| holds(a)).count();
    count as f64 / jobs.len().max(1) as f64
}

/// Splits jobs into the widest tenth, the fifth below it and the rest.
pub fn by_width<'a>(jobs: &[&'a Asked]) -> [Vec<&'a Asked>; 3] {
    let mut sorted = jobs.to_vec();
    sorted.sort_by_key(|a| std::cmp::Reverse(a.spec.steps[0].count));
    let rest = sorted.split_off(sorted.len() * 3 / 10);
    let below = sorted.split_off(jobs.len() / 10);
    [sorted, below, rest]
}
