//! What the next owner of a shard does with the runs that the previous one was
//! stopping.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use schedule::{JobSpec, Outcome};

/// Returns a job whose caller waits this long, and whose tasks are expected to take
/// less than they do.
fn short(number: u64, timeout: u64) -> JobSpec {
    JobSpec {
        timeout: Millis(timeout),
        objective: Millis(timeout),
        ..job(number, 2, 14, 300)
    }
}

fn running(sim: &Simulation) -> usize {
    sim.minions.values().map(|m| m.running().len()).sum()
}

/// Lets a job expire while its tasks run on and no stop arrives, and hands the shard
/// over.
fn hand_over_stopping(sim: &mut Simulation) {
    sim.run(20);
    sim.submit(0, short(1, 400), 5_000);
    sim.run(370);
    assert_eq!(running(sim), 2);
    sim.faults.lost_orders = 1.0;
    sim.run(50);
    let ended: Vec<_> = sim.outcomes.iter().map(|(_, _, o)| *o).collect();
    assert_eq!(ended, [Outcome::Expired]);
    sim.hand_over(0);
    sim.faults.lost_orders = 0.0;
    sim.hold_all(0);
}

/// Fails if the next owner lets runs go on that the previous one was stopping.
#[test]
fn stops_kept() {
    let mut sim = Simulation::new(3, 1, &[32, 32]);
    hand_over_stopping(&mut sim);
    sim.run(300);
    assert_eq!(running(&sim), 0);
}

/// Fails if the next owner starts a job that is sent again beside runs of it that
/// the previous owner was stopping.
#[test]
fn sent_again() {
    let mut sim = Simulation::new(3, 1, &[32, 32]);
    hand_over_stopping(&mut sim);
    sim.run(5);
    sim.submit(0, short(1, 4_000), 300);
    sim.run(1_500);
    assert_eq!(sim.violations.first(), None);
    let last = sim.outcomes.last().map(|(_, _, o)| *o);
    assert_eq!(last, Some(Outcome::Completed));
}

/// Fails if runs of a job that the handover doesn't contain go on, as in one from an
/// owner that doesn't tell which runs it stops.
#[test]
fn job_missing() {
    let mut sim = Simulation::new(3, 1, &[32, 32]);
    sim.run(20);
    sim.submit(0, short(1, 4_000), 5_000);
    sim.run(50);
    assert_eq!(running(&sim), 2);
    sim.hand_over_changed(0, |state| state.jobs.clear());
    sim.hold_all(0);
    sim.run(300);
    assert_eq!(running(&sim), 0);
}

/// Fails if a run that hangs, and that the previous owner was stopping, is left to
/// hang, or its task is started again beside it.
#[test]
fn hung_run() {
    let mut sim = Simulation::new(3, 1, &[32, 32]);
    sim.run(20);
    let spec = JobSpec {
        timeout: Millis(20_000),
        ..job(1, 1, 14, 100)
    };
    sim.submit(0, spec, 5_000);
    // A run hangs after three times its estimate and 200 ms.
    sim.run(475);
    assert_eq!(running(&sim), 1);
    sim.faults.lost_orders = 1.0;
    sim.run(100);
    sim.hand_over(0);
    sim.faults.lost_orders = 0.0;
    sim.hold_all(0);
    sim.run(300);
    let task = sim.started_on.values().map(Vec::len).max();
    assert_eq!(task, Some(2));
    assert_eq!(sim.violations.first(), None);
}
