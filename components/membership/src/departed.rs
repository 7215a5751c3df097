//! The bounded set of incarnations that are gone for good.

use kernel::{Incarnation, Millis, Timestamp, key_hash};

use crate::gossip_set::{AnnouncedValue, GossipSet};
use crate::heartbeat::DepartedNews;

/// Maximum number of incarnations remembered. At 135 restarts a day, they expire
/// before the bound is reached.
pub const MAX_DEPARTED: usize = 1024;

/// Maximum number of successive handovers that are followed.
const MAX_SUCCESSOR_HOPS: usize = 16;

/// Time by which each hop shortens the expiry, so that VMs can't keep renewing an
/// entry through each other's gossip.
const HOP_COST: Millis = Millis(100);

/// Departure of one incarnation.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Incarnation that took over what it owned.
    successor: Option<Incarnation>,
    /// Time at which the entry is forgotten.
    until: Timestamp,
}

impl AnnouncedValue for Departure {
    fn announced_hash(&self) -> u64 {
        match self.successor {
            Some(s) => (key_hash(s.to_string().as_bytes()) as u64).rotate_left(17),
            None => 0,
        }
    }
}

/// Set of incarnations known to be gone for good.
#[derive(Debug, Clone)]
pub(crate) struct Departed {
    /// Departures by incarnation.
    departures: GossipSet<Incarnation, Departure>,
}

impl Departed {
    /// Creates an empty set.
    pub(crate) fn new() -> Departed {
        Departed {
            departures: GossipSet::new(),
        }
    }

    /// Returns the hash of the set.
    pub(crate) fn digest(&self) -> u64 {
        self.departures.digest()
    }

    /// Returns the number of incarnations.
    pub(crate) fn len(&self) -> usize {
        self.departures.len()
    }

    /// Returns whether an incarnation is gone.
    pub(crate) fn contains(&self, incarnation: Incarnation) -> bool {
        self.departures.get(&incarnation).is_some()
    }

    /// Returns the departure of an incarnation, in the form sent to peers.
    pub(crate) fn get(&self, now: Timestamp, incarnation: Incarnation) -> Option<DepartedNews> {
        let departure = self.departures.get(&incarnation)?;
        Some(DepartedNews {
            incarnation,
            successor: departure.successor,
            left: departure.until.since(now),
        })
    }

    /// Records that an incarnation is gone, and returns whether this is news for
    /// peers. A known successor is never dropped; of two different ones, the
    /// greater stays, so that all VMs converge.
    pub(crate) fn add(&mut self, now: Timestamp, news: DepartedNews) -> bool {
        let old = self.departures.get(&news.incarnation).copied();
        let until = now.after(Millis(news.left.0.saturating_sub(HOP_COST.0)));
        if until <= now {
            return false;
        }
        let departure = Departure {
            successor: news.successor.max(old.and_then(|d| d.successor)),
            until: old.map_or(until, |d| d.until.min(until)),
        };
        let changed = self.departures.put(news.incarnation, departure);
        if self.departures.len() > MAX_DEPARTED {
            self.evict_oldest();
        }
        changed
    }

    /// Removes expired entries.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let expired = self.departures.iter().filter(|(_, d)| d.until <= now);
        let expired: Vec<Incarnation> = expired.map(|(incarnation, _)| *incarnation).collect();
        for incarnation in &expired {
            self.departures.remove(incarnation);
        }
    }

    /// Returns up to `max` entries for a heartbeat, the least often sent first.
    pub(crate) fn batch(&mut self, now: Timestamp, max: usize) -> Vec<DepartedNews> {
        let batch = self.departures.batch(max, u32::MAX, |_| true).into_iter();
        let news = batch.map(|(incarnation, departure)| DepartedNews {
            incarnation,
            successor: departure.successor,
            left: departure.until.since(now),
        });
        news.collect()
    }

    /// Returns all incarnations, each with the successor at the end of its chain
    /// of handovers.
    pub(crate) fn resolved(&self) -> impl Iterator<Item = (Incarnation, Option<Incarnation>)> {
        self.departures.iter().map(|(incarnation, departure)| {
            (*incarnation, self.final_successor(departure.successor))
        })
    }

    fn final_successor(&self, successor: Option<Incarnation>) -> Option<Incarnation> {
        let mut last = successor?;
        for _ in 0..MAX_SUCCESSOR_HOPS {
            match self.departures.get(&last) {
                Some(departure) => last = departure.successor?,
                None => return Some(last),
            }
        }
        None
    }

    fn evict_oldest(&mut self) {
        let oldest = self.departures.iter().min_by_key(|(_, d)| d.until);
        if let Some(key) = oldest.map(|(k, _)| *k) {
            self.departures.remove(&key);
        }
    }
}
