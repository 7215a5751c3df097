//! Hash maps with a fast hasher, and the hash function that all VMs share.

use std::hash::BuildHasher;
use std::sync::atomic::{AtomicBool, Ordering};

use foldhash::quality::{FoldHasher, SeedableRandomState};
use xxhash_rust::xxh3::xxh3_128;

/// A hash map whose hasher is fast and seeded at random, because callers choose
/// the keys and must not be able to cause collisions.
pub type HashMap<K, V> = std::collections::HashMap<K, V, HashState>;

/// A hash set with the hasher of [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, HashState>;

/// True while new maps get the same seed.
static FIXED: AtomicBool = AtomicBool::new(false);

/// Gives all maps that this process creates from now on the same seed, so that they
/// iterate in the same order in each run of a simulation. A process that serves
/// callers must not call it.
pub fn fix_hash_seed() {
    FIXED.store(true, Ordering::Relaxed);
}

/// The seed of one map's hasher.
#[derive(Debug, Clone)]
pub struct HashState(SeedableRandomState);

impl Default for HashState {
    fn default() -> HashState {
        HashState(match FIXED.load(Ordering::Relaxed) {
            true => SeedableRandomState::fixed(),
            false => SeedableRandomState::random(),
        })
    }
}

impl BuildHasher for HashState {
    type Hasher = FoldHasher<'static>;

    fn build_hasher(&self) -> FoldHasher<'static> {
        self.0.build_hasher()
    }
}

/// Hashes a key to 128 bits, equal on every VM and in every version, so that
/// claims in the log can name a key in 16 bytes (docs/DESIGN.md#claims).
pub fn key_hash(key: &[u8]) -> u128 {
    xxh3_128(key)
}
