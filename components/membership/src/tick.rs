//! Periodic work: choosing the peers that are due for a heartbeat, and expiring
//! marks, peers and unanswered heartbeats.

use kernel::{Incarnation, Millis, Timestamp, VmId};
use rand::Rng;

use crate::event::Target;
use crate::membership::Membership;
use crate::peer::{Peer, SUSPECT_FAILURES};
use crate::schedule::{Counts, MAX_BURST, PROBE_GAP, jittered, period, probe_pause, soon};
use crate::view::Health;

/// Time after which a heartbeat without a reported result counts as failed.
const PENDING_TIMEOUT: Millis = Millis(5_000);

/// Time between two ticks above which this process counts as having been paused.
const PAUSE_THRESHOLD: Millis = Millis(2_000);

/// Time after the last news during which heartbeats to peers with different sets
/// are expedited.
const EXPEDITE_PERIOD: Millis = Millis(3_000);

/// Minimum time between an expedited heartbeat and the one before it to the same
/// peer.
const MIN_EXPEDITE_GAP: Millis = Millis(200);

/// Number of random picks among the peers of other domains whose heartbeats are
/// expedited when there is news.
const FAR_PICKS: usize = 2;

impl<R: Rng> Membership<R> {
    /// Returns the peers that are due for a heartbeat now, a bounded number.
    /// Must be called about ten times per second. The caller sends
    /// [`Membership::heartbeat`] to each target and reports the result.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Target> {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.counters.pauses += 1;
            self.resumed_at = now;
        }
        self.last_tick = now;
        self.leaving.expire(now);
        self.departed.expire(now);
        for incarnation in self.stopping.take_expired(now) {
            self.mark_departed(now, incarnation, None);
        }
        self.expire_pending(now);
        self.expire_peers(now);
        self.count_live_peers(now);
        self.choose_targets(now)
    }

    /// Expedites the heartbeats to the peers of this domain, and to a few of other
    /// domains, when there is news.
    pub(crate) fn expedite(&mut self, now: Timestamp) {
        self.expedite_until = now.after(EXPEDITE_PERIOD);
        let far: Vec<VmId> = self
            .peers
            .iter()
            .filter(|p| p.domain != self.me.domain && p.failures == 0)
            .map(|p| p.id.clone())
            .collect();
        let picked: Vec<&VmId> = match far.len() {
            0 => Vec::new(),
            n => (0..FAR_PICKS)
                .map(|_| &far[self.rng.random_range(0..n)])
                .collect(),
        };
        for peer in self.peers.iter_mut() {
            let near = peer.domain == self.me.domain;
            if peer.failures == 0 && (near || picked.contains(&&peer.id)) {
                bring_forward(peer, soon(&mut self.rng, now));
            }
        }
    }

    pub(crate) fn expedite_all(&mut self, now: Timestamp) {
        self.expedite_until = now.after(EXPEDITE_PERIOD);
        for peer in self.peers.iter_mut().filter(|p| p.failures == 0) {
            peer.due = now;
        }
    }

    /// Expedites the next heartbeat to a peer whose sets differ from this VM's,
    /// for some time after the last news.
    pub(crate) fn expedite_if_behind(&mut self, now: Timestamp, id: &VmId) {
        let own = (self.leaving.digest(), self.departed.digest());
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let same = own == (peer.leaving_digest, peer.departed_digest);
        if !same && now < self.expedite_until {
            bring_forward(peer, soon(&mut self.rng, now));
        }
    }

    /// Records a failed heartbeat and schedules the next attempt. `weight` is the
    /// number of failures that it counts for.
    pub(crate) fn record_failure(&mut self, now: Timestamp, id: &VmId, weight: u32) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        peer.pending_since = None;
        peer.failures = peer.failures.saturating_add(weight);
        let pause = probe_pause(&self.config, peer.failures - 1);
        peer.due = jittered(&mut self.rng, now, pause);
    }

    /// Records heartbeats without a reported result as failed after
    /// [`PENDING_TIMEOUT`].
    fn expire_pending(&mut self, now: Timestamp) {
        let overdue = |p: &&Peer| {
            p.pending_since
                .is_some_and(|t| now.since(t) > PENDING_TIMEOUT)
        };
        let ids: Vec<VmId> = self
            .peers
            .iter()
            .filter(overdue)
            .map(|p| p.id.clone())
            .collect();
        for id in &ids {
            self.record_failure(now, id, 1);
        }
    }

    /// Records as departed the processes of VMs that are missing from the VM list
    /// and send no messages, and forgets peers that have sent none for long.
    fn expire_peers(&mut self, now: Timestamp) {
        let absent_after = self.config.absent_after;
        let resumed_at = self.resumed_at;
        let ended = |p: &&Peer| {
            p.absent_since.is_some_and(|t| now.since(t) >= absent_after)
                && p.silence(now, resumed_at) >= absent_after
        };
        let gone: Vec<Incarnation> = self
            .peers
            .iter()
            .filter(ended)
            .filter_map(Peer::incarnation)
            .filter(|i| !self.departed.contains(*i))
            .collect();
        for incarnation in gone {
            self.mark_departed(now, incarnation, None);
        }
        let forget_after = self.config.forget_after;
        self.peers.retain(|p| {
            let ended = p.absent_since.is_some_and(|t| now.since(t) >= absent_after);
            let bound = if ended {
                Millis(2 * absent_after.0)
            } else {
                forget_after
            };
            p.silence(now, resumed_at) < bound.min(forget_after)
        });
    }

    fn count_live_peers(&mut self, now: Timestamp) {
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

    fn choose_targets(&mut self, now: Timestamp) -> Vec<Target> {
        let mut due: Vec<(Timestamp, VmId, Health)> = self
            .peers
            .iter()
            .filter(|p| p.due <= now && p.pending_since.is_none())
            .map(|p| (p.due, p.id.clone(), self.health(p, now)))
            .collect();
        due.sort();
        let mut targets = Vec::new();
        for (_, id, health) in due {
            if targets.len() >= MAX_BURST {
                break;
            }
            let has_failed = self.peers.get(&id).is_some_and(|p| p.failures > 0);
            if health != Health::Live && has_failed {
                if now.since(self.last_probe) < PROBE_GAP {
                    continue;
                }
                self.last_probe = now;
            }
            targets.extend(self.start_heartbeat(now, &id, health));
        }
        targets
    }

    fn start_heartbeat(&mut self, now: Timestamp, id: &VmId, health: Health) -> Option<Target> {
        let peer = self.peers.get_mut(id)?;
        let near = peer.domain == self.me.domain;
        let pause = match health {
            Health::Live => period(&self.config, self.counts, near),
            Health::Suspect => probe_pause(&self.config, peer.failures),
            Health::Gone => self.config.probe_max,
        };
        peer.due = jittered(&mut self.rng, now, pause);
        peer.pending_since = Some(now);
        peer.last_sent = now;
        Some(Target {
            id: peer.id.clone(),
            addr: peer.peers,
            incarnation: peer.incarnation(),
        })
    }

    /// Records a failed request. Many requests may fail together, so the failures
    /// are capped at the number that makes a peer suspect, and a heartbeat soon
    /// checks the peer.
    pub(crate) fn record_request_failure(&mut self, now: Timestamp, id: &VmId, weight: u32) {
        let at = soon(&mut self.rng, now);
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if peer.failures >= SUSPECT_FAILURES {
            return;
        }
        peer.failures = (peer.failures + weight).min(SUSPECT_FAILURES);
        bring_forward(peer, at);
    }
}

/// Moves a peer's next heartbeat forward to `at`, but keeps
/// [`MIN_EXPEDITE_GAP`] after the last one.
fn bring_forward(peer: &mut Peer, at: Timestamp) {
    let at = at.max(peer.last_sent.after(MIN_EXPEDITE_GAP));
    peer.due = peer.due.min(at);
}
