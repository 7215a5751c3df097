//! Two owners that receive no heartbeats of each other and take the same
//! minions.

mod common;

use common::{Simulation, job};
use schedule::{Admission, Outcome};

#[test]
fn takeovers_back_off() {
    let mut sim = Simulation::new(3, 2, &[32, 32, 48, 32]);
    sim.run(50);
    sim.take_minions(1);
    sim.run(20_000);
    // The pause is 300 ms and doubles each time, so an owner loses each minion
    // at most 7 times in 20 s.
    assert!(sim.losses <= 4 * 2 * 7, "{} times", sim.losses);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn served_by_either() {
    let mut sim = Simulation::new(4, 2, &[32, 32, 48, 32]);
    sim.run(50);
    sim.take_minions(1);
    sim.run(5_000);
    let mut admitted = 0;
    for number in 0..40 {
        let spec = job(number, 2, 14, 60);
        if sim.submit(number as usize % 2, spec, 60) == Admission::Taken {
            admitted += 1;
        }
        sim.run(200);
    }
    let done = sim.outcomes.iter();
    let done = done.filter(|(_, _, o)| *o == Outcome::Completed).count();
    // Each owner holds minions some of the time and refuses what it can't
    // serve, so only jobs that run during a takeover are lost.
    assert!(admitted > 0 && admitted - done <= 3, "{done} of {admitted}");
    assert_eq!(sim.violations, Vec::<String>::new());
}
