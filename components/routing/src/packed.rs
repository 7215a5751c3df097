//! Serialises lists of small counts with half a byte for each. Two such lists
//! make up most of a digest, and nearly all counts are below 16, because
//! minions have few slots.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Largest count that fits in half a byte.
const HALF: u8 = 0x0f;

/// First byte of a list with a whole byte for each count.
const WHOLE: u8 = 0;

/// First byte of a list with half a byte for each of an even number of counts.
const EVEN: u8 = 1;

/// First byte of a list with half a byte for each of an odd number of counts.
const ODD: u8 = 2;

/// Serialises the counts as bytes.
pub(crate) fn serialize<S: Serializer>(counts: &[u8], to: S) -> Result<S::Ok, S::Error> {
    let mut bytes = Vec::with_capacity(counts.len() + 1);
    if counts.iter().any(|n| *n > HALF) {
        bytes.push(WHOLE);
        bytes.extend(counts);
        return to.serialize_bytes(&bytes);
    }
    bytes.push(if counts.len().is_multiple_of(2) {
        EVEN
    } else {
        ODD
    });
    let pair = |two: &[u8]| two[0] << 4 | two.get(1).copied().unwrap_or(0);
    bytes.extend(counts.chunks(2).map(pair));
    to.serialize_bytes(&bytes)
}

/// Deserialises counts that [`serialize`] wrote.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    from.deserialize_bytes(Counts)
}

/// The visitor that unpacks the bytes.
struct Counts;

impl Visitor<'_> for Counts {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("packed counts")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        let Some((mark, packed)) = bytes.split_first() else {
            return Err(E::invalid_length(0, &self));
        };
        let halves = || packed.iter().flat_map(|n| [n >> 4, n & HALF]);
        match (*mark, packed) {
            (WHOLE, _) => Ok(packed.to_vec()),
            (EVEN, _) => Ok(halves().collect()),
            (ODD, [_, ..]) => Ok(halves().take(packed.len() * 2 - 1).collect()),
            _ => Err(E::custom("unknown packing of counts")),
        }
    }
}
