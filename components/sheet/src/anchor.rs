//! The offset from which a new reader can start.

use kernel::{Millis, Offset};
use serde::{Deserialize, Serialize};

/// The point in the log from which a new reader can work out the sheet in
/// force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Anchor {
    /// First offset that a new reader needs; no earlier record is required.
    pub offset: Offset,
    /// Unix time at which the anchor's record was written, by its writer's
    /// clock; 0 while it is unknown.
    pub at: Millis,
}

impl Anchor {
    /// Returns the anchor with the greater offset; `other` if they are equal.
    pub(crate) fn later(self, other: Anchor) -> Anchor {
        if other.offset < self.offset {
            return self;
        }
        other
    }
}
