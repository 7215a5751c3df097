//! A task that crashes the minions that start it.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use schedule::{JobSpec, Outcome, TaskName};
use standins::Fate;

/// Minions that a task may crash before it is given up.
const MOST_CRASHES: usize = 2;

/// Returns a job whose client waits for twelve seconds.
fn patient(number: u64, tasks: u16, estimate: u64) -> JobSpec {
    JobSpec {
        objective: Millis(10_000),
        timeout: Millis(12_000),
        ..job(number, tasks, 14, estimate)
    }
}

/// Lets a task of the job crash each minion that starts it.
fn deadly(sim: &mut Simulation, spec: &JobSpec, index: u16) -> TaskName {
    let task = TaskName::new(&spec.id, 0, index);
    sim.fates.insert(task.clone(), Fate::Crashes);
    task
}

fn outcome(sim: &Simulation, spec: &JobSpec) -> Option<Outcome> {
    let ended = sim.outcomes.iter().find(|(_, id, _)| *id == spec.id);
    ended.map(|(_, _, outcome)| *outcome)
}

/// Guards against a task that takes one minion after another until its client
/// leaves, as an owner did not count runs that ended with their minion.
#[test]
fn gives_up() {
    let mut sim = Simulation::new(1, 1, &[32; 16]);
    sim.run(50);
    let spec = patient(1, 4, 200);
    let task = deadly(&mut sim, &spec, 2);
    sim.submit(0, spec.clone(), 200);
    sim.run(14_000);
    let started = sim.started_on[&task].len();
    assert!(started <= MOST_CRASHES, "started {started} times");
    assert_eq!(outcome(&sim, &spec), Some(Outcome::Failed));
    assert_eq!(sim.violations, Vec::<String>::new());
}
