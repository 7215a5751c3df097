//! Measures the time to acquire and finish a slot, in nanoseconds, by policy,
//! number of minions and threads. Run it with
//! `cargo bench -p routing --bench acquire`.

use std::time::Instant;

use kernel::{Cores, Domain, Service, Slots, Timestamp};
use routing::{Balanced, Finish, Fleet, LeastOwn, MinionInfo, Policy, Random, RoutingConfig};

/// Tasks started by a thread in one round. They start within a second, so that
/// no task that stays in flight looks stuck.
const TASKS: u64 = 10_000;
const ROUNDS: u64 = 20;
/// Part of the slots that stays in use during the measurement.
const BUSY: f64 = 0.7;

fn minion(i: usize) -> MinionInfo {
    MinionInfo {
        id: format!("a/m-{i:03}").parse().unwrap(),
        domain: "a".parse().unwrap(),
        addr: ([10, 0, (i / 256) as u8, i as u8], 80).into(),
        services: vec!["quote".parse().unwrap()],
        slots: Slots(8),
        cores: Cores(30),
        leaving: false,
    }
}

/// Time between two starts of tasks in microseconds, so that the measurement
/// includes refreshes.
const START_INTERVAL: u64 = 100;

fn run_tasks<P: Policy>(fleet: &Fleet<P>, service: &Service) {
    for i in 0..TASKS {
        let now = Timestamp(i * START_INTERVAL);
        let slot = fleet.acquire(service, Cores(1), &[], now).unwrap();
        slot.finish(Finish::Answered { run: 200_000 }, now);
    }
}

/// Runs all threads once on a new fleet and returns the elapsed nanoseconds.
fn round<P: Policy>(policy: P, minions: usize, threads: usize) -> u64 {
    let home: Domain = "a".parse().unwrap();
    let fleet = Fleet::new(home, RoutingConfig::default(), policy);
    fleet.update(&(0..minions).map(minion).collect::<Vec<_>>());
    let service: Service = "quote".parse().unwrap();
    let held = (minions as f64 * 8.0 * BUSY) as usize;
    let take = |_| fleet.acquire(&service, Cores(1), &[], Timestamp(0));
    let _held: Vec<_> = (0..held).map(take).collect();
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| run_tasks(&fleet, &service));
        }
    });
    start.elapsed().as_nanos() as u64
}

fn measure<P: Policy + Copy>(policy: P, minions: usize, threads: usize) {
    let rounds = (0..ROUNDS).map(|_| round(policy, minions, threads));
    let elapsed: u64 = rounds.sum();
    let each = elapsed / TASKS / ROUNDS;
    let rate = TASKS * ROUNDS * threads as u64 * 1_000_000 / elapsed;
    let name = P::NAME;
    println!("| {name} | {minions} | {threads} | {each} | {rate} |");
}

fn main() {
    println!("| policy | minions | threads | ns/task | tasks/ms, all threads |");
    println!("|---|---|---|---|---|");
    for minions in [50, 830] {
        for threads in [1, 2, 4] {
            measure(Random, minions, threads);
            measure(LeastOwn, minions, threads);
            measure(Balanced, minions, threads);
        }
    }
}
