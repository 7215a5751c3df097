//! The register of minions, built from the records of the store.

use compact_str::CompactString;
use kernel::{HashMap, Millis, Offset, Timestamp};
use schedule::MinionInfo;

/// Progress of reading the register in the store.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegisterRead {
    /// Offset after the last record that was read, here or by another VM from
    /// which this one took its register.
    pub end: Offset,
    /// Time of the last read of the store, or try to read from another VM.
    pub tried: Timestamp,
    /// Time at which the register was last up to date, as far as this VM can tell.
    pub current: Timestamp,
}

/// Adds the entries of `other` that are later than those in `minions`, which are
/// sorted by id, and those of further minions. Returns true if that changes more
/// than an entry's number.
pub(crate) fn merge(minions: &mut Vec<MinionInfo>, other: &[MinionInfo]) -> bool {
    let mut changed = false;
    for info in other {
        match minions.binary_search_by(|known| known.id.cmp(&info.id)) {
            Ok(at) if info.is_later(&minions[at]) => {
                changed |= !minions[at].is_same(info);
                minions[at] = info.clone();
            }
            Ok(_) => {}
            Err(at) => {
                changed = true;
                minions.insert(at, info.clone());
            }
        }
    }
    changed
}

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
        let known = self.minions.get(key);
        let changed = known.is_none_or(|known| !known.is_same(&info));
        self.minions.insert(key.into(), info);
        changed
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
