//! Which VM owns which minions.
//!
//! The minions of a failure domain form shards, and each shard has one owner.
//! VMs find out who that is from beats. They may disagree for a while: what
//! protects the minions is their fence, not this
//! (docs/design/platform.md#ownership).

mod beat;
mod config;
mod contested;
mod peers;
mod shard;
mod token;

pub use beat::{Beat, Claim, Report, VmInfo};
pub use config::OwnershipConfig;
pub use kernel::Epoch;
pub use peers::{Change, Owner, Peers};
pub use shard::{Shard, shard_of};
pub use token::Tokens;
