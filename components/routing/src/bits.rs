//! Bitmaps of positions, one of which threads can change concurrently.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of bits in a word.
const WORD: usize = 64;

/// A set of positions that threads can change concurrently. It is a hint:
/// readers of a set bit check again what it stands for.
#[derive(Debug)]
pub(crate) struct AtomicBits {
    /// The words, lowest positions first.
    words: Vec<AtomicU64>,
}

impl AtomicBits {
    /// Creates a set with every position below `len`.
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

/// A set of positions that is built once.
#[derive(Debug, Clone)]
pub(crate) struct Mask {
    /// The words, lowest positions first.
    words: Vec<u64>,
}

impl Mask {
    /// Creates an empty set of positions below `len`.
    pub(crate) fn empty(len: usize) -> Mask {
        Mask {
            words: vec![0; len.div_ceil(WORD)],
        }
    }

    /// Adds a position.
    pub(crate) fn add(&mut self, at: usize) {
        self.words[at / WORD] |= 1 << (at % WORD);
    }

    /// Returns the number of positions that are also in `bits`.
    pub(crate) fn count(&self, bits: &AtomicBits) -> u32 {
        let common = self.words.iter().zip(&bits.words);
        common
            .map(|(m, w)| (m & w.load(Ordering::Relaxed)).count_ones())
            .sum()
    }

    /// Returns the `nth` position that is also in `bits`, counted from 0.
    pub(crate) fn nth(&self, bits: &AtomicBits, mut nth: u32) -> Option<usize> {
        for (i, (mask, word)) in self.words.iter().zip(&bits.words).enumerate() {
            let common = mask & word.load(Ordering::Relaxed);
            let ones = common.count_ones();
            if nth < ones {
                return Some(i * WORD + nth_one(common, nth));
            }
            nth -= ones;
        }
        None
    }

    /// Iterates over the positions that are also in `bits`, starting at a word
    /// and bit chosen by `from`. Each word is read once, so that concurrent
    /// changes cause no position to be skipped.
    pub(crate) fn iter_from<'a>(
        &'a self,
        bits: &'a AtomicBits,
        from: u32,
    ) -> impl Iterator<Item = usize> + 'a {
        let len = self.words.len();
        let first = from as usize % len.max(1);
        let rotation = from % WORD as u32;
        let order = (first..len).chain(0..first);
        order.flat_map(move |i| {
            let common = self.words[i] & bits.words[i].load(Ordering::SeqCst);
            ones(common.rotate_right(rotation))
                .map(move |b| i * WORD + (b + rotation as usize) % WORD)
        })
    }

    /// Returns whether the set is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|&w| w == 0)
    }

    /// Iterates over all positions of the set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let words = self.words.iter().enumerate();
        words.flat_map(|(i, &word)| ones(word).map(move |b| i * WORD + b))
    }
}

/// Iterates over the positions of the ones in a word.
fn ones(mut word: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let at = word.trailing_zeros() as usize;
        word &= word.wrapping_sub(1);
        (at < WORD).then_some(at)
    })
}

/// Returns the position of the `nth` one in a word, counted from 0. The word
/// must have that many.
fn nth_one(mut word: u64, nth: u32) -> usize {
    for _ in 0..nth {
        word &= word - 1;
    }
    word.trailing_zeros() as usize
}
