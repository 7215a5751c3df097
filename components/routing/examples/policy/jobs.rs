//! Scenarios and the random jobs that they are run with.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;

pub const MINIONS: usize = 50;
pub const SLOTS: u32 = 8;
pub const SECOND: u64 = 1_000_000;
pub const WARM_UP: u64 = 5 * SECOND;

#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    FailsAll,
    Slow(u64),
    Flaps,
}

#[derive(Clone, Copy)]
pub struct Scenario {
    pub vms: usize,
    pub load: f64,
    pub seconds: u64,
    pub deadline: u64,
    pub fault: Fault,
    pub admission: bool,
    pub burst: bool,
    pub refusals: u32,
}

pub const BASE: Scenario = Scenario {
    vms: 3,
    load: 0.7,
    seconds: 60,
    deadline: 30 * SECOND,
    fault: Fault::None,
    admission: false,
    burst: false,
    refusals: 1,
};

pub struct Job {
    pub at: u64,
    pub vm: usize,
    pub team: usize,
    pub runs: Vec<u64>,
    pub declared: Vec<u64>,
}

pub fn jobs(sc: &Scenario, seed: u64) -> Vec<Job> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let runs = LogNormal::new((200_000f64).ln(), 0.6).unwrap();
    let draw = |rng: &mut Xoshiro256PlusPlus| runs.sample(rng).clamp(50e3, 1e6) as u64;
    let mean = (0..100_000).map(|_| draw(&mut rng)).sum::<u64>() as f64 / 1e5;
    let tasks = 139.0 / 140f64.ln();
    let rate = sc.load * MINIONS as f64 * f64::from(SLOTS) / mean / tasks;
    let mut all = Vec::new();
    let mut at = 0.0;
    while at < (sc.seconds * SECOND) as f64 {
        let burst = sc.burst && (20e6..22e6).contains(&at);
        at += Exp::new(if burst { rate * 10.0 } else { rate })
            .unwrap()
            .sample(&mut rng);
        let count = 140f64.powf(rng.random::<f64>()).round() as usize;
        let runs: Vec<_> = (0..count).map(|_| draw(&mut rng)).collect();
        let estimate = |&r: &u64| (r as f64 * 10f64.powf(rng.random_range(-1.0..1.0))) as u64;
        let declared = runs.iter().map(estimate).collect();
        let (vm, team) = (rng.random_range(0..sc.vms), rng.random_range(0..10));
        all.push(Job {
            at: at as u64,
            vm,
            team,
            runs,
            declared,
        });
    }
    all
}
