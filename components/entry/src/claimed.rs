//! What a claim and a read of the claims' log can come to.

use std::collections::BTreeMap;

use jobs::Owner;
use kernel::Incarnation;

/// The incarnations gone for good, each with who took over.
pub type Departed = BTreeMap<Incarnation, Option<Incarnation>>;

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// This VM owns the key.
    Won,
    /// Another VM does.
    Lost(Owner),
    /// The log is away, so that nobody can tell.
    Away,
}

/// Who may start the job of a key, as far as is known without asking the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// Nobody has claimed it.
    Nobody,
    /// An incarnation owns it.
    Owner(Owner),
    /// This VM owns it but is giving it up.
    Leaving,
    /// Claims in the log may be missing here.
    Uncovered,
}

/// What became of a chunk of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It was applied but for this many broken records.
    Read {
        /// Records that could not be read.
        broken: usize,
        /// Whether all that is in the log is known now.
        whole: bool,
    },
    /// Records between those applied and the chunk are missing.
    Gap,
}
