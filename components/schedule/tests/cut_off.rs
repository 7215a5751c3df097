//! An owner that is cut off from its minions.

mod common;

use common::{Simulation, job};
use kernel::Millis;
use schedule::{Admission, JobSpec, Outcome};

#[test]
fn refused_at_once() {
    let mut sim = Simulation::new(9, 1, &[32]);
    sim.run(20);
    sim.submit(0, job(1, 2, 14, 900), 900);
    // There is no free capacity for the second job, so it waits.
    let second = JobSpec {
        timeout: Millis(2_000),
        ..job(2, 1, 14, 900)
    };
    assert_eq!(sim.submit(0, second, 900), Admission::Taken);
    sim.faults.lost_orders = 1.0;
    sim.run(900);
    let second = "0000000000000002".parse().unwrap();
    let ended = sim.outcomes.iter().find(|(_, id, _)| *id == second);
    let (at, _, outcome) = ended.expect("still waits");
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    // The job must be refused well before it would have been too late to start
    // it.
    assert!(*at < 1_700, "{at}");
}
