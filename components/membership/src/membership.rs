//! The membership state machine: takes events and the current time, and returns
//! heartbeats to send and a view.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kernel::{Incarnation, Millis, MinionId, Offset, Timestamp, VmId};
use rand::Rng;

use crate::config::Config;
use crate::departed::Departed;
use crate::event::{Contact, Counters, Listing, Target};
use crate::heartbeat::Heartbeat;
use crate::leaving::Leaving;
use crate::peer::{Peer, SUSPECT_FAILURES};
use crate::peers::Peers;
use crate::schedule::{Counts, period};
use crate::stopping::StoppingProcesses;
use crate::view::{Health, PeerView, View};
use crate::vm::{Presence, Vm};

/// Time after its start in which a process may raise its generation above that of
/// another process with its id; later it yields to a higher generation.
const STARTUP_WINDOW: Millis = Millis(10_000);

/// Maximum time without a message from a live peer, before the grace is added.
const MAX_SILENCE: Millis = Millis(10_000);

/// State that this VM keeps about its peers and the leaving minions.
#[derive(Debug, Clone)]
pub struct Membership<R> {
    /// Settings of rates and timeouts.
    pub(crate) config: Config,
    /// Identity of this VM.
    pub(crate) me: Vm,
    /// Whether this VM takes new work.
    pub(crate) presence: Presence,
    /// Incarnation that took over what this VM owned, and the time of the
    /// handover.
    pub(crate) successor: Option<(Incarnation, Timestamp)>,
    /// Version of the sheet that this VM holds.
    pub(crate) sheet: Option<Offset>,
    /// Offset up to which this VM has read claims.
    pub(crate) claims: Option<Offset>,
    /// Known peers.
    pub(crate) peers: Peers,
    /// Whether a VM list was applied, so that all listed VMs are among the peers.
    pub(crate) is_listed: bool,
    /// Known leaving minions.
    pub(crate) leaving: Leaving,
    /// Incarnations that are gone for good.
    pub(crate) departed: Departed,
    /// Replaced processes that may still name a successor.
    pub(crate) stopping: StoppingProcesses,
    /// Whether a later process has replaced this one, or peers consider this one
    /// gone.
    pub(crate) replaced: bool,
    /// Counts of events that must never happen, or only rarely.
    pub(crate) counters: Counters,
    /// Time when this process started.
    pub(crate) started_at: Timestamp,
    /// Time of the last tick.
    pub(crate) last_tick: Timestamp,
    /// Time when the last pause of this process ended; the time without a
    /// message from a peer is counted from then at the earliest.
    pub(crate) resumed_at: Timestamp,
    /// Time until which heartbeats to peers with different sets are expedited.
    pub(crate) expedite_until: Timestamp,
    /// Time of the last attempt to reach a suspect peer.
    pub(crate) last_probe: Timestamp,
    /// Numbers of live peers, which share the heartbeat rates.
    pub(crate) counts: Counts,
    /// Random number generator for jitter.
    pub(crate) rng: R,
    /// Leaving minions as last published, with their hash.
    leaving_view: (u64, Arc<BTreeSet<MinionId>>),
    /// Departed incarnations as last published, with their hash.
    departed_view: (u64, Arc<BTreeMap<Incarnation, Option<Incarnation>>>),
}

impl<R: Rng> Membership<R> {
    /// Creates a membership that knows this VM only.
    pub fn new(now: Timestamp, me: Vm, config: Config, rng: R) -> Membership<R> {
        Membership {
            me,
            presence: Presence::Live,
            successor: None,
            sheet: None,
            claims: None,
            peers: Peers::default(),
            is_listed: false,
            leaving: Leaving::new(config.leaving_hold),
            departed: Departed::new(),
            stopping: StoppingProcesses::default(),
            replaced: false,
            counters: Counters::default(),
            started_at: now,
            last_tick: now,
            resumed_at: now,
            expedite_until: now,
            last_probe: now,
            counts: Counts::default(),
            rng,
            leaving_view: Default::default(),
            departed_view: Default::default(),
            config,
        }
    }

    /// Sets the offsets that heartbeats carry.
    pub fn set_offsets(&mut self, sheet: Option<Offset>, claims: Option<Offset>) {
        self.sheet = self.sheet.max(sheet);
        self.claims = self.claims.max(claims);
    }

    /// Begins the planned stop. Peers are notified at once that this VM takes no
    /// new work.
    pub fn leave(&mut self, now: Timestamp) {
        self.presence = Presence::Leaving;
        self.expedite_all(now);
    }

    /// Sets the successor that has taken over what this VM owned. From here on
    /// this VM counts as gone for good, so it must not start anything any more.
    pub fn hand_over(&mut self, now: Timestamp, successor: Incarnation) {
        self.presence = Presence::Leaving;
        self.successor = Some((successor, now));
        self.expedite_all(now);
    }

    /// Returns whether every live peer has answered a heartbeat sent since the
    /// handover.
    pub fn is_announced(&self, now: Timestamp) -> bool {
        let Some((_, handed_over_at)) = self.successor else {
            return false;
        };
        let mut live = self
            .peers
            .iter()
            .filter(|p| self.health(p, now) == Health::Live);
        live.all(|p| p.last_acked >= Some(handed_over_at))
    }

    /// Marks a minion as leaving, as observed by this VM itself.
    pub fn mark_leaving(&mut self, now: Timestamp, minion: MinionId) {
        let hold = self.config.leaving_hold;
        if self.leaving.mark(now, minion, hold) {
            self.expedite(now);
        }
    }

    /// Applies the VM list. It may be outdated, and it may never arrive.
    pub fn on_listing(&mut self, now: Timestamp, listing: Listing) {
        let mut ids = BTreeSet::new();
        for vm in listing.vms {
            if vm.id == self.me.id {
                continue;
            }
            let not_live = self.not_live(&vm.id, now);
            let new = || Peer::new(now, vm.id.clone(), vm.domain.clone(), vm.callers, vm.peers);
            let peer = self.peers.entry(&vm.id, new);
            peer.last_listed = Some(now);
            peer.absent_since = None;
            // A live peer's own heartbeats are newer than the list.
            if not_live {
                peer.domain = vm.domain;
                peer.callers = vm.callers;
                peer.peers = vm.peers;
                peer.presence = vm.presence;
            }
            ids.insert(vm.id);
        }
        for peer in self.peers.iter_mut() {
            let was_listed = peer.last_listed.is_some();
            if was_listed && !ids.contains(&peer.id) {
                peer.absent_since.get_or_insert(now);
            }
        }
        self.is_listed = true;
        if self.leaving.apply_listing(now, listing.leaving) {
            self.expedite(now);
        }
    }

    /// Applies a heartbeat from a peer; [`Membership::reply`] builds the answer.
    pub fn on_heartbeat<N>(&mut self, now: Timestamp, heartbeat: &Heartbeat<N>) {
        self.apply_heartbeat(now, heartbeat);
    }

    /// Applies the answer to a heartbeat.
    pub fn on_reply<N>(&mut self, now: Timestamp, target: &Target, heartbeat: &Heartbeat<N>) {
        if heartbeat.from.id != target.id {
            // Another VM uses the address now.
            self.counters.wrong_vm += 1;
            self.record_failure(now, &target.id, SUSPECT_FAILURES);
        }
        self.apply_heartbeat(now, heartbeat);
        if let Some(peer) = self.peers.get_mut(&heartbeat.from.id)
            && peer.incarnation() == Some(heartbeat.from.incarnation)
        {
            peer.last_acked = peer.pending_since.take().max(peer.last_acked);
        }
        self.expedite_if_behind(now, &heartbeat.from.id);
    }

    /// Records that a heartbeat got no answer.
    pub fn on_failure(&mut self, now: Timestamp, target: &Target) {
        self.record_failure(now, &target.id, 1);
    }

    /// Records the result of another request to a peer, which shows as much as a
    /// heartbeat and often earlier.
    pub fn on_request(&mut self, now: Timestamp, id: &VmId, contact: Contact) {
        match contact {
            Contact::Answered => {
                if let Some(peer) = self.peers.get_mut(id) {
                    peer.last_heartbeat = Some(now);
                    peer.failures = 0;
                }
            }
            Contact::Refused => self.record_request_failure(now, id, SUSPECT_FAILURES),
            Contact::Lost => self.record_request_failure(now, id, 1),
        }
    }

    /// Builds a view of the current state.
    pub fn view(&mut self, now: Timestamp) -> Arc<View> {
        self.refresh_published_sets();
        let peers: Vec<PeerView> = self.peers.iter().map(|p| self.peer_view(p, now)).collect();
        let live = |p: &&PeerView| p.takes_work();
        let lower_ids = peers.iter().filter(live).filter(|p| p.id < self.me.id);
        let own = usize::from(self.presence == Presence::Live);
        Arc::new(View {
            me: self.me.clone(),
            presence: self.presence,
            replaced: self.replaced,
            rank: lower_ids.count(),
            live: peers.iter().filter(live).count() + own,
            peers,
            is_listed: self.is_listed,
            leaving: self.leaving_view.1.clone(),
            departed: self.departed_view.1.clone(),
            stopping: self.stopping.list(),
        })
    }

    /// Returns the counts of events that must never happen, or only rarely.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the numbers of peers, leaving minions and departed incarnations
    /// remembered; each is bounded.
    pub fn sizes(&self) -> [usize; 3] {
        [self.peers.len(), self.leaving.len(), self.departed.len()]
    }

    /// Returns whether this process is still in its startup window.
    pub(crate) fn is_starting(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < STARTUP_WINDOW
    }

    /// Returns whether a peer is live, suspect or gone.
    pub(crate) fn health(&self, peer: &Peer, now: Timestamp) -> Health {
        let gone = |i| self.departed.contains(i);
        if peer.incarnation().is_some_and(gone) {
            return Health::Gone;
        }
        if peer.failures >= SUSPECT_FAILURES || peer.last_heartbeat.is_none() {
            return Health::Suspect;
        }
        let near = peer.domain == self.me.domain;
        let periods = 3 * period(&self.config, self.counts, near).0;
        let limit = periods.min(MAX_SILENCE.0) + self.config.grace.0;
        match peer.silence(now, self.resumed_at).0 > limit {
            true => Health::Suspect,
            false => Health::Live,
        }
    }

    fn not_live(&self, id: &VmId, now: Timestamp) -> bool {
        let peer = self.peers.get(id);
        peer.is_none_or(|p| self.health(p, now) != Health::Live)
    }

    fn refresh_published_sets(&mut self) {
        let digest = self.leaving.digest();
        if self.leaving_view.0 != digest {
            let set = self.leaving.iter().cloned().collect();
            self.leaving_view = (digest, Arc::new(set));
        }
        let digest = self.departed.digest();
        if self.departed_view.0 != digest {
            let map = self.departed.resolved().collect();
            self.departed_view = (digest, Arc::new(map));
        }
    }

    fn peer_view(&self, peer: &Peer, now: Timestamp) -> PeerView {
        PeerView {
            id: peer.id.clone(),
            incarnation: peer.incarnation(),
            domain: peer.domain.clone(),
            callers: peer.callers,
            peers: peer.peers,
            health: self.health(peer, now),
            presence: peer.presence,
            sheet: peer.sheet,
            claims: peer.claims,
        }
    }
}
