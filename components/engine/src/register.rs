//! The register of minions, built from the records of the store.

use compact_str::CompactString;
use kernel::{HashMap, Millis, Timestamp};
use schedule::MinionInfo;

/// Time after an error of the store during which no minion is removed: records
/// that lapsed while the store was unavailable return within about two seconds.
const SETTLE_TIME: Millis = Millis(2_500);

/// Minions by the key of their record.
#[derive(Debug, Default)]
pub struct Register {
    minions: HashMap<CompactString, MinionInfo>,
    /// Keys of missing records, with the time since which they have been
    /// missing.
    missing: HashMap<CompactString, Timestamp>,
    /// Time of the last error of the store.
    last_error: Option<Timestamp>,
}

impl Register {
    /// Stores a minion's record, or marks it as missing. Returns true if the
    /// list of minions has changed.
    pub fn put(&mut self, key: &str, info: Option<MinionInfo>, now: Timestamp) -> bool {
        let Some(info) = info else {
            self.missing.entry(key.into()).or_insert(now);
            return false;
        };
        self.missing.remove(key);
        let old = self.minions.insert(key.into(), info);
        old.as_ref() != self.minions.get(key)
    }

    /// Marks all records as missing whose keys are not in `keys`.
    pub fn mark_missing(&mut self, keys: &[CompactString], now: Timestamp) {
        for key in self.minions.keys().filter(|k| !keys.contains(k)) {
            self.missing.entry(key.clone()).or_insert(now);
        }
    }

    /// Records an error of the store.
    pub fn store_failed(&mut self, now: Timestamp) {
        self.last_error = Some(now);
    }

    /// Removes the minions whose records are missing, unless the last error of
    /// the store is too recent. Returns true if the list of minions has
    /// changed.
    pub fn remove_missing(&mut self, now: Timestamp) -> bool {
        if self
            .last_error
            .is_some_and(|at| now.since(at) < SETTLE_TIME)
        {
            return false;
        }
        let count = self.minions.len();
        for (key, _) in std::mem::take(&mut self.missing) {
            self.minions.remove(&key);
        }
        count != self.minions.len()
    }

    /// Returns the minions, sorted by id.
    pub fn list(&self) -> Vec<MinionInfo> {
        let mut all: Vec<_> = self.minions.values().cloned().collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }
}
