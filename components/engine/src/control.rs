//! The interface for orders to minions. The platform's adapter and the
//! stand-ins implement it.

use std::future::Future;

use kernel::MinionId;
use schedule::{HoldOrder, LeaseTime, Listing, StartOrder, StartReply, StopOrder};
use wire::Traffic;

/// Result of a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is stopping or will never start. Holds the minion's clock at
    /// that time.
    Accepted(LeaseTime),
    /// The minion has seen a higher token.
    Fenced,
    /// No answer arrived, or it does not say what became of the run.
    NoAnswer,
}

/// Result of a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReply {
    /// The minion's list of its runs.
    Listed(Listing),
    /// The minion has seen a higher token.
    Fenced,
    /// Another process of the minion answered.
    Restarted,
    /// No answer arrived, or it could not be decoded.
    NoAnswer,
}

/// Sends orders to minions. The implementation limits the time of each call.
pub trait Minions: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, order: &StartOrder) -> impl Future<Output = StartReply> + Send;

    /// Stops a run.
    fn stop(&self, order: &StopOrder) -> impl Future<Output = StopReply> + Send;

    /// Returns the connections opened and the bytes of all calls so far; zero
    /// for an implementation without a network.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }

    /// Renews a minion's lease and lists its runs.
    fn hold(&self, id: &MinionId, order: &HoldOrder) -> impl Future<Output = HoldReply> + Send;
}
