//! Incarnations as text, because most readers of JSON can't hold 128-bit
//! numbers.

use kernel::Incarnation;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

pub fn serialize<S: Serializer>(life: &Incarnation, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(life)
}

pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Incarnation, D::Error> {
    let text = compact_str::CompactString::deserialize(from)?;
    text.parse().map_err(D::Error::custom)
}
