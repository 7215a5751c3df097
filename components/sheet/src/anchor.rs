//! From where in the log a new reader can start.

use kernel::{Millis, Offset};
use serde::{Deserialize, Serialize};

/// The point from which a new reader can work out the sheet in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Anchor {
    /// The offset; a reader that has all records from it on needs no more.
    pub offset: Offset,
    /// When it was written, Unix time of its writer; 0 while that is not
    /// known.
    pub at: Millis,
}

impl Anchor {
    /// Returns the one that lies further on in the log.
    pub(crate) fn later(self, other: Anchor) -> Anchor {
        if other.offset < self.offset {
            return self;
        }
        other
    }
}
