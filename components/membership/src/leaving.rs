//! Minions that are leaving, each for a limited time unless it is said again.

use std::collections::BTreeSet;

use kernel::{Domain, Millis, MinionId, Timestamp};

use crate::beat::MinionNews;
use crate::spread::{Spread, Stamp};

/// The most leaving minions remembered; twice the workers of the design size.
pub const MAX_LEAVING: usize = 2048;

/// What a hop takes off a mark's remaining time, so that VMs can't keep a mark
/// alive among themselves.
const HOP_COST: Millis = Millis(100);

/// How long a listing speaks for itself when no newer one comes.
const LISTING_VALID: Millis = Millis(600_000);

/// The part of the usual time by which a mark must be extended to be told again,
/// as a divisor.
const RENEWED_BY: u64 = 3;

/// In how many messages an extended mark is told to VMs that have it.
const RENEWED_TELLS: u32 = 3;

/// Until when a minion counts as leaving.
#[derive(Debug, Clone, Copy)]
struct Until(Timestamp);

impl Stamp for Until {
    fn stamp(&self) -> u64 {
        0
    }
}

/// The leaving minions.
#[derive(Debug, Clone)]
pub(crate) struct Leaving {
    /// By minion.
    marks: Spread<MinionId, Until>,
    /// Those that the last listing showed as leaving, and when it came.
    listed: (BTreeSet<MinionId>, Timestamp),
    /// How long a mark holds.
    hold: Millis,
}

impl Leaving {
    /// Makes an empty set, whose marks hold for `hold`.
    pub(crate) fn new(hold: Millis) -> Leaving {
        Leaving {
            marks: Spread::new(),
            listed: (BTreeSet::new(), Timestamp(0)),
            hold,
        }
    }

    /// Returns the hash of the set.
    pub(crate) fn digest(&self) -> u64 {
        self.marks.digest()
    }

    /// Returns how many there are.
    pub(crate) fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns the minions in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MinionId> {
        self.marks.iter().map(|(minion, _)| minion)
    }

    /// Takes what a listing shows. It answers whether anything is new.
    pub(crate) fn list(&mut self, now: Timestamp, minions: Vec<MinionId>) -> bool {
        let some = minions.into_iter().take(MAX_LEAVING);
        self.listed = (some.collect(), now);
        self.extend_listed(now)
    }

    /// Marks a minion as leaving for `left`, at most the usual time.
    pub(crate) fn mark(&mut self, now: Timestamp, minion: MinionId, left: Millis) -> bool {
        let until = now.after(left.min(self.hold));
        if until <= now {
            return false;
        }
        let old = self.marks.get(&minion).map(|u| u.0);
        let new = old.map_or(until, |o| o.max(until));
        if old.is_some_and(|o| new.since(o).0 >= self.hold.0 / RENEWED_BY) {
            self.marks.renew(&minion);
        }
        let changed = self.marks.put(minion, Until(new));
        if self.marks.len() > MAX_LEAVING {
            self.drop_soonest();
        }
        changed
    }

    /// Takes what a peer tells.
    pub(crate) fn hear(&mut self, now: Timestamp, news: &MinionNews) -> bool {
        let left = Millis(news.left.0.saturating_sub(HOP_COST.0));
        self.mark(now, news.minion.clone(), left)
    }

    /// Drops marks whose time is over. It answers whether there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        if now.since(self.listed.1) < LISTING_VALID {
            self.extend_listed(now);
        }
        let over: Vec<MinionId> = self
            .marks
            .iter()
            .filter(|(_, until)| until.0 <= now)
            .map(|(minion, _)| minion.clone())
            .collect();
        for minion in &over {
            self.marks.remove(minion);
        }
        !over.is_empty()
    }

    /// Returns some to tell, those of a domain first. A receiver that has the
    /// same set gets only those whose time was lately extended.
    pub(crate) fn batch(
        &mut self,
        now: Timestamp,
        max: usize,
        near: &Domain,
        same: bool,
    ) -> Vec<MinionNews> {
        let below = if same { RENEWED_TELLS } else { u32::MAX };
        let is_near = |minion: &MinionId| {
            let rest = minion.as_str().strip_prefix(near.as_str());
            rest.is_some_and(|r| r.starts_with('/'))
        };
        let some = self.marks.batch(max, below, is_near).into_iter();
        let news = some.map(|(minion, until)| MinionNews {
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

    fn drop_soonest(&mut self) {
        let soonest = self.marks.iter().min_by_key(|(_, until)| until.0);
        if let Some(key) = soonest.map(|(k, _)| k.clone()) {
            self.marks.remove(&key);
        }
    }
}
