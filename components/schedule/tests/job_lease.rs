//! Jobs whose lease has lapsed, because the VM of their caller may have given them
//! up.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use schedule::JobSpec;

/// Returns a job of one task that fills a minion.
fn filling(number: u64) -> JobSpec {
    JobSpec {
        timeout: Millis(20_000),
        objective: Millis(10_000),
        ..job(number, 1, 32, 300)
    }
}

fn starts(sim: &Simulation, number: u64) -> usize {
    let id = job(number, 1, 32, 300).id;
    let tasks = sim.started_on.iter();
    let tasks = tasks.filter(|(task, _)| task.job().as_ref() == Some(&id));
    tasks.map(|(_, minions)| minions.len()).sum()
}

/// Runs one job while another waits under a lease of 100 ms, and pauses the owner
/// until the first job has ended.
fn paused_owner(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 1, &[32]);
    sim.run(20);
    sim.submit(0, filling(1), 300);
    sim.run(100);
    sim.submit(0, filling(2), 300);
    let until = sim.time().after(Millis(100));
    sim.owners[0].renew_lease(&filling(2).id, until);
    sim.paused[0] = true;
    sim.run(500);
    sim.paused[0] = false;
    sim
}

/// Fails if an owner that was suspended starts a job whose lease has lapsed before it
/// ends the job.
#[test]
fn none_started() {
    let mut sim = paused_owner(3);
    sim.run(200);
    assert_eq!((starts(&sim, 1), starts(&sim, 2)), (1, 0));
    let lapsed = sim.owners[0].lapsed_jobs(sim.time());
    assert_eq!(lapsed, [filling(2).id]);
}

/// Fails if a job whose lease is renewed, or that needs none, is not started.
#[test]
fn renewed() {
    for local in [false, true] {
        let mut sim = paused_owner(3);
        let until = sim.time().after(Millis(2_000));
        match local {
            true => sim.owners[0].end_lease(&filling(2).id),
            false => sim.owners[0].renew_lease(&filling(2).id, until),
        }
        sim.run(500);
        assert_eq!(starts(&sim, 2), 1);
    }
}
