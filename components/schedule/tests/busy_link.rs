//! Holds of a VM whose link is busy.

mod common;

use common::{Simulation, minion};
use kernel::Millis;
use schedule::NextHold;

/// Returns how long the next hold of a minion waits for an end, after one has got
/// no answer and the next one did.
fn wait_after_miss(busy: bool) -> Millis {
    let mut sim = Simulation::new(1, 1, &[32]);
    sim.run(50);
    let id = minion("m-00", 32).id;
    let time = sim.time();
    sim.owners[0].set_link(Millis(0), busy);
    sim.owners[0].hold_missed(&id, time);
    sim.run(50);
    let time = sim.time();
    match sim.owners[0].hold(&id, time) {
        Some(NextHold::Send(order)) => order.wait,
        other => panic!("{other:?}"),
    }
}

/// Fails if holds that time out behind a busy link are sent more often: on links of
/// 2 Mbit/s the holds of a few minions took two fifths of the link.
#[test]
fn long_waits() {
    assert_eq!(wait_after_miss(false), Millis(40));
    assert_eq!(wait_after_miss(true), Millis(200));
}
