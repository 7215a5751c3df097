//! Notes on the time line what this VM has come to believe of peers, minions
//! and teams, so that a person on call sees the decision behind a job's fate.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HashMap, MinionId, Team, VmId};
use membership::Health;
use routing::{Mode, Policy};
use timeline::{EventKind, Note};
use tokio::time::{MissedTickBehavior, interval};
use wire::Connect;

use crate::core::Core;

/// How often beliefs are compared with those of the last look.
const LOOK: Duration = Duration::from_millis(500);

/// The beliefs of the last look.
#[derive(Default)]
struct Seen {
    /// Whether each peer answered.
    peers: HashMap<VmId, Health>,
    /// How far each minion was trusted, and whether it was leaving.
    minions: HashMap<MinionId, (Mode, bool)>,
    /// Whether each team held all that its quota allows.
    teams: HashMap<Team, bool>,
    /// Whether callers could be sent here.
    ready: bool,
}

/// Compares beliefs now and then, and notes what has changed.
pub async fn watch<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seen = Seen::default();
    loop {
        ticks.tick().await;
        note_ready(&core, &mut seen);
        note_peers(&core, &mut seen);
        note_minions(&core, &mut seen);
        note_teams(&core, &mut seen);
    }
}

fn note_ready<C: Connect, P: Policy>(core: &Core<C, P>, seen: &mut Seen) {
    let ready = core.ready();
    if ready && !seen.ready {
        core.note(Note::new(EventKind::VmReady));
    }
    seen.ready = ready;
}

fn note_peers<C: Connect, P: Policy>(core: &Core<C, P>, seen: &mut Seen) {
    let view = core.view.load();
    for peer in &view.peers {
        let before = seen.peers.insert(peer.id.clone(), peer.health);
        if before != Some(peer.health) {
            core.note(Note::new(peer_event(before, peer.health, &peer.id)));
        }
    }
}

fn peer_event(before: Option<Health>, now: Health, vm: &VmId) -> EventKind {
    match (before, now) {
        (None, Health::Live) => EventKind::PeerLive(vm.clone()),
        (Some(_), Health::Live) => EventKind::PeerReturned(vm.clone()),
        (_, Health::Suspect) => EventKind::PeerSuspect(vm.clone()),
        (_, Health::Gone) => EventKind::PeerGone(vm.clone()),
    }
}

fn note_minions<C: Connect, P: Policy>(core: &Core<C, P>, seen: &mut Seen) {
    let status = core.dispatch.fleet.status();
    let last = std::mem::take(&mut seen.minions);
    for minion in status {
        let now = (minion.mode, minion.leaving);
        let before = last.get(&minion.id).copied().unwrap_or_default();
        for event in minion_events(before, now) {
            core.note(Note::new(event).minion(&minion.id));
        }
        seen.minions.insert(minion.id, now);
    }
}

fn minion_events(before: (Mode, bool), now: (Mode, bool)) -> impl Iterator<Item = EventKind> {
    let ejected = now.0 == Mode::Ejected && before.0 != Mode::Ejected;
    let readmitted = now.0 == Mode::Normal && before.0 == Mode::Ejected;
    let leaving = now.1 && !before.1;
    let events = [
        ejected.then_some(EventKind::MinionEjected),
        readmitted.then_some(EventKind::MinionReadmitted),
        leaving.then_some(EventKind::MinionLeaving),
    ];
    events.into_iter().flatten()
}

fn note_teams<C: Connect, P: Policy>(core: &Core<C, P>, seen: &mut Seen) {
    for status in core.dispatch.teams.status() {
        let full = status.held >= status.limit;
        let before = seen.teams.insert(status.team.clone(), full);
        if full && before == Some(false) {
            core.note(Note::new(EventKind::QuotaReached(status.team)));
        }
    }
}
