//! Heartbeats are unchanged by encoding and decoding.

mod common;

use common::{Fleet, minion};
use kernel::Offset;
use membership::{Heartbeat, Target};

#[test]
fn round_trip() {
    let mut fleet = Fleet::converged(&["a", "b"], 3);
    let now = fleet.now;
    let to = &fleet.nodes[1].vm;
    let target = Target {
        id: to.id.clone(),
        addr: to.peers,
        incarnation: Some(to.incarnation),
    };
    let successor = fleet.nodes[2].vm.incarnation;
    let state = &mut fleet.nodes[0].state;
    state.mark_leaving(now, minion("a", 1));
    state.set_offsets(Some(Offset(4)), None);
    state.hand_over(now, successor);
    let heartbeat = state.heartbeat(now, &target, vec![7u8]);
    assert_eq!(heartbeat.vms.len(), membership::MAX_VM_NEWS);
    assert_eq!(heartbeat.leaving.news.len(), 1);
    let bytes = rmp_serde::to_vec(&heartbeat).unwrap();
    let decoded: Heartbeat<Vec<u8>> = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded, heartbeat);
}
