//! Memory stays bounded whatever peers send.

mod common;

use common::{TestRng, addr, minion, test_rng, vm};
use kernel::{Incarnation, Millis, Offset, Timestamp};
use membership::{
    Config, DepartedNews, Generation, Heartbeat, LeavingNews, MAX_DEPARTED, MAX_LEAVING, MAX_PEERS,
    Membership, MinionNews, Presence, Sync, Target, Vm, VmNews,
};
use rand::Rng;

fn random_vm(rng: &mut TestRng) -> Vm {
    let domain = ["a", "b", "c"][rng.random_range(0..3)];
    let mut vm = vm(domain, rng.random_range(0..2000), 1);
    vm.incarnation = Incarnation::draw(rng);
    vm.generation = Generation(rng.random_range(0..9));
    vm
}

fn random_heartbeat(rng: &mut TestRng) -> Heartbeat<()> {
    let minions = (0..rng.random_range(0..200)).map(|_| MinionNews {
        minion: minion("a", rng.random_range(0..9000)),
        left: Millis(rng.random_range(0..u64::MAX)),
    });
    let leaving = LeavingNews {
        digest: 5,
        news: minions.collect(),
    };
    let departures = (0..rng.random_range(0..50)).map(|_| DepartedNews {
        incarnation: Incarnation::draw(rng),
        successor: None,
        left: Millis(rng.random_range(0..86_400_000)),
    });
    let departed = Sync {
        digest: 6,
        news: departures.collect(),
    };
    let vms = (0..rng.random_range(0..30)).map(|_| VmNews {
        vm: random_vm(rng),
        presence: Presence::Leaving,
        age: Millis(rng.random_range(0..u64::MAX)),
    });
    Heartbeat {
        vms: vms.collect(),
        from: random_vm(rng),
        presence: Presence::Live,
        successor: None,
        sheet: Some(Offset(rng.random_range(0..100))),
        claims: None,
        leaving,
        departed,
        note: (),
    }
}

#[test]
fn random_heartbeats() {
    let rng = &mut test_rng(1);
    let mut state = Membership::new(
        Timestamp(0),
        vm("a", 5000, 1),
        Config::default(),
        test_rng(2),
    );
    for step in 0..300 {
        let now = Timestamp(step * 50_000);
        let heartbeat = random_heartbeat(rng);
        state.on_heartbeat(now, &heartbeat);
        let answer = state.reply(now, &heartbeat.from, ());
        assert!(answer.vms.len() <= membership::MAX_VM_NEWS);
        assert!(answer.leaving.news.len() <= membership::MAX_MINION_NEWS);
        assert!(answer.departed.news.len() <= membership::MAX_DEPARTED_NEWS);
        let targets = state.tick(now);
        assert!(targets.len() <= 16);
        for target in &targets {
            report_random_result(rng, &mut state, now, target);
        }
        let [peers, leaving, departed] = state.sizes();
        assert!(peers <= MAX_PEERS && leaving <= MAX_LEAVING && departed <= MAX_DEPARTED);
        let view = state.view(now);
        assert!(view.rank < view.live.max(1));
    }
    assert_eq!(state.sizes()[2], MAX_DEPARTED);
}

fn report_random_result(
    rng: &mut TestRng,
    state: &mut Membership<TestRng>,
    now: Timestamp,
    target: &Target,
) {
    match rng.random_range(0..3) {
        0 => state.on_failure(now, target),
        1 => state.on_reply(now, target, &random_heartbeat(rng)),
        _ => {}
    }
}

#[test]
fn offset_drop() {
    let rng = &mut test_rng(3);
    let mut state = Membership::new(Timestamp(0), vm("a", 0, 1), Config::default(), test_rng(4));
    let mut heartbeat = random_heartbeat(rng);
    heartbeat.from = vm("a", 1, 1);
    heartbeat.from.peers = addr(1);
    heartbeat.sheet = Some(Offset(9));
    state.on_heartbeat(Timestamp(0), &heartbeat);
    heartbeat.sheet = Some(Offset(4));
    state.on_heartbeat(Timestamp(1), &heartbeat);
    assert_eq!(state.counters().offset_drops, 1);
    let view = state.view(Timestamp(1));
    let peer = view
        .peers
        .iter()
        .find(|p| p.id == heartbeat.from.id)
        .unwrap();
    assert_eq!(peer.sheet, Some(Offset(9)));
}
