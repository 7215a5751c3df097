//! A keyed set that VMs exchange in parts by gossip, the least often sent members
//! first.

use std::collections::BTreeMap;
use std::fmt::Display;

use kernel::key_hash;

/// A value whose changes are announced to peers.
pub(crate) trait AnnouncedValue {
    /// Returns a hash that changes if and only if peers should be notified.
    fn announced_hash(&self) -> u64;
}

/// A member of the set.
#[derive(Debug, Clone)]
struct Member<V> {
    /// Value stored for the member.
    value: V,
    /// Number of messages that carried the member.
    send_count: u32,
    /// Hash of the member, part of the set's digest.
    hash: u64,
}

/// Keyed set with a digest by which two VMs compare their copies.
#[derive(Debug, Clone)]
pub(crate) struct GossipSet<K, V> {
    /// Members by key.
    members: BTreeMap<K, Member<V>>,
    /// XOR of the members' hashes.
    digest: u64,
}

impl<K: Ord + Clone + Display, V: AnnouncedValue> GossipSet<K, V> {
    /// Creates an empty set.
    pub(crate) fn new() -> GossipSet<K, V> {
        GossipSet {
            members: BTreeMap::new(),
            digest: 0,
        }
    }

    /// Returns the hash of the set, which is the same on every VM with the same
    /// members.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of members.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the value of a member.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.members.get(key).map(|m| &m.value)
    }

    /// Returns the members in order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.members.iter().map(|(k, m)| (k, &m.value))
    }

    /// Inserts or updates a member. Returns whether peers should be notified.
    pub(crate) fn put(&mut self, key: K, value: V) -> bool {
        let hash = member_hash(&key, &value);
        match self.members.get_mut(&key) {
            Some(member) => {
                member.value = value;
                if member.hash == hash {
                    return false;
                }
                self.digest ^= member.hash ^ hash;
                member.hash = hash;
                member.send_count = 0;
            }
            None => {
                let send_count = 0;
                self.members.insert(
                    key,
                    Member {
                        value,
                        send_count,
                        hash,
                    },
                );
                self.digest ^= hash;
            }
        }
        true
    }

    /// Removes a member.
    pub(crate) fn remove(&mut self, key: &K) {
        if let Some(member) = self.members.remove(key) {
            self.digest ^= member.hash;
        }
    }

    /// Makes a member be sent again as if it were new.
    pub(crate) fn resend(&mut self, key: &K) {
        if let Some(member) = self.members.get_mut(key) {
            member.send_count = 0;
        }
    }

    /// Returns up to `max` members that were sent less than `max_sends` times,
    /// and counts them as sent. Members for which `preferred` returns true come
    /// first; in each of the two groups, the least often sent come first.
    pub(crate) fn batch(
        &mut self,
        max: usize,
        max_sends: u32,
        preferred: impl Fn(&K) -> bool,
    ) -> Vec<(K, &V)> {
        let mut order: Vec<(bool, u32, K)> = self
            .members
            .iter()
            .filter(|(_, m)| m.send_count < max_sends)
            .map(|(k, m)| (!preferred(k), m.send_count, k.clone()))
            .collect();
        if order.len() > max {
            order.select_nth_unstable(max);
            order.truncate(max);
        }
        for (_, _, key) in &order {
            if let Some(member) = self.members.get_mut(key) {
                member.send_count = member.send_count.saturating_add(1);
            }
        }
        let member = |key: K| Some((key.clone(), &self.members.get(&key)?.value));
        order.into_iter().filter_map(|o| member(o.2)).collect()
    }
}

fn member_hash<K: Display, V: AnnouncedValue>(key: &K, value: &V) -> u64 {
    key_hash(key.to_string().as_bytes()) as u64 ^ value.announced_hash()
}
