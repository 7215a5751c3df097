//! Decides which VM owns which minions.
//!
//! The minions of a failure domain are divided into shards, and each shard has
//! one owner. VMs learn from heartbeats which VM that is. They may disagree for
//! a while; the minions are protected by their fence and not by this agreement
//! (docs/design/platform.md#ownership).

mod cold_start;
mod config;
mod contested;
mod evidence;
mod heartbeat;
mod interval;
mod open_calls;
mod peers;
mod plan;
mod room;
mod route;
mod sent;
mod shard;
mod token;

pub use config::OwnershipConfig;
pub use evidence::Reports;
pub use heartbeat::{Claim, Heartbeat, Report, VmInfo};
pub use interval::Broadcast;
pub use kernel::Epoch;
pub use open_calls::{CallId, CallNumber, CallState, OpenCalls};
pub use peers::{Change, Owner, Peers};
pub use room::Room;
pub use route::{Candidate, MAX_OFFERS, SentWork, choose, choose_next};
pub use sent::SentAt;
pub use shard::{Shard, shard_of};
pub use token::Tokens;
