//! What a slot costs: nanoseconds for acquire and finish together, by policy,
//! number of minions and threads. Run it with
//! `cargo bench -p routing --bench acquire`.

use std::time::Instant;

use kernel::{Cores, Domain, Service, Slots, Timestamp};
use routing::{Balanced, Finish, Fleet, LeastOwn, MinionInfo, Policy, Random, RoutingConfig};

/// Within a second, no task that stays taken looks stuck.
const ROUNDS: u64 = 10_000;
const REPEATS: u64 = 20;
/// The part of the slots that stays taken while the rest is measured.
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

/// Tasks start every 100 microseconds, so that refreshes count in.
const STEP: u64 = 100;

fn spin<P: Policy>(fleet: &Fleet<P>, service: &Service) {
    for i in 0..ROUNDS {
        let now = Timestamp(i * STEP);
        let slot = fleet.acquire(service, Cores(1), &[], now).unwrap();
        slot.finish(Finish::Answered { run: 200_000 }, now);
    }
}

/// Runs all threads once on a new fleet and returns the nanoseconds.
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
            scope.spawn(|| spin(&fleet, &service));
        }
    });
    start.elapsed().as_nanos() as u64
}

fn measure<P: Policy + Copy>(policy: P, minions: usize, threads: usize) {
    let rounds = (0..REPEATS).map(|_| round(policy, minions, threads));
    let spent: u64 = rounds.sum();
    let each = spent / ROUNDS / REPEATS;
    let rate = ROUNDS * REPEATS * threads as u64 * 1_000_000 / spent;
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
