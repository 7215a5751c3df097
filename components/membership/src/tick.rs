//! What time brings about: heartbeats that are due, peers given up.

use kernel::{Incarnation, Millis, Timestamp, VmId};
use rand::Rng;

use crate::event::Target;
use crate::membership::Membership;
use crate::peer::{Peer, SUSPECT_FAILS};
use crate::schedule::{Counts, MAX_BURST, PROBE_GAP, jittered, period, probe_pause, soon};
use crate::view::Health;

/// The longest time that a heartbeat without a result counts as under way.
const ASK_LIMIT: Millis = Millis(5_000);

/// The time without a tick after which this process seems to have been paused.
const PAUSE: Millis = Millis(2_000);

/// How long fresh news hastens heartbeats.
const NEWS_FRESH: Millis = Millis(3_000);

/// The least time between two hastened heartbeats to one peer.
const HASTE_GAP: Millis = Millis(200);

/// How many peers of other domains are told of fresh news at once.
const FAR_HASTE: usize = 2;

impl<R: Rng> Membership<R> {
    /// Returns to whom heartbeats are to go now, a bounded number. To be called
    /// some ten times a second. Each target's [`Membership::beat`] is to be
    /// sent, and its result reported.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Target> {
        if now.since(self.ticked) > PAUSE {
            self.counters.pauses += 1;
            self.resumed = now;
        }
        self.ticked = now;
        self.leaving.expire(now);
        self.departed.expire(now);
        for incarnation in self.parting.take_ended(now) {
            self.part_with(now, incarnation, None);
        }
        self.give_up(now);
        self.note_departures(now);
        self.count(now);
        self.choose(now)
    }

    /// Hastens the heartbeats to this domain, and to some others, as there is
    /// news.
    pub(crate) fn hasten(&mut self, now: Timestamp) {
        self.fresh_until = now.after(NEWS_FRESH);
        let far: Vec<VmId> = self
            .peers
            .iter()
            .filter(|p| p.domain != self.me.domain && p.fails == 0)
            .map(|p| p.id.clone())
            .collect();
        let picked: Vec<&VmId> = match far.len() {
            0 => Vec::new(),
            n => (0..FAR_HASTE)
                .map(|_| &far[self.rng.random_range(0..n)])
                .collect(),
        };
        for peer in self.peers.iter_mut() {
            let near = peer.domain == self.me.domain;
            if peer.fails == 0 && (near || picked.contains(&&peer.id)) {
                bring_forward(peer, soon(&mut self.rng, now));
            }
        }
    }

    pub(crate) fn hasten_all(&mut self, now: Timestamp) {
        self.fresh_until = now.after(NEWS_FRESH);
        for peer in self.peers.iter_mut().filter(|p| p.fails == 0) {
            peer.due = now;
        }
    }

    /// Speaks to a peer again soon while there is news that it lacks.
    pub(crate) fn catch_up(&mut self, now: Timestamp, id: &VmId) {
        let own = (self.leaving.digest(), self.departed.digest());
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let same = own == (peer.leaving_digest, peer.departed_digest);
        if !same && now < self.fresh_until {
            bring_forward(peer, soon(&mut self.rng, now));
        }
    }

    /// Notes a failed heartbeat.
    pub(crate) fn fail(&mut self, now: Timestamp, id: &VmId, weight: u32) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        peer.asked = None;
        peer.fails = peer.fails.saturating_add(weight);
        let pause = probe_pause(&self.config, peer.fails - 1);
        peer.due = jittered(&mut self.rng, now, pause);
    }

    /// Counts heartbeats without a result as failed after a while.
    fn give_up(&mut self, now: Timestamp) {
        let late = |p: &&Peer| p.asked.is_some_and(|t| now.since(t) > ASK_LIMIT);
        let ids: Vec<VmId> = self
            .peers
            .iter()
            .filter(late)
            .map(|p| p.id.clone())
            .collect();
        for id in &ids {
            self.fail(now, id, 1);
        }
    }

    /// Notes VMs that have left the platform's list and are silent as gone, and
    /// forgets those silent for long.
    fn note_departures(&mut self, now: Timestamp) {
        let wait = self.config.absent_after;
        let resumed = self.resumed;
        let ended = |p: &&Peer| {
            p.absent.is_some_and(|t| now.since(t) >= wait) && p.silence(now, resumed) >= wait
        };
        let gone: Vec<Incarnation> = self
            .peers
            .iter()
            .filter(ended)
            .filter_map(Peer::incarnation)
            .filter(|i| !self.departed.contains(*i))
            .collect();
        for incarnation in gone {
            self.part_with(now, incarnation, None);
        }
        let keep = self.config.forget_after;
        self.peers.retain(|p| {
            let ended = p.absent.is_some_and(|t| now.since(t) >= wait);
            let bound = if ended { Millis(2 * wait.0) } else { keep };
            p.silence(now, resumed) < bound.min(keep)
        });
    }

    fn count(&mut self, now: Timestamp) {
        let mut counts = Counts::default();
        for peer in self.peers.iter() {
            match self.health(peer, now) {
                Health::Live if peer.domain == self.me.domain => counts.near += 1,
                Health::Live => counts.far += 1,
                _ => {}
            }
        }
        self.counts = counts;
    }

    fn choose(&mut self, now: Timestamp) -> Vec<Target> {
        let mut due: Vec<(Timestamp, VmId, Health)> = self
            .peers
            .iter()
            .filter(|p| p.due <= now && p.asked.is_none())
            .map(|p| (p.due, p.id.clone(), self.health(p, now)))
            .collect();
        due.sort();
        let mut targets = Vec::new();
        for (_, id, health) in due {
            if targets.len() >= MAX_BURST {
                break;
            }
            let known = self.peers.get(&id).is_some_and(|p| p.fails > 0);
            if health != Health::Live && known {
                if now.since(self.probed) < PROBE_GAP {
                    continue;
                }
                self.probed = now;
            }
            targets.extend(self.ask(now, &id, health));
        }
        targets
    }

    fn ask(&mut self, now: Timestamp, id: &VmId, health: Health) -> Option<Target> {
        let peer = self.peers.get_mut(id)?;
        let near = peer.domain == self.me.domain;
        let pause = match health {
            Health::Live => period(&self.config, self.counts, near),
            Health::Suspect => probe_pause(&self.config, peer.fails),
            Health::Gone => self.config.probe_max,
        };
        peer.due = jittered(&mut self.rng, now, pause);
        peer.asked = Some(now);
        peer.sent = now;
        Some(Target {
            id: peer.id.clone(),
            addr: peer.peers,
            incarnation: peer.incarnation(),
        })
    }

    /// Notes a failed request. Many fail together, so that they count as no more
    /// than it takes to be suspect, and a heartbeat soon settles the matter.
    pub(crate) fn doubt(&mut self, now: Timestamp, id: &VmId, weight: u32) {
        let at = soon(&mut self.rng, now);
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer.fails >= SUSPECT_FAILS {
            return;
        }
        peer.fails = (peer.fails + weight).min(SUSPECT_FAILS);
        bring_forward(peer, at);
    }
}

/// Sets a peer's next heartbeat earlier, but not right behind the last.
fn bring_forward(peer: &mut Peer, at: Timestamp) {
    let at = at.max(peer.sent.after(HASTE_GAP));
    peer.due = peer.due.min(at);
}
