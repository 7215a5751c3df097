//! Convergence of the views of VMs that start, die, pause and are partitioned.

mod common;

use common::{Fleet, listing, vm};
use kernel::{Incarnation, Millis, Offset};
use membership::{Config, Contact, Health, Heartbeat, Location, Membership, Presence};

const REGIONS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn incarnation(fleet: &Fleet, at: usize) -> Incarnation {
    fleet.nodes[at].vm.incarnation
}

#[test]
fn one_listing() {
    let mut fleet = Fleet::new(&["a", "b"], 4);
    let list = listing(&fleet.vms());
    let now = fleet.now;
    fleet.nodes[0].state.on_listing(now, list);
    fleet.run(Millis(5000));
    for (at, view) in fleet.views().iter().enumerate() {
        assert_eq!((view.live, view.rank), (8, at));
        assert!(view.peers.iter().all(|p| p.health == Health::Live));
    }
}

#[test]
fn design_size() {
    let mut fleet = Fleet::converged(&REGIONS, 8);
    for view in fleet.views() {
        assert_eq!(view.live, 40);
    }
    assert!(
        fleet
            .nodes
            .iter()
            .all(|n| n.state.counters().offset_drops == 0)
    );
}

#[test]
fn dead_peer() {
    let mut fleet = Fleet::converged(&["a", "b"], 2);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(3000));
    let dead = incarnation(&fleet, 1);
    let view = fleet.view(0);
    assert_eq!(view.locate(dead), Location::Away(fleet.nodes[1].vm.peers));
    assert_eq!(view.live, 3);
    assert_eq!(fleet.view(2).rank, 1);
}

#[test]
fn process_restart() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    let old = incarnation(&fleet, 1);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(1000));
    let new = fleet.start(vm("a", 1, 2));
    let list = listing(&fleet.vms());
    let now = fleet.now;
    fleet.nodes[new].state.on_listing(now, list);
    fleet.run(Millis(8000));
    let new = incarnation(&fleet, new);
    for view in fleet.views() {
        assert_eq!(view.locate(old), Location::Gone { successor: None });
        assert!(matches!(
            view.locate(new),
            Location::Peer(_) | Location::Here
        ));
    }
}

#[test]
fn departed_expires() {
    let mut fleet = Fleet::new(&["a"], 0);
    for n in 0..3 {
        let vm = vm("a", n, 1);
        let config = Config {
            forget_after: Millis(30_000),
            ..Config::default()
        };
        let at = fleet.start(vm.clone());
        fleet.nodes[at].state = Membership::new(fleet.now, vm, config, common::test_rng(9));
    }
    fleet.list_all();
    fleet.run(Millis(2000));
    let (old, next_owner) = (incarnation(&fleet, 0), incarnation(&fleet, 1));
    let now = fleet.now;
    fleet.nodes[0].state.hand_over(now, next_owner);
    fleet.run(Millis(1000));
    fleet.nodes[0].is_down = true;
    let successor = Some(next_owner);
    assert_eq!(fleet.view(2).locate(old), Location::Gone { successor });
    fleet.run(Millis(31_000));
    assert!(fleet.views().iter().all(|v| v.departed.is_empty()));
}

#[test]
fn paused_vm_replaced() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    fleet.nodes[1].is_down = true;
    let mut vm = vm("a", 1, 2);
    vm.peers = common::addr(99);
    let new = fleet.start(vm);
    fleet.list_all();
    fleet.run(Millis(10_000));
    fleet.nodes[1].is_down = false;
    fleet.run(Millis(3000));
    assert!(fleet.view(1).replaced);
    assert!(!fleet.view(new).replaced);
    let (old, new) = (incarnation(&fleet, 1), incarnation(&fleet, new));
    for at in [0, 2, 3, 4, 5] {
        let view = fleet.view(at);
        assert_eq!(view.locate(old), Location::Gone { successor: None });
        assert!(matches!(view.locate(new), Location::Peer(_)));
    }
}

#[test]
fn pause_grace() {
    let mut fleet = Fleet::converged(&["a"], 3);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(60_000));
    fleet.nodes[1].is_down = false;
    // Until a heartbeat is answered, the view is the one from before the pause.
    let now = fleet.now;
    fleet.nodes[1].state.tick(now);
    assert_eq!(fleet.view(1).live, 3);
    assert_eq!(fleet.nodes[1].state.counters().pauses, 1);
    fleet.run(Millis(16_000));
    assert!(fleet.views().iter().all(|v| v.live == 3 && !v.replaced));
}

#[test]
fn clock_set_back() {
    let mut fleet = Fleet::new(&["a"], 0);
    for n in 0..4 {
        fleet.start(vm("a", n, 50));
    }
    fleet.list_all();
    fleet.run(Millis(5000));
    let old = incarnation(&fleet, 1);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(5000));
    let new = fleet.start(vm("a", 1, 7));
    fleet.list_all();
    fleet.run(Millis(8000));
    let new = incarnation(&fleet, new);
    for view in fleet.views() {
        assert!(!view.replaced);
        assert_eq!(view.locate(old), Location::Gone { successor: None });
        assert!(matches!(
            view.locate(new),
            Location::Peer(_) | Location::Here
        ));
    }
}

#[test]
fn stale_gossip() {
    let mut fleet = Fleet::new(&["a"], 0);
    for n in 0..3 {
        fleet.start(vm("a", n, 50));
    }
    // Node 0 knows an earlier process of node 1's id, whose clock was ahead. Node
    // 2 knows only the new one, and learns of the earlier one by gossip from
    // node 0.
    let now = fleet.now;
    let list = listing(&fleet.vms());
    fleet.nodes[0].state.on_listing(now, list);
    fleet.nodes[2].is_down = true;
    fleet.run(Millis(1000));
    fleet.nodes[1].is_down = true;
    let new = fleet.start(vm("a", 1, 7));
    fleet.nodes[2].is_down = false;
    let known = listing(&[fleet.nodes[2].vm.clone()]);
    let now = fleet.now;
    fleet.nodes[new].state.on_listing(now, known);
    fleet.run(Millis(15_000));
    let new = incarnation(&fleet, new);
    for view in fleet.views() {
        assert!(!view.replaced);
        assert!(matches!(
            view.locate(new),
            Location::Peer(_) | Location::Here
        ));
    }
}

#[test]
fn reused_address() {
    let mut fleet = Fleet::converged(&["a"], 3);
    let dead = fleet.nodes[1].vm.clone();
    fleet.nodes[1].is_down = true;
    let mut other = vm("a", 8, 1);
    other.peers = dead.peers;
    let other = fleet.start(other);
    fleet.run(Millis(3000));
    let view = fleet.view(0);
    assert_eq!(view.locate(dead.incarnation), Location::Away(dead.peers));
    assert_eq!(
        view.locate(incarnation(&fleet, other)),
        Location::Peer(dead.peers)
    );
    assert!(fleet.nodes[0].state.counters().wrong_vm > 0);
}

#[test]
fn planned_stop() {
    let mut fleet = Fleet::converged(&REGIONS, 4);
    let (one, two, three) = (
        incarnation(&fleet, 0),
        incarnation(&fleet, 1),
        incarnation(&fleet, 2),
    );
    let now = fleet.now;
    fleet.nodes[0].state.leave(now);
    fleet.run(Millis(500));
    let me = fleet.nodes[0].vm.id.clone();
    for view in fleet.views().iter().skip(1) {
        let peer = view.peers.iter().find(|p| p.id == me).unwrap();
        assert_eq!(peer.presence, Presence::Leaving);
        assert_eq!(view.live, 19);
    }
    let now = fleet.now;
    fleet.nodes[0].state.hand_over(now, two);
    assert!(!fleet.nodes[0].state.is_announced(now));
    fleet.run(Millis(500));
    let now = fleet.now;
    assert!(fleet.nodes[0].state.is_announced(now));
    fleet.nodes[0].is_down = true;
    for view in fleet.views() {
        assert_eq!(
            view.locate(one),
            Location::Gone {
                successor: Some(two)
            }
        );
        assert!(!view.replaced);
    }
    // The successor stops too.
    let now = fleet.now;
    fleet.nodes[1].state.hand_over(now, three);
    fleet.run(Millis(500));
    fleet.nodes[1].is_down = true;
    for view in fleet.views() {
        assert_eq!(
            view.locate(one),
            Location::Gone {
                successor: Some(three)
            }
        );
    }
}

#[test]
fn network_partition() {
    let mut fleet = Fleet::converged(&REGIONS, 4);
    for node in fleet.nodes.iter_mut().skip(12) {
        node.partition = 1;
    }
    fleet.run(Millis(300_000));
    let views = fleet.views();
    assert!(views[..12].iter().all(|v| v.live == 12));
    assert!(views[12..].iter().all(|v| v.live == 8));
    for node in &mut fleet.nodes {
        node.partition = 0;
    }
    fleet.run(Millis(25_000));
    for view in fleet.views() {
        assert_eq!(view.live, 20);
        assert!(view.departed.is_empty());
    }
}

#[test]
fn stale_listing() {
    let mut fleet = Fleet::converged(&["a"], 3);
    let mut list = listing(&fleet.vms());
    for n in 100..400 {
        list.vms.push(common::listed_vm(&vm("a", n, 1)));
    }
    let now = fleet.now;
    fleet.nodes[0].state.on_listing(now, list.clone());
    fleet.run(Millis(30_000));
    let before = fleet.sent;
    fleet.run(Millis(10_000));
    // Three VMs send 6 heartbeats per second, and 4 per second to dead VMs.
    assert!(fleet.sent - before < 10 * (3 * 6 + 4) * 5 / 4);
    assert!(fleet.nodes[0].state.sizes()[0] <= membership::MAX_PEERS);
    let view = fleet.view(0);
    assert_eq!(view.live, 3);
}

#[test]
fn removed_from_list() {
    let mut fleet = Fleet::converged(&["a", "b"], 2);
    let dead = incarnation(&fleet, 1);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(90_000));
    assert!(matches!(fleet.view(0).locate(dead), Location::Away(_)));
    // Only now is it missing from the list; a VM that is merely cut off would
    // still be listed.
    fleet.list_all();
    fleet.run(Millis(61_000));
    for view in fleet.views() {
        assert_eq!(view.locate(dead), Location::Gone { successor: None });
    }
}

#[test]
fn unlisted_but_live() {
    let mut fleet = Fleet::converged(&["a"], 3);
    let mut list = listing(&fleet.vms());
    list.vms.remove(1);
    let now = fleet.now;
    fleet.nodes[0].state.on_listing(now, list);
    fleet.run(Millis(200_000));
    let target = incarnation(&fleet, 1);
    assert!(matches!(fleet.view(0).locate(target), Location::Peer(_)));
}

#[test]
fn request_results() {
    let mut fleet = Fleet::converged(&["a"], 2);
    let (id, target) = (fleet.nodes[1].vm.id.clone(), incarnation(&fleet, 1));
    let now = fleet.now;
    let state = &mut fleet.nodes[0].state;
    state.on_request(now, &id, Contact::Lost);
    assert!(matches!(state.view(now).locate(target), Location::Peer(_)));
    for _ in 0..50 {
        state.on_request(now, &id, Contact::Lost);
    }
    assert!(matches!(state.view(now).locate(target), Location::Away(_)));
    fleet.run(Millis(1000));
    assert!(matches!(fleet.view(0).locate(target), Location::Peer(_)));
}

#[test]
fn newest_sheet() {
    let mut fleet = Fleet::converged(&["a"], 3);
    fleet.nodes[2].state.set_offsets(Some(Offset(7)), None);
    fleet.nodes[2]
        .state
        .set_offsets(Some(Offset(3)), Some(Offset(9)));
    fleet.run(Millis(500));
    let view = fleet.view(0);
    let newest = view.newest_sheet(Some(Offset(6))).unwrap();
    assert_eq!(
        (newest.sheet, newest.claims),
        (Some(Offset(7)), Some(Offset(9)))
    );
    assert!(view.newest_sheet(Some(Offset(7))).is_none());
}

#[test]
fn unknown_owner() {
    let mut fleet = Fleet::converged(&["a"], 2);
    let stranger = vm("z", 9, 9).incarnation;
    assert_eq!(fleet.view(0).locate(stranger), Location::Unknown);
    let own = incarnation(&fleet, 0);
    assert_eq!(fleet.view(0).locate(own), Location::Here);
}

/// Starts a new process with node 1's id while the old one is stopping.
fn start_overlapping_process(fleet: &mut Fleet) -> (Incarnation, usize) {
    let old = incarnation(fleet, 1);
    let now = fleet.now;
    fleet.nodes[1].state.leave(now);
    fleet.run(Millis(1000));
    let mut vm = vm("a", 1, 2);
    vm.callers = common::addr(90);
    vm.peers = common::addr(90);
    let new = fleet.start(vm);
    let mut vms = fleet.vms();
    vms.remove(1);
    let now = fleet.now;
    for node in &mut fleet.nodes {
        node.state.on_listing(now, listing(&vms));
    }
    fleet.run(Millis(3000));
    (old, new)
}

#[test]
fn late_successor() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    let (old, new) = start_overlapping_process(&mut fleet);
    let at = fleet.nodes[1].vm.peers;
    for peer in [0, 2, 3, 4, 5] {
        assert_eq!(fleet.view(peer).locate(old), Location::Away(at));
    }
    // The new process does not know the old one, and concludes nothing.
    assert_eq!(fleet.view(new).locate(old), Location::Unknown);
    let (now, next_owner) = (fleet.now, incarnation(&fleet, 2));
    fleet.nodes[1].state.hand_over(now, next_owner);
    fleet.run(Millis(3000));
    let gone = Location::Gone {
        successor: Some(next_owner),
    };
    for view in fleet.views().iter().filter(|v| v.me.incarnation != old) {
        assert_eq!(view.locate(old), gone, "{}", view.me.id);
        assert!(view.stopping.is_empty());
    }
}

#[test]
fn no_successor() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    let (old, _) = start_overlapping_process(&mut fleet);
    fleet.nodes[1].is_down = true;
    fleet.run(Config::default().absent_after);
    fleet.run(Millis(3000));
    for view in fleet.views() {
        assert_eq!(view.locate(old), Location::Gone { successor: None });
    }
}

#[test]
fn successor_kept() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    let old = incarnation(&fleet, 1);
    fleet.nodes[1].is_down = true;
    fleet.run(Millis(1000));
    let new = fleet.start(vm("a", 1, 2));
    fleet.list_all();
    fleet.run(Millis(3000));
    assert_eq!(
        fleet.view(0).locate(old),
        Location::Gone { successor: None }
    );
    // The old process was only slow, and names its successor late.
    let (now, next_owner) = (fleet.now, incarnation(&fleet, 2));
    let to = fleet.nodes[0].vm.clone();
    let target = membership::Target {
        id: to.id.clone(),
        addr: to.peers,
        incarnation: Some(to.incarnation),
    };
    fleet.nodes[1].state.hand_over(now, next_owner);
    let heartbeat = fleet.nodes[1].state.heartbeat(now, &target, ());
    fleet.nodes[0].state.on_heartbeat(now, &heartbeat);
    fleet.run(Millis(3000));
    let gone = Location::Gone {
        successor: Some(next_owner),
    };
    for at in [0, 2, 3, new] {
        assert_eq!(fleet.view(at).locate(old), gone);
    }
}

#[test]
fn unlisted_peers() {
    // Guards against a snapshot that counts as complete before the list of
    // machines is known, as heartbeats name only some of the VMs.
    let mut fleet = Fleet::new(&["a"], 3);
    let list = listing(&fleet.vms());
    let now = fleet.now;
    let me = fleet.nodes[0].vm.clone();
    let heard: Heartbeat<()> = fleet.nodes[1].state.reply(now, &me, ());
    fleet.nodes[0].state.on_heartbeat(now, &heard);
    let view = fleet.view(0);
    assert_eq!((view.peers.len(), view.is_listed), (1, false));
    fleet.nodes[0].state.on_listing(now, list);
    let view = fleet.view(0);
    assert_eq!((view.peers.len(), view.is_listed), (2, true));
}
