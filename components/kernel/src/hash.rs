//! Hash maps with a fast hasher, and the hash function that all VMs share.

use xxhash_rust::xxh3::xxh3_128;

/// A hash map whose hasher is fast and seeded at random, because callers choose
/// the keys and must not be able to cause collisions.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::quality::RandomState>;

/// A hash set with the hasher of [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, foldhash::quality::RandomState>;

/// Hashes a key to 128 bits, equal on every VM and in every version, so that
/// claims in the log can name a key in 16 bytes (docs/DESIGN.md#claims).
pub fn key_hash(key: &[u8]) -> u128 {
    xxh3_128(key)
}
