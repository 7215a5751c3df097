//! Counts the jobs that are lost when all connections to all minions go silent
//! at once, by the age up to which idle connections are used. Prints a line per
//! age; see docs/design/silent-connections.md.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{Fleet, job};
use futures::future::join_all;
use kernel::HashMap;

/// How often connections go silent.
const EVENTS: usize = 5;

/// How many minions there are.
const MINIONS: usize = 4;

/// How many jobs are in flight at once.
const CALLERS: usize = 8;

/// How many jobs each caller submits around an event.
const JOBS: usize = 12;

/// How long a job may take.
const DEADLINE: u64 = 2000;

/// The run times of a job's tasks in milliseconds.
const TASKS: [u64; 3] = [50, 30, 40];

#[tokio::main]
async fn main() {
    println!("idle age, load: jobs lost an event / tasks running on the connections");
    for age in [60_000, 1_000, 100] {
        for gap in [0, 1_500] {
            let (lost, running) = measure(age, gap).await;
            let load = if gap == 0 { "steady" } else { "after a pause" };
            println!("{age} ms, {load}: {lost:.1} / {running:.1}");
        }
    }
}

/// Returns the jobs lost and the tasks under way, both per event.
async fn measure(age: u64, gap: u64) -> (f64, f64) {
    let fleet = Fleet::start_with(1, MINIONS, |mut cfg| {
        cfg.pool.idle_age = Duration::from_millis(age);
        cfg
    });
    let fleet = fleet.await;
    let (mut lost, mut running) = (0, 0);
    for _ in 0..EVENTS {
        lost += burst(&fleet).await;
        tokio::time::sleep(Duration::from_millis(gap)).await;
        let silence = async {
            if gap == 0 {
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
            running += fleet.minions.iter().map(|m| m.running()).sum::<u32>();
            for minion in &fleet.minions {
                fleet.net.silence(minion.addr());
            }
        };
        let silence_first = gap > 0;
        lost += match silence_first {
            true => {
                silence.await;
                burst(&fleet).await
            }
            false => tokio::join!(burst(&fleet), silence).0,
        };
    }
    let events = EVENTS as f64;
    (lost as f64 / events, f64::from(running) / events)
}

/// Lets all callers submit their jobs one after the other, and returns how many
/// were not complete.
async fn burst(fleet: &Fleet) -> usize {
    let body = job(&TASKS, DEADLINE);
    let body = &body;
    let callers = (0..CALLERS).map(|_| async move {
        let mut outcomes: HashMap<u16, usize> = HashMap::default();
        for _ in 0..JOBS {
            let ticket = fleet.ticket(0).await;
            let (status, _) = fleet.post(0, &ticket, body).await;
            *outcomes.entry(status).or_default() += 1;
        }
        outcomes
    });
    let all = join_all(callers).await;
    let lost = |o: &HashMap<u16, usize>| {
        o.iter()
            .filter(|(s, _)| **s != 200)
            .map(|(_, n)| n)
            .sum::<usize>()
    };
    all.iter().map(lost).sum()
}
