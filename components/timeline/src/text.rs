//! Serializes incarnations as text, because most JSON parsers can't represent
//! 128-bit numbers.

use kernel::Incarnation;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

pub fn serialize<S: Serializer>(
    incarnation: &Incarnation,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(incarnation)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Incarnation, D::Error> {
    let text = compact_str::CompactString::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
