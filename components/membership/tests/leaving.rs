//! Spread of news about leaving minions among VMs, without the platform.

mod common;

use common::{Fleet, TICK, minion};
use kernel::{Millis, MinionId};
use membership::Listing;

const REGIONS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Runs until all VMs of a domain know that the minions are leaving, and returns
/// the time taken.
fn time_to_know(fleet: &mut Fleet, domain: &str, minions: &[MinionId]) -> Millis {
    let members: Vec<usize> = (0..fleet.nodes.len())
        .filter(|i| fleet.nodes[*i].vm.domain.as_str() == domain)
        .collect();
    for round in 0..200 {
        let knows = |fleet: &mut Fleet, at| {
            let view = fleet.view(at);
            minions.iter().all(|m| view.is_leaving(m))
        };
        if members.iter().all(|at| knows(fleet, *at)) {
            return Millis(round * TICK.0);
        }
        fleet.step();
    }
    panic!("not all VMs of the domain learned of the minions");
}

#[test]
fn single_report() {
    let mut fleet = Fleet::converged(&REGIONS, 8);
    for n in 0..20 {
        let leaving = minion("a", n);
        let now = fleet.now;
        fleet.nodes[n % 8].state.mark_leaving(now, leaving.clone());
        assert!(time_to_know(&mut fleet, "a", &[leaving]) <= Millis(600));
        fleet.run(Millis(700));
    }
}

#[test]
fn message_loss() {
    let mut fleet = Fleet::converged(&REGIONS, 8);
    fleet.loss_percent = 10;
    fleet.run(Millis(5000));
    for n in 0..20 {
        let leaving = minion("a", n);
        let now = fleet.now;
        fleet.nodes[n % 8].state.mark_leaving(now, leaving.clone());
        assert!(time_to_know(&mut fleet, "a", &[leaving]) <= Millis(2000));
    }
}

#[test]
fn other_domain() {
    let mut fleet = Fleet::converged(&REGIONS, 8);
    let leaving = minion("a", 3);
    let now = fleet.now;
    fleet.nodes[39].state.mark_leaving(now, leaving.clone());
    assert!(time_to_know(&mut fleet, "a", &[leaving]) <= Millis(2000));
}

#[test]
fn many_leaving() {
    let mut fleet = Fleet::converged(&REGIONS, 8);
    let leaving: Vec<MinionId> = (0..830).map(|n| minion("a", n)).collect();
    let list = Listing {
        vms: common::listing(&fleet.vms()).vms,
        leaving: leaving.clone(),
    };
    let now = fleet.now;
    fleet.nodes[2].state.on_listing(now, list);
    assert!(time_to_know(&mut fleet, "a", &leaving) <= Millis(2000));
}

#[test]
fn marks_expire() {
    let mut fleet = Fleet::converged(&["a", "b"], 4);
    let now = fleet.now;
    fleet.nodes[0].state.mark_leaving(now, minion("a", 1));
    fleet.run(Millis(59_000));
    assert!(fleet.view(0).is_leaving(&minion("a", 1)));
    fleet.run(Millis(3_000));
    for view in fleet.views() {
        assert!(view.leaving.is_empty());
    }
}

#[test]
fn listed_marks_renewed() {
    let mut fleet = Fleet::converged(&["a"], 3);
    let list = Listing {
        vms: common::listing(&fleet.vms()).vms,
        leaving: vec![minion("a", 1)],
    };
    let now = fleet.now;
    fleet.nodes[0].state.on_listing(now, list);
    fleet.run(Millis(1000));
    // No newer list arrives; the last one stays valid for a while.
    for _ in 0..3000 {
        fleet.step();
        for view in fleet.views() {
            assert!(view.is_leaving(&minion("a", 1)));
        }
    }
}
