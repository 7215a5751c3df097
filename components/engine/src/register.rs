//! The register of minions, kept from its records.

use compact_str::CompactString;
use kernel::{HashMap, Millis, Timestamp};
use schedule::MinionInfo;

/// How long after trouble with the store a missing record says nothing: records
/// that lapsed while it was away come back within about two seconds.
const SETTLE: Millis = Millis(2_500);

/// The minions as the store names them.
#[derive(Debug, Default)]
pub struct Register {
    minions: HashMap<CompactString, MinionInfo>,
    /// Missing records, and since when.
    missing: HashMap<CompactString, Timestamp>,
    /// When the store last gave trouble.
    trouble: Option<Timestamp>,
}

impl Register {
    /// Takes note of a minion's record, or that it is gone. Returns true if the
    /// list has changed.
    pub fn put(&mut self, key: &str, info: Option<MinionInfo>, now: Timestamp) -> bool {
        let Some(info) = info else {
            self.missing.entry(key.into()).or_insert(now);
            return false;
        };
        self.missing.remove(key);
        let old = self.minions.insert(key.into(), info);
        old.as_ref() != self.minions.get(key)
    }

    /// Takes note of all keys that there are; the others are missing.
    pub fn retain(&mut self, keys: &[CompactString], now: Timestamp) {
        for key in self.minions.keys().filter(|k| !keys.contains(k)) {
            self.missing.entry(key.clone()).or_insert(now);
        }
    }

    /// Takes note that the store did not answer.
    pub fn distrust(&mut self, now: Timestamp) {
        self.trouble = Some(now);
    }

    /// Drops minions whose records are missing for good. Returns true if the
    /// list has changed.
    pub fn settle(&mut self, now: Timestamp) -> bool {
        if self.trouble.is_some_and(|at| now.since(at) < SETTLE) {
            return false;
        }
        let count = self.minions.len();
        for (key, _) in std::mem::take(&mut self.missing) {
            self.minions.remove(&key);
        }
        count != self.minions.len()
    }

    /// Returns the minions.
    pub fn list(&self) -> Vec<MinionInfo> {
        let mut all: Vec<_> = self.minions.values().cloned().collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }
}
