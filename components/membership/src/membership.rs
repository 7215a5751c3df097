//! The decisions: events and the time in, heartbeats to send and a view out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kernel::{Incarnation, Millis, MinionId, Offset, Timestamp, VmId};
use rand::Rng;

use crate::beat::Beat;
use crate::config::Config;
use crate::departed::Departed;
use crate::event::{Contact, Counters, Listing, Target};
use crate::leaving::Leaving;
use crate::parting::Parting;
use crate::peer::{Peer, SUSPECT_FAILS};
use crate::peers::Peers;
use crate::schedule::{Counts, period};
use crate::view::{Health, PeerView, View};
use crate::vm::{Presence, Vm};

/// The time after its start in which a process may go ahead of an earlier life
/// of its id; later it yields.
const YOUNG: Millis = Millis(10_000);

/// The longest silence of a live peer, besides the grace.
const SILENCE_MAX: Millis = Millis(10_000);

/// What this VM believes about the others.
#[derive(Debug, Clone)]
pub struct Membership<R> {
    /// The settings.
    pub(crate) config: Config,
    /// This VM.
    pub(crate) me: Vm,
    /// Whether this VM takes new work.
    pub(crate) presence: Presence,
    /// To whom this VM has handed over what it owned, and when it said so.
    pub(crate) successor: Option<(Incarnation, Timestamp)>,
    /// The version of the sheet held here.
    pub(crate) sheet: Option<Offset>,
    /// The offset up to which claims were read here.
    pub(crate) claims: Option<Offset>,
    /// The peers.
    pub(crate) peers: Peers,
    /// The leaving minions.
    pub(crate) leaving: Leaving,
    /// The incarnations gone for good.
    pub(crate) departed: Departed,
    /// The replaced lives that may still name a successor.
    pub(crate) parting: Parting,
    /// Whether peers take this process for gone.
    pub(crate) replaced: bool,
    /// What must never happen, or seldom.
    pub(crate) counters: Counters,
    /// When this process started.
    pub(crate) started: Timestamp,
    /// When the last tick was.
    pub(crate) ticked: Timestamp,
    /// When the last pause ended; silence counts from then.
    pub(crate) resumed: Timestamp,
    /// Until when fresh news hastens heartbeats.
    pub(crate) fresh_until: Timestamp,
    /// When a suspect peer was last tried.
    pub(crate) probed: Timestamp,
    /// How many peers there are to share the rates.
    pub(crate) counts: Counts,
    /// Randomness for jitter.
    pub(crate) rng: R,
    /// The leaving minions as last published, with their hash.
    leaving_view: (u64, Arc<BTreeSet<MinionId>>),
    /// The departed incarnations as last published, with their hash.
    departed_view: (u64, Arc<BTreeMap<Incarnation, Option<Incarnation>>>),
}

impl<R: Rng> Membership<R> {
    /// Starts knowing nobody but this VM.
    pub fn new(now: Timestamp, me: Vm, config: Config, rng: R) -> Membership<R> {
        Membership {
            me,
            presence: Presence::Live,
            successor: None,
            sheet: None,
            claims: None,
            peers: Peers::default(),
            leaving: Leaving::new(config.leaving_hold),
            departed: Departed::new(),
            parting: Parting::default(),
            replaced: false,
            counters: Counters::default(),
            started: now,
            ticked: now,
            resumed: now,
            fresh_until: now,
            probed: now,
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

    /// Begins the planned stop: peers hear at once that this VM takes no new
    /// work.
    pub fn leave(&mut self, now: Timestamp) {
        self.presence = Presence::Leaving;
        self.hasten_all(now);
    }

    /// Names who has taken over what this VM owned. From here on it counts as
    /// gone for good, so that it must not start anything any more.
    pub fn hand_over(&mut self, now: Timestamp, successor: Incarnation) {
        self.presence = Presence::Leaving;
        self.successor = Some((successor, now));
        self.hasten_all(now);
    }

    /// Tells whether every live peer has answered since the hand-over.
    pub fn is_announced(&self, now: Timestamp) -> bool {
        let Some((_, said)) = self.successor else {
            return false;
        };
        let mut live = self
            .peers
            .iter()
            .filter(|p| self.health(p, now) == Health::Live);
        live.all(|p| p.acked >= Some(said))
    }

    /// Marks a minion as leaving, as seen by this VM itself.
    pub fn mark_leaving(&mut self, now: Timestamp, minion: MinionId) {
        let hold = self.config.leaving_hold;
        if self.leaving.mark(now, minion, hold) {
            self.hasten(now);
        }
    }

    /// Takes the platform's list. It may be old, and it may never come.
    pub fn on_listing(&mut self, now: Timestamp, listing: Listing) {
        let mut ids = BTreeSet::new();
        for vm in listing.vms {
            if vm.id == self.me.id {
                continue;
            }
            let quiet = self.silent(&vm.id, now);
            let new = || Peer::new(now, vm.id.clone(), vm.domain.clone(), vm.callers, vm.peers);
            let peer = self.peers.entry(&vm.id, new);
            peer.listed = Some(now);
            peer.absent = None;
            // What the peer says itself is newer than the list.
            if quiet {
                peer.domain = vm.domain;
                peer.callers = vm.callers;
                peer.peers = vm.peers;
                peer.presence = vm.presence;
            }
            ids.insert(vm.id);
        }
        for peer in self.peers.iter_mut() {
            let listed = peer.listed.is_some();
            if listed && !ids.contains(&peer.id) {
                peer.absent.get_or_insert(now);
            }
        }
        if self.leaving.list(now, listing.leaving) {
            self.hasten(now);
        }
    }

    /// Takes a peer's heartbeat; [`Membership::reply`] writes the answer.
    pub fn on_beat<N>(&mut self, now: Timestamp, beat: &Beat<N>) {
        self.hear(now, beat);
    }

    /// Takes the answer to a heartbeat.
    pub fn on_reply<N>(&mut self, now: Timestamp, target: &Target, beat: &Beat<N>) {
        if beat.from.id != target.id {
            // The address has gone to another VM.
            self.counters.wrong_vm += 1;
            self.fail(now, &target.id, SUSPECT_FAILS);
        }
        self.hear(now, beat);
        if let Some(peer) = self.peers.get_mut(&beat.from.id)
            && peer.incarnation() == Some(beat.from.incarnation)
        {
            peer.acked = peer.asked.take().max(peer.acked);
        }
        self.catch_up(now, &beat.from.id);
    }

    /// Notes that a heartbeat got no answer.
    pub fn on_failure(&mut self, now: Timestamp, target: &Target) {
        self.fail(now, &target.id, 1);
    }

    /// Notes how a real request to a peer ended, which is as good as a
    /// heartbeat and often faster.
    pub fn on_request(&mut self, now: Timestamp, id: &VmId, contact: Contact) {
        match contact {
            Contact::Answered => {
                if let Some(peer) = self.peers.get_mut(id) {
                    peer.heard = Some(now);
                    peer.fails = 0;
                }
            }
            Contact::Refused => self.doubt(now, id, SUSPECT_FAILS),
            Contact::Lost => self.doubt(now, id, 1),
        }
    }

    /// Builds the view as of now.
    pub fn view(&mut self, now: Timestamp) -> Arc<View> {
        self.publish_sets();
        let peers: Vec<PeerView> = self.peers.iter().map(|p| self.show(p, now)).collect();
        let live = |p: &&PeerView| p.takes_work();
        let ahead = peers.iter().filter(live).filter(|p| p.id < self.me.id);
        let mine = usize::from(self.presence == Presence::Live);
        Arc::new(View {
            me: self.me.clone(),
            presence: self.presence,
            replaced: self.replaced,
            rank: ahead.count(),
            live: peers.iter().filter(live).count() + mine,
            peers,
            leaving: self.leaving_view.1.clone(),
            departed: self.departed_view.1.clone(),
            parting: self.parting.list(),
        })
    }

    /// Returns the counts of what must never happen, or seldom.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns how many peers, leaving minions and departed incarnations are
    /// remembered; each is bounded.
    pub fn sizes(&self) -> [usize; 3] {
        [self.peers.len(), self.leaving.len(), self.departed.len()]
    }

    /// Tells whether this process has just started.
    pub(crate) fn is_young(&self, now: Timestamp) -> bool {
        now.since(self.started) < YOUNG
    }

    /// Tells whether a peer answers.
    pub(crate) fn health(&self, peer: &Peer, now: Timestamp) -> Health {
        let gone = |i| self.departed.contains(i);
        if peer.incarnation().is_some_and(gone) {
            return Health::Gone;
        }
        if peer.fails >= SUSPECT_FAILS || peer.heard.is_none() {
            return Health::Suspect;
        }
        let near = peer.domain == self.me.domain;
        let periods = 3 * period(&self.config, self.counts, near).0;
        let limit = periods.min(SILENCE_MAX.0) + self.config.grace.0;
        match peer.silence(now, self.resumed).0 > limit {
            true => Health::Suspect,
            false => Health::Live,
        }
    }

    fn silent(&self, id: &VmId, now: Timestamp) -> bool {
        let peer = self.peers.get(id);
        peer.is_none_or(|p| self.health(p, now) != Health::Live)
    }

    fn publish_sets(&mut self) {
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

    fn show(&self, peer: &Peer, now: Timestamp) -> PeerView {
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
