//! A load that rises and falls in a wave, on a fleet of several kinds of minions
//! with different speeds (docs/design/run-times.md).

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use kernel::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schedule::{Admission, JobId, Outcome};

use super::load::{JobKind, Submitted};
use super::{Simulation, Variation, cores, job};

/// A kind of minion in the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetKind {
    pub label: &'static str,
    pub count: usize,
    pub cores: u32,
    /// Speed of the minions; 1 is the speed that estimates refer to.
    pub speed: f64,
}

/// Cores that each task needs.
pub const TASK_CORES: u32 = 8;

/// Period of the wave in milliseconds.
const WAVE_MS: f64 = 17_000.0;

/// Amplitude of the wave as a fraction of the mean rate.
const WAVE_HEIGHT: f64 = 0.55;

/// The jobs of a site with 350 minions; `share` is the number of jobs a second
/// for each minion.
pub const JOBS: [JobKind; 3] = [
    JobKind {
        queue: "wide",
        width: 8.0,
        run_ms: 51.0,
        priority: 0,
        attempts: 4,
        share: 181.0 / 350.0,
    },
    JobKind {
        queue: "long",
        width: 4.0,
        run_ms: 760.0,
        priority: 2,
        attempts: 4,
        share: 33.0 / 350.0,
    },
    JobKind {
        queue: "small",
        width: 2.0,
        run_ms: 170.0,
        priority: 1,
        attempts: 2,
        share: 529.0 / 350.0,
    },
];

/// Submits the jobs of a wave to one simulated owner.
pub struct WaveLoad {
    pub sim: Simulation,
    pub submitted: Vec<Submitted>,
    /// Factor on the rate of long jobs, for bursts.
    pub long_factor: f64,
    indices: BTreeMap<JobId, usize>,
    collected: usize,
    rng: StdRng,
    /// Mean number of jobs a millisecond, divided by the sum of the shares.
    rate: f64,
}

impl WaveLoad {
    /// Creates the load of `served` minions on the fleet `kinds`.
    pub fn new(seed: u64, kinds: &[FleetKind], served: f64) -> WaveLoad {
        // The kinds alternate, so that the order of ids does not favour one.
        let most = kinds.iter().map(|k| k.count).max().unwrap_or(0);
        let mut order = Vec::new();
        for i in 0..most {
            for kind in kinds
                .iter()
                .filter(|k| i * k.count / most != (i + 1) * k.count / most)
            {
                order.push(*kind);
            }
        }
        let mut sim = Simulation::with_kinds(seed, &order);
        sim.variation = Variation {
            spread: 0.15,
            tail_share: 0.03,
            tail_factor: 7.0,
        };
        sim.run(50);
        WaveLoad {
            sim,
            submitted: Vec::new(),
            long_factor: 1.0,
            indices: BTreeMap::new(),
            collected: 0,
            rng: StdRng::seed_from_u64(seed),
            rate: served / 1_000.0,
        }
    }

    /// Draws a log-normal factor with a sigma of 0.4, at most four.
    fn draw_factor(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (0.4 * normal - 0.08).exp().clamp(0.25, 4.0)
    }

    fn submit_kind(&mut self, kind: &JobKind) {
        let number = self.submitted.len() as u64 + 1;
        let tasks = (kind.width * self.draw_factor()).round().max(1.0) as u16;
        let run_ms = kind.run_ms * self.draw_factor();
        let estimate = run_ms * self.rng.random_range(0.6..1.4);
        let mut spec = job(number, tasks, TASK_CORES, estimate as u64);
        spec.steps[0].need = cores(TASK_CORES);
        spec.queue = kind.queue.into();
        spec.priority = kind.priority;
        spec.attempts = kind.attempts;
        // The platform's adapter derives the objective from the estimate too.
        spec.objective = Millis((estimate * 1.6) as u64 + 60);
        spec.timeout = Millis((run_ms * 4.8) as u64 + 1_000);
        let at = self.sim.now;
        self.indices.insert(spec.id.clone(), self.submitted.len());
        let end = match self.sim.submit(0, spec.clone(), run_ms as u64) {
            Admission::Taken => None,
            Admission::Refused { retry } => Some((at, Outcome::Refused { retry })),
        };
        let width = f64::from(spec.steps[0].count);
        self.submitted.push(Submitted {
            work: width * f64::from(TASK_CORES) * run_ms,
            origin: 0,
            spec,
            at,
            end,
        });
    }

    /// Submits jobs at random times for so many milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            let wave = 1.0 + WAVE_HEIGHT * (TAU * self.sim.now as f64 / WAVE_MS).sin();
            for kind in &JOBS {
                let burst = match kind.queue {
                    "long" => self.long_factor,
                    _ => 1.0,
                };
                if self.rng.random::<f64>() < self.rate * kind.share * wave * burst {
                    self.submit_kind(kind);
                }
            }
            self.step();
        }
    }

    /// Runs until all jobs have ended, without submitting new ones.
    pub fn finish(&mut self) {
        for _ in 0..8_000 {
            self.step();
        }
    }

    fn step(&mut self) {
        self.sim.step();
        for (at, id, outcome) in &self.sim.outcomes[self.collected..] {
            if let Some(index) = self.indices.get(id) {
                self.submitted[*index].end = Some((*at, *outcome));
            }
        }
        self.collected = self.sim.outcomes.len();
    }
}
