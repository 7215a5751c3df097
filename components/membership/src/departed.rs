//! Incarnations that are gone for good, bounded.

use kernel::{Incarnation, Millis, Timestamp, key_hash};

use crate::beat::DepartedNews;
use crate::spread::{Spread, Stamp};

/// The most incarnations remembered. At 135 restarts a day, they are forgotten before
/// the bound is reached.
pub const MAX_DEPARTED: usize = 1024;

/// The most hand-overs in a row that are followed.
const MAX_CHAIN: usize = 16;

/// What a hop takes off the time to remember, so that VMs can't keep an
/// incarnation in memory among themselves.
const HOP_COST: Millis = Millis(100);

/// What is known of one.
#[derive(Debug, Clone, Copy)]
struct Exit {
    /// Who took over what it owned.
    successor: Option<Incarnation>,
    /// Until when it is remembered.
    until: Timestamp,
}

impl Stamp for Exit {
    fn stamp(&self) -> u64 {
        match self.successor {
            Some(s) => (key_hash(s.to_string().as_bytes()) as u64).rotate_left(17),
            None => 0,
        }
    }
}

/// The incarnations known to be gone.
#[derive(Debug, Clone)]
pub(crate) struct Departed {
    /// By incarnation.
    exits: Spread<Incarnation, Exit>,
}

impl Departed {
    /// Makes an empty memory.
    pub(crate) fn new() -> Departed {
        Departed {
            exits: Spread::new(),
        }
    }

    /// Returns the hash of the memory.
    pub(crate) fn digest(&self) -> u64 {
        self.exits.digest()
    }

    /// Returns how many are remembered.
    pub(crate) fn len(&self) -> usize {
        self.exits.len()
    }

    /// Tells whether an incarnation is gone.
    pub(crate) fn contains(&self, incarnation: Incarnation) -> bool {
        self.exits.get(&incarnation).is_some()
    }

    /// Returns what is known of an incarnation that is gone.
    pub(crate) fn get(&self, now: Timestamp, incarnation: Incarnation) -> Option<DepartedNews> {
        let exit = self.exits.get(&incarnation)?;
        Some(DepartedNews {
            incarnation,
            successor: exit.successor,
            left: exit.until.since(now),
        })
    }

    /// Notes an incarnation as gone. A known successor is never lost again; of
    /// two, the greater stays, so that all VMs come to the same.
    pub(crate) fn add(&mut self, now: Timestamp, news: DepartedNews) -> bool {
        let old = self.exits.get(&news.incarnation).copied();
        let until = now.after(Millis(news.left.0.saturating_sub(HOP_COST.0)));
        if until <= now {
            return false;
        }
        let exit = Exit {
            successor: news.successor.max(old.and_then(|e| e.successor)),
            until: old.map_or(until, |e| e.until.min(until)),
        };
        let changed = self.exits.put(news.incarnation, exit);
        if self.exits.len() > MAX_DEPARTED {
            self.drop_oldest();
        }
        changed
    }

    /// Forgets those whose time is over.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let over = self.exits.iter().filter(|(_, e)| e.until <= now);
        let over: Vec<Incarnation> = over.map(|(incarnation, _)| *incarnation).collect();
        for incarnation in &over {
            self.exits.remove(incarnation);
        }
    }

    /// Returns some to tell, the least told first.
    pub(crate) fn batch(&mut self, now: Timestamp, max: usize) -> Vec<DepartedNews> {
        let some = self.exits.batch(max, u32::MAX, |_| true).into_iter();
        let news = some.map(|(incarnation, exit)| DepartedNews {
            incarnation,
            successor: exit.successor,
            left: exit.until.since(now),
        });
        news.collect()
    }

    /// Returns all, each with the last of the VMs that took over in turn.
    pub(crate) fn resolved(&self) -> impl Iterator<Item = (Incarnation, Option<Incarnation>)> {
        self.exits
            .iter()
            .map(|(incarnation, exit)| (*incarnation, self.last_of(exit.successor)))
    }

    fn last_of(&self, successor: Option<Incarnation>) -> Option<Incarnation> {
        let mut last = successor?;
        for _ in 0..MAX_CHAIN {
            match self.exits.get(&last) {
                Some(exit) => last = exit.successor?,
                None => return Some(last),
            }
        }
        None
    }

    fn drop_oldest(&mut self) {
        let oldest = self.exits.iter().min_by_key(|(_, e)| e.until);
        if let Some(key) = oldest.map(|(k, _)| *k) {
            self.exits.remove(&key);
        }
    }
}
