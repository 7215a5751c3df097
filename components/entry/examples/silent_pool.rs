//! Measures how many jobs are lost when all connections to all minions go
//! silent at once, depending on the maximum age of reused idle connections.
//! Prints one line per age and load; see docs/design/silent-connections.md.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{Fleet, job};
use futures::future::join_all;
use kernel::HashMap;

/// Number of times that the connections go silent.
const EVENTS: usize = 5;

/// Number of minions.
const MINIONS: usize = 4;

/// Number of callers, each with one job in flight at a time.
const CALLERS: usize = 8;

/// Number of jobs that each caller submits per burst.
const JOBS_PER_CALLER: usize = 12;

/// Deadline of a job in milliseconds.
const DEADLINE_MS: u64 = 2000;

/// Run times of a job's tasks in milliseconds.
const TASK_MS: [u64; 3] = [50, 30, 40];

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

/// Returns the number of lost jobs and of tasks running on the silenced
/// connections, both per event.
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

/// Lets all callers submit their jobs, one after the other per caller, and
/// returns the number of jobs that were not complete.
async fn burst(fleet: &Fleet) -> usize {
    let body = job(&TASK_MS, DEADLINE_MS);
    let body = &body;
    let callers = (0..CALLERS).map(|_| async move {
        let mut outcomes: HashMap<u16, usize> = HashMap::default();
        for _ in 0..JOBS_PER_CALLER {
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
