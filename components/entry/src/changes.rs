//! Records on the time line when this VM's view of peers, minions or teams
//! changes, so that an operator can see why a job ended the way it did.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HashMap, MinionId, Team, VmId};
use membership::Health;
use routing::{Mode, Policy};
use timeline::{EventKind, Note};
use tokio::time::{MissedTickBehavior, interval};
use wire::Connect;

use crate::core::Core;

/// Interval at which the view is compared with that of the last check.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The view at the last check.
#[derive(Default)]
struct Seen {
    /// Health of each peer.
    peers: HashMap<VmId, Health>,
    /// Routing mode of each minion, and whether it was leaving.
    minions: HashMap<MinionId, (Mode, bool)>,
    /// Whether each team had reached its quota.
    teams: HashMap<Team, bool>,
    /// Whether the balancer could send callers to this VM.
    ready: bool,
}

/// Compares the view with that of the last check, in a loop, and records
/// changes.
pub async fn watch<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(CHECK_PERIOD);
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
