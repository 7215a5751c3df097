//! A bitmap that many threads set and clear.

use std::sync::atomic::{AtomicU64, Ordering};

/// The bits in one word.
const WORD: usize = 64;

/// A fixed set of positions, used as a hint: whoever reads a set bit checks
/// again what it stands for.
#[derive(Debug)]
pub(crate) struct AtomicBits {
    /// The words, lowest positions first.
    words: Vec<AtomicU64>,
}

impl AtomicBits {
    /// Makes a set with every position below `len` in it.
    pub(crate) fn full(len: usize) -> AtomicBits {
        let mut words: Vec<_> = (0..len.div_ceil(WORD)).map(|_| u64::MAX).collect();
        if let Some(last) = words.last_mut()
            && !len.is_multiple_of(WORD)
        {
            *last = (1 << (len % WORD)) - 1;
        }
        let words = words.into_iter().map(AtomicU64::new).collect();
        AtomicBits { words }
    }

    /// Adds a position.
    pub(crate) fn set(&self, at: usize) {
        let word = &self.words[at / WORD];
        let bit = 1 << (at % WORD);
        if word.load(Ordering::SeqCst) & bit == 0 {
            word.fetch_or(bit, Ordering::SeqCst);
        }
    }

    /// Removes a position.
    pub(crate) fn clear(&self, at: usize) {
        self.words[at / WORD].fetch_and(!(1 << (at % WORD)), Ordering::SeqCst);
    }
}

/// A fixed set of positions.
#[derive(Debug, Clone)]
pub(crate) struct Mask {
    /// The words, lowest positions first.
    words: Vec<u64>,
}

impl Mask {
    /// Makes an empty set of positions below `len`.
    pub(crate) fn empty(len: usize) -> Mask {
        Mask {
            words: vec![0; len.div_ceil(WORD)],
        }
    }

    /// Adds a position.
    pub(crate) fn add(&mut self, at: usize) {
        self.words[at / WORD] |= 1 << (at % WORD);
    }

    /// Counts the positions that are also in `bits`.
    pub(crate) fn count(&self, bits: &AtomicBits) -> u32 {
        let both = self.words.iter().zip(&bits.words);
        both.map(|(m, w)| (m & w.load(Ordering::Relaxed)).count_ones())
            .sum()
    }

    /// Returns the `nth` position that is also in `bits`, counted from 0.
    pub(crate) fn nth(&self, bits: &AtomicBits, mut nth: u32) -> Option<usize> {
        for (i, (mask, word)) in self.words.iter().zip(&bits.words).enumerate() {
            let both = mask & word.load(Ordering::Relaxed);
            let ones = both.count_ones();
            if nth < ones {
                return Some(i * WORD + nth_one(both, nth));
            }
            nth -= ones;
        }
        None
    }

    /// Walks the positions that are also in `bits`, from a word picked by
    /// `from` on. Each word is read once, so that changes meanwhile skip none.
    pub(crate) fn walk<'a>(
        &'a self,
        bits: &'a AtomicBits,
        from: u32,
    ) -> impl Iterator<Item = usize> + 'a {
        let len = self.words.len();
        let first = from as usize % len.max(1);
        let turn = from % WORD as u32;
        let order = (first..len).chain(0..first);
        order.flat_map(move |i| {
            let both = self.words[i] & bits.words[i].load(Ordering::SeqCst);
            ones(both.rotate_right(turn)).map(move |b| i * WORD + (b + turn as usize) % WORD)
        })
    }

    /// Tells whether the set has no position.
    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|&w| w == 0)
    }

    /// Walks all positions of the set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let words = self.words.iter().enumerate();
        words.flat_map(|(i, &word)| ones(word).map(move |b| i * WORD + b))
    }
}

/// Walks the ones of a word.
fn ones(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let at = word.trailing_zeros() as usize;
        word &= word.wrapping_sub(1);
        (at < WORD).then_some(at)
    })
}

/// Returns the position of the `nth` one in a word that has that many.
fn nth_one(mut word: u64, nth: u32) -> usize {
    for _ in 0..nth {
        word &= word - 1;
    }
    word.trailing_zeros() as usize
}
