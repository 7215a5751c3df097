//! Two owners that don't hear each other and take the same minions.

mod common;

use common::{World, job};
use schedule::{Admission, Outcome};

#[test]
fn hands_change_rarely() {
    let mut world = World::new(3, 2, &[32, 32, 48, 32]);
    world.run(50);
    world.own(1);
    world.run(20_000);
    // Left alone for 300 ms, then twice as long each time: an owner loses each
    // minion at most 7 times in 20 s.
    assert!(world.taken <= 4 * 2 * 7, "{} times", world.taken);
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn served_by_either() {
    let mut world = World::new(4, 2, &[32, 32, 48, 32]);
    world.run(50);
    world.own(1);
    world.run(5_000);
    let mut taken = 0;
    for number in 0..40 {
        let spec = job(number, 2, 14, 60);
        if world.submit(number as usize % 2, spec, 60) == Admission::Taken {
            taken += 1;
        }
        world.run(200);
    }
    let done = world.outcomes.iter();
    let done = done.filter(|(_, _, o)| *o == Outcome::Completed).count();
    // Both have minions at times, and what is not served is refused: only jobs
    // under way at a change of hands are lost.
    assert!(taken > 0 && taken - done <= 3, "{done} of {taken}");
    assert_eq!(world.broken, Vec::<String>::new());
}
