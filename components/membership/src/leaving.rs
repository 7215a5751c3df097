//! The bounded set of leaving minions. A mark expires unless it is renewed.

use std::collections::BTreeSet;

use kernel::{Domain, Millis, MinionId, Timestamp};

use crate::gossip_set::{AnnouncedValue, GossipSet};
use crate::heartbeat::MinionNews;

/// Maximum number of leaving minions remembered; twice the workers of the design
/// size.
pub const MAX_LEAVING: usize = 2048;

/// Time by which each hop shortens a mark's remaining time, so that VMs can't keep
/// renewing a mark through each other's gossip.
const HOP_COST: Millis = Millis(100);

/// Time for which the last VM list keeps renewing its marks if no newer list arrives.
const LISTING_VALID: Millis = Millis(600_000);

/// Divisor of the mark's lifetime: a mark is sent to peers again if it is extended
/// by at least the quotient.
const RESEND_DIVISOR: u64 = 3;

/// Number of messages that carry an extended mark to VMs that have it already.
const MAX_RESENDS: u32 = 3;

/// Time until which a minion counts as leaving.
#[derive(Debug, Clone, Copy)]
struct Expiry(Timestamp);

impl AnnouncedValue for Expiry {
    fn announced_hash(&self) -> u64 {
        0
    }
}

/// Set of leaving minions.
#[derive(Debug, Clone)]
pub(crate) struct Leaving {
    /// Expiry of each mark by minion.
    marks: GossipSet<MinionId, Expiry>,
    /// Minions that the last VM list showed as leaving, and the time when it
    /// arrived.
    listed: (BTreeSet<MinionId>, Timestamp),
    /// Lifetime of a mark that is not renewed.
    hold: Millis,
}

impl Leaving {
    /// Creates an empty set, whose marks expire after `hold`.
    pub(crate) fn new(hold: Millis) -> Leaving {
        Leaving {
            marks: GossipSet::new(),
            listed: (BTreeSet::new(), Timestamp(0)),
            hold,
        }
    }

    /// Returns the hash of the set.
    pub(crate) fn digest(&self) -> u64 {
        self.marks.digest()
    }

    /// Returns the number of leaving minions.
    pub(crate) fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns the minions in order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MinionId> {
        self.marks.iter().map(|(minion, _)| minion)
    }

    /// Marks the minions that a VM list shows as leaving. Returns whether any was
    /// not marked before.
    pub(crate) fn apply_listing(&mut self, now: Timestamp, minions: Vec<MinionId>) -> bool {
        let minions = minions.into_iter().take(MAX_LEAVING);
        self.listed = (minions.collect(), now);
        self.extend_listed(now)
    }

    /// Marks a minion as leaving for `left`, at most the lifetime of a mark.
    /// Returns whether it was not marked before.
    pub(crate) fn mark(&mut self, now: Timestamp, minion: MinionId, left: Millis) -> bool {
        let until = now.after(left.min(self.hold));
        if until <= now {
            return false;
        }
        let old = self.marks.get(&minion).map(|u| u.0);
        let new = old.map_or(until, |o| o.max(until));
        if old.is_some_and(|o| new.since(o).0 >= self.hold.0 / RESEND_DIVISOR) {
            self.marks.resend(&minion);
        }
        let changed = self.marks.put(minion, Expiry(new));
        if self.marks.len() > MAX_LEAVING {
            self.evict_soonest();
        }
        changed
    }

    /// Applies gossip from a peer. Returns whether the minion was not marked
    /// before.
    pub(crate) fn apply_news(&mut self, now: Timestamp, news: &MinionNews) -> bool {
        let left = Millis(news.left.0.saturating_sub(HOP_COST.0));
        self.mark(now, news.minion.clone(), left)
    }

    /// Removes expired marks. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        if now.since(self.listed.1) < LISTING_VALID {
            self.extend_listed(now);
        }
        let expired: Vec<MinionId> = self
            .marks
            .iter()
            .filter(|(_, until)| until.0 <= now)
            .map(|(minion, _)| minion.clone())
            .collect();
        for minion in &expired {
            self.marks.remove(minion);
        }
        !expired.is_empty()
    }

    /// Returns up to `max` marks for a heartbeat, those of the domain `near`
    /// first. A receiver with the same set gets only recently extended marks.
    pub(crate) fn batch(
        &mut self,
        now: Timestamp,
        max: usize,
        near: &Domain,
        same: bool,
    ) -> Vec<MinionNews> {
        let max_sends = if same { MAX_RESENDS } else { u32::MAX };
        let is_near = |minion: &MinionId| {
            let rest = minion.as_str().strip_prefix(near.as_str());
            rest.is_some_and(|r| r.starts_with('/'))
        };
        let marks = self.marks.batch(max, max_sends, is_near).into_iter();
        let news = marks.map(|(minion, until)| MinionNews {
            minion,
            left: until.0.since(now),
        });
        news.collect()
    }

    fn extend_listed(&mut self, now: Timestamp) -> bool {
        let (listed, at) = std::mem::take(&mut self.listed);
        let mut changed = false;
        let half = now.after(Millis(self.hold.0 / 2));
        for minion in &listed {
            if self.marks.get(minion).is_none_or(|until| until.0 < half) {
                changed |= self.mark(now, minion.clone(), self.hold);
            }
        }
        self.listed = (listed, at);
        changed
    }

    fn evict_soonest(&mut self) {
        let soonest = self.marks.iter().min_by_key(|(_, until)| until.0);
        if let Some(key) = soonest.map(|(k, _)| k.clone()) {
            self.marks.remove(&key);
        }
    }
}
