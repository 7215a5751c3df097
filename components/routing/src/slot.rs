//! The guard of a slot, and how its task ended.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::Timestamp;

use crate::demand::Demand;
use crate::minion::{MinionInfo, Node};
use crate::shared::Shared;

/// Why no slot can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// No minion that stays offers the service.
    NoMinion,
    /// No minion of the service has as many cores.
    TooLarge,
    /// All slots are taken, as far as this VM knows.
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

/// How a task on a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The minion answered.
    Answered {
        /// The task's run time in microseconds.
        run: u64,
    },
    /// The minion answered that the task failed.
    TaskFailed,
    /// The connection broke or the time ran out after the task was sent.
    Lost,
    /// The minion was full or gone, and the task did not start.
    NotStarted,
    /// The task was cancelled; this tells nothing about the minion.
    Cancelled,
}

/// One task's place on a minion. Dropping it frees the place.
#[derive(Debug)]
pub struct Slot {
    /// What the fleet shares with its slots.
    shared: Arc<Shared>,
    /// The minion.
    node: Arc<Node>,
    /// The demand for the task's service.
    demand: Arc<Demand>,
    /// When the slot was taken.
    start: Timestamp,
}

impl Slot {
    /// Wraps a place that the fleet has counted already.
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

    /// Returns the minion.
    pub fn minion(&self) -> &MinionInfo {
        &self.node.info
    }

    /// Frees the place and learns from the task's end.
    pub fn finish(self, end: Finish, now: Timestamp) {
        self.shared.learn(&self.node, &self.demand, end, now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.node.state.held.remove(self.start) {
            self.shared.broken.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.reopen(&self.node);
    }
}
