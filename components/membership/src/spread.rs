//! A bounded set that VMs tell one another part by part, least told first.

use std::collections::BTreeMap;
use std::fmt::Display;

use kernel::key_hash;

/// What is known of one member of the set.
pub(crate) trait Stamp {
    /// Returns a number that differs where peers should hear of a change.
    fn stamp(&self) -> u64;
}

/// One member.
#[derive(Debug, Clone)]
struct Entry<V> {
    /// What is known of it.
    value: V,
    /// In how many messages it was told.
    told: u32,
    /// Its part of the set's hash.
    hash: u64,
}

/// The set.
#[derive(Debug, Clone)]
pub(crate) struct Spread<K, V> {
    /// The members.
    entries: BTreeMap<K, Entry<V>>,
    /// The hash of them all.
    digest: u64,
}

impl<K: Ord + Clone + Display, V: Stamp> Spread<K, V> {
    /// Makes an empty set.
    pub(crate) fn new() -> Spread<K, V> {
        Spread {
            entries: BTreeMap::new(),
            digest: 0,
        }
    }

    /// Returns the hash of the set, which is the same wherever the set is.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns how many members there are.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns what is known of a member.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// Returns the members in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, e)| (k, &e.value))
    }

    /// Puts in what is known of a member. It answers whether peers should hear
    /// of it.
    pub(crate) fn put(&mut self, key: K, value: V) -> bool {
        let hash = entry_hash(&key, &value);
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.value = value;
                if entry.hash == hash {
                    return false;
                }
                self.digest ^= entry.hash ^ hash;
                entry.hash = hash;
                entry.told = 0;
            }
            None => {
                let told = 0;
                self.entries.insert(key, Entry { value, told, hash });
                self.digest ^= hash;
            }
        }
        true
    }

    /// Takes a member out.
    pub(crate) fn remove(&mut self, key: &K) {
        if let Some(entry) = self.entries.remove(key) {
            self.digest ^= entry.hash;
        }
    }

    /// Has a member told again as if it were new.
    pub(crate) fn renew(&mut self, key: &K) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.told = 0;
        }
    }

    /// Returns up to `max` members that were told less than `below` times, those
    /// that `first` picks before the others and the least told of them first,
    /// and counts them as told.
    pub(crate) fn batch(
        &mut self,
        max: usize,
        below: u32,
        first: impl Fn(&K) -> bool,
    ) -> Vec<(K, &V)> {
        let mut order: Vec<(bool, u32, K)> = self
            .entries
            .iter()
            .filter(|(_, e)| e.told < below)
            .map(|(k, e)| (!first(k), e.told, k.clone()))
            .collect();
        if order.len() > max {
            order.select_nth_unstable(max);
            order.truncate(max);
        }
        for (_, _, key) in &order {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.told = entry.told.saturating_add(1);
            }
        }
        let found = |key: K| Some((key.clone(), &self.entries.get(&key)?.value));
        order.into_iter().filter_map(|o| found(o.2)).collect()
    }
}

fn entry_hash<K: Display, V: Stamp>(key: &K, value: &V) -> u64 {
    key_hash(key.to_string().as_bytes()) as u64 ^ value.stamp()
}
