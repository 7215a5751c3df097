//! The guard of a slot in use, and how its task ended.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::Timestamp;

use crate::demand::Demand;
use crate::minion::{MinionInfo, Node};
use crate::shared::Shared;

/// The reason why no slot is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No minion offers the service, other than those that are leaving.
    NoMinion,
    /// No minion of the service has enough cores.
    TooLarge,
    /// All slots are in use, as far as this VM knows.
    Full,
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unavailable::NoMinion => "no minion offers the service",
            Unavailable::TooLarge => "no minion has as many cores",
            Unavailable::Full => "all slots are taken",
        })
    }
}

impl std::error::Error for Unavailable {}

/// Outcome of a task on a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The minion answered with a result.
    Answered {
        /// The run time of the task in microseconds.
        run: u64,
    },
    /// The minion answered that the task failed.
    TaskFailed,
    /// The connection broke or the request timed out after the task was sent.
    Lost,
    /// The minion was full or gone, and the task did not start.
    NotStarted,
    /// The task was cancelled, which says nothing about the minion.
    Cancelled,
}

/// A slot on a minion, in use by one task. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    /// The state that the fleet shares with its slots.
    shared: Arc<Shared>,
    /// The minion of the slot.
    node: Arc<Node>,
    /// The demand for the task's service.
    demand: Arc<Demand>,
    /// The time at which the slot was taken.
    start: Timestamp,
}

impl Slot {
    /// Creates the guard of a slot that is already counted in
    /// [`crate::minion::State::in_flight`].
    pub(crate) fn new(
        shared: Arc<Shared>,
        node: Arc<Node>,
        demand: Arc<Demand>,
        start: Timestamp,
    ) -> Slot {
        Slot {
            shared,
            node,
            demand,
            start,
        }
    }

    /// Returns the minion of the slot.
    pub fn minion(&self) -> &MinionInfo {
        &self.node.info
    }

    /// Frees the slot and records how the task ended.
    pub fn finish(self, end: Finish, now: Timestamp) {
        self.shared
            .record_outcome(&self.node, &self.demand, end, now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.node.state.in_flight.remove(self.start) {
            self.shared.violations.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.reopen(&self.node);
    }
}
