//! The calls that a VM still waits for, as its heartbeats list them
//! (docs/design/job-leases.md#open-calls).

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::sent::SentAt;

/// Number of a call among those of the calling process. It rises.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallNumber(pub u64);

/// Identifies a call by the process that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallId {
    /// The process that made the call.
    pub caller: Incarnation,
    /// Number of the call.
    pub number: CallNumber,
}

/// What a list of open calls tells of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    /// The caller waits for the answer.
    Open,
    /// The caller no longer waits.
    Ended,
    /// The call was made after the list.
    Later,
}

/// The calls to the receiver of a heartbeat for which the sender waited.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OpenCalls {
    /// Time at which the list was made; `None` if the sender doesn't know the
    /// receiver's clock.
    pub sent: Option<SentAt>,
    /// Number of the sender's latest call to any VM.
    latest: CallNumber,
    /// Differences between `latest` and the numbers of the open calls, in ascending
    /// order: mostly one byte each.
    open: Vec<u64>,
}

impl OpenCalls {
    /// Lists the open calls among those up to `latest`.
    pub fn new(
        sent: Option<SentAt>,
        latest: CallNumber,
        open: impl IntoIterator<Item = CallNumber>,
    ) -> OpenCalls {
        let open = open.into_iter().map(|n| latest.0.saturating_sub(n.0));
        let mut open: Vec<_> = open.collect();
        open.sort_unstable();
        OpenCalls { sent, latest, open }
    }

    /// Returns the state of a call of the sender to the receiver.
    pub fn state(&self, number: CallNumber) -> CallState {
        match self.latest.0.checked_sub(number.0) {
            None => CallState::Later,
            Some(back) if self.open.binary_search(&back).is_ok() => CallState::Open,
            Some(_) => CallState::Ended,
        }
    }
}
