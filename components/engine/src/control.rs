//! How minions are told what to do. The platform's adapter and the stand-ins
//! implement it.

use std::future::Future;

use kernel::MinionId;
use schedule::{HoldOrder, LeaseTime, Listing, StartOrder, StartReply, StopOrder};

/// What became of an order to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is stopping, or will never start; the minion's clock then.
    Taken(LeaseTime),
    /// A higher token was seen.
    Fenced,
    /// No answer, or none that says so.
    NoAnswer,
}

/// What became of a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReply {
    /// What the minion lists.
    Listed(Listing),
    /// A higher token was seen.
    Fenced,
    /// Another life of the minion answered.
    Reborn,
    /// No answer, or none that can be read.
    NoAnswer,
}

/// Gives orders to minions. Each call is bounded in time by the implementation.
pub trait Minions: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, order: &StartOrder) -> impl Future<Output = StartReply> + Send;

    /// Stops a run.
    fn stop(&self, order: &StopOrder) -> impl Future<Output = StopReply> + Send;

    /// Renews a minion's lease and asks what runs.
    fn hold(&self, id: &MinionId, order: &HoldOrder) -> impl Future<Output = HoldReply> + Send;
}
