//! A counter of slots with a limit, in one atomic word.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Number of low bits that count the slots held; the limit is stored in the
/// bits above.
const HELD_BITS: u32 = 32;

/// The number of slots that a team holds on this VM, and its limit.
#[derive(Debug, Default)]
pub(crate) struct Counter {
    /// The limit and the count. Both are in one word, so that a slot can't be
    /// lent to a peer while it is taken here.
    word: AtomicU64,
    /// The number of slots requested since the last digest and not available.
    wanted: AtomicU32,
    /// The number of times that a slot was released that was not held.
    violations: AtomicU32,
}

/// Splits a word into the limit and the count.
fn unpack(word: u64) -> (u32, u32) {
    ((word >> HELD_BITS) as u32, word as u32)
}

/// Joins a limit and a count into a word.
fn pack(limit: u32, held: u32) -> u64 {
    u64::from(limit) << HELD_BITS | u64::from(held)
}

impl Counter {
    /// Takes a slot and returns true if the limit allows it.
    pub(crate) fn try_take(&self) -> bool {
        self.update(|limit, held| (held < limit).then(|| (limit, held + 1)))
    }

    /// Adds one to the slots requested.
    pub(crate) fn add_wanted(&self) {
        self.wanted.fetch_add(1, Ordering::Relaxed);
    }

    /// Raises the number of slots requested to `slots`, if it is lower.
    pub(crate) fn raise_wanted(&self, slots: u32) {
        self.wanted.fetch_max(slots, Ordering::Relaxed);
    }

    /// Releases a slot.
    pub(crate) fn release(&self) {
        if !self.update(|limit, held| Some((limit, held.checked_sub(1)?))) {
            self.violations.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sets the limit. Slots held beyond it stay held until they are released.
    pub(crate) fn set_limit(&self, limit: u32) {
        self.update(|_, held| Some((limit, held)));
    }

    /// Lowers the limit by up to `max` free slots and returns by how many.
    pub(crate) fn shrink(&self, max: u32) -> u32 {
        let mut taken = 0;
        self.update(|limit, held| {
            taken = max.min(limit.saturating_sub(held));
            Some((limit - taken, held))
        });
        taken
    }

    /// Returns the limit and the number of slots held.
    pub(crate) fn read(&self) -> (u32, u32) {
        unpack(self.word.load(Ordering::SeqCst))
    }

    /// Returns the number of slots requested since the last call and resets it.
    pub(crate) fn take_wanted(&self) -> u32 {
        self.wanted.swap(0, Ordering::Relaxed)
    }

    /// Returns how often a slot was released that was not held.
    pub(crate) fn violations(&self) -> u32 {
        self.violations.load(Ordering::Relaxed)
    }

    /// Updates limit and count atomically and returns true. If `next` returns
    /// `None`, it changes nothing and returns false.
    fn update(&self, mut next: impl FnMut(u32, u32) -> Option<(u32, u32)>) -> bool {
        let next_word = |word| {
            let (limit, held) = unpack(word);
            next(limit, held).map(|(limit, held)| pack(limit, held))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, next_word)
            .is_ok()
    }
}
