//! A count under a limit, in one word.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The bits that count what is held; the limit stands above them.
const HELD: u32 = 32;

/// The slots that a team holds on this VM, and how many it may.
#[derive(Debug, Default)]
pub(crate) struct Cell {
    /// The limit and the count. One word holds both, so that a slot can't be
    /// lent to a peer and taken here at once.
    word: AtomicU64,
    /// Slots asked for since the last digest and not got.
    wanted: AtomicU32,
    /// Slots given back that nobody held.
    broken: AtomicU32,
}

fn split(word: u64) -> (u32, u32) {
    ((word >> HELD) as u32, word as u32)
}

fn join(limit: u32, held: u32) -> u64 {
    u64::from(limit) << HELD | u64::from(held)
}

impl Cell {
    /// Takes a slot if the limit allows.
    pub(crate) fn take(&self) -> bool {
        self.change(|limit, held| (held < limit).then(|| (limit, held + 1)))
    }

    /// Notes that one more slot is asked for.
    pub(crate) fn want_more(&self) {
        self.wanted.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that so many slots are asked for, unless more are already.
    pub(crate) fn want(&self, slots: u32) {
        self.wanted.fetch_max(slots, Ordering::Relaxed);
    }

    /// Gives a slot back.
    pub(crate) fn release(&self) {
        if !self.change(|limit, held| Some((limit, held.checked_sub(1)?))) {
            self.broken.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sets the limit; what is held beyond it is kept until given back.
    pub(crate) fn set_limit(&self, limit: u32) {
        self.change(|_, held| Some((limit, held)));
    }

    /// Lowers the limit by up to `most` slots that are free, and returns by
    /// how many.
    pub(crate) fn shrink(&self, most: u32) -> u32 {
        let mut got = 0;
        self.change(|limit, held| {
            got = most.min(limit.saturating_sub(held));
            Some((limit - got, held))
        });
        got
    }

    /// Returns the limit and what is held.
    pub(crate) fn read(&self) -> (u32, u32) {
        split(self.word.load(Ordering::SeqCst))
    }

    /// Returns the slots asked for since the last call.
    pub(crate) fn take_wanted(&self) -> u32 {
        self.wanted.swap(0, Ordering::Relaxed)
    }

    /// Returns how often a slot was given back that nobody held.
    pub(crate) fn broken(&self) -> u32 {
        self.broken.load(Ordering::Relaxed)
    }

    /// Changes limit and count together; `None` leaves them and answers false.
    fn change(&self, mut next: impl FnMut(u32, u32) -> Option<(u32, u32)>) -> bool {
        let update = |word| {
            let (limit, held) = split(word);
            next(limit, held).map(|(limit, held)| join(limit, held))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, update)
            .is_ok()
    }
}
