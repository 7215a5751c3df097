//! An open-loop simulation of the routing code: several fleets share minions of
//! 8 slots, driven by one event heap and without a network. All policies get
//! the same jobs. Run it with
//! `cargo run --release -p routing --example policy -- SEED [REFUSALS [PART]]`,
//! where REFUSALS is the budget of refusals for each thousand tasks and PART is
//! `load` or `overload`.

mod jobs;
mod setup;
mod world;

use routing::{Balanced, LeastOwn, Policy, Random, Split};

use crate::jobs::{BASE, Fault, SECOND, Scenario, WARM_UP, jobs};
use crate::setup::Totals;
use crate::world::run;

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn row(name: &str, sc: &Scenario, t: &Totals) {
    println!(
        "| {:3.0}% | {} | {name} | {:.3} | {:.2} | {:.4} | {} | {} | {} | {} | {:.0} |",
        sc.load * 100.0,
        sc.vms,
        quantile(&t.ratios, 0.5),
        quantile(&t.ratios, 0.99),
        t.wasted as f64 / t.tasks as f64,
        t.lost,
        t.late,
        t.refused,
        t.good / (sc.seconds - WARM_UP / SECOND),
        t.digests as f64 / (sc.seconds + 40) as f64 / sc.vms as f64,
    );
}

fn compare(title: &str, sc: &Scenario, seed: u64) {
    let jobs = jobs(sc, seed);
    println!("\n{title}\n");
    println!(
        "| load | VMs | policy | p50 | p99 | wasted/task | lost | late | refused | good tasks/s | digests/s a VM |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    row(Random::NAME, sc, &run(|| Random, sc, &jobs));
    row(LeastOwn::NAME, sc, &run(|| LeastOwn, sc, &jobs));
    row(Split::NAME, sc, &run(|| Split, sc, &jobs));
    row(Balanced::NAME, sc, &run(|| Balanced, sc, &jobs));
}

fn main() {
    let seed = std::env::args().nth(1).map_or(1, |s| s.parse().unwrap());
    let refusals = std::env::args().nth(2).map_or(1, |s| s.parse().unwrap());
    let base = Scenario { refusals, ..BASE };
    let part = std::env::args().nth(3).unwrap_or_default();
    println!("seed {seed}; response over ideal of jobs, 50 minions of 8 slots");
    if part != "overload" {
        loads(&base, seed);
        faults(&base, seed);
    }
    if part != "load" {
        overload(&base, seed);
    }
}

fn loads(base: &Scenario, seed: u64) {
    for vms in [1, 3, 8] {
        for load in [0.5, 0.7, 0.9, 1.2] {
            let sc = Scenario { vms, load, ..*base };
            compare("No faults.", &sc, seed);
        }
    }
}

fn faults(base: &Scenario, seed: u64) {
    let faults = [
        ("One minion of 50 fails everything fast.", Fault::FailsAll),
        ("One minion of 50 is 20 times slower.", Fault::Slow(20)),
        ("One minion of 50 flaps every 2 s.", Fault::Flaps),
    ];
    for (title, fault) in faults {
        compare(title, &Scenario { fault, ..*base }, seed);
    }
}

fn overload(base: &Scenario, seed: u64) {
    let tight = Scenario {
        deadline: 3 * SECOND,
        ..*base
    };
    for admission in [false, true] {
        for load in [1.0, 2.0] {
            let sc = Scenario {
                load,
                admission,
                ..tight
            };
            compare(&format!("Deadline 3 s, admission {admission}."), &sc, seed);
        }
    }
    for admission in [false, true] {
        let sc = Scenario {
            burst: true,
            load: 0.5,
            admission,
            ..tight
        };
        compare(
            &format!("Burst of 10 times for 2 s, admission {admission}."),
            &sc,
            seed,
        );
    }
}
