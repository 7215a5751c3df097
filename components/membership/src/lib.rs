//! Tracks which entry VMs exist, which of them answer, and which minions are
//! leaving. The view may be wrong: an error costs a message or some time, but
//! never starts a job twice (`docs/design/membership.md`). The crate does no
//! I/O: it takes events and the current time, and returns heartbeats to send
//! and a view of the fleet.

mod config;
mod departed;
mod event;
mod exchange;
mod gossip_set;
mod heartbeat;
mod leaving;
mod membership;
mod peer;
mod peers;
mod schedule;
mod stopping;
mod tick;
mod view;
mod vm;

pub use config::Config;
pub use departed::MAX_DEPARTED;
pub use event::{Contact, Counters, ListedVm, Listing, Target};
pub use heartbeat::{DepartedNews, Sync, VmNews};
pub use heartbeat::{
    Heartbeat, LeavingNews, MAX_DEPARTED_NEWS, MAX_MINION_NEWS, MAX_VM_NEWS, MinionNews,
};
pub use leaving::MAX_LEAVING;
pub use membership::Membership;
pub use peers::MAX_PEERS;
pub use stopping::MAX_STOPPING;
pub use view::{Health, Location, PeerView, View};
pub use vm::{Generation, Presence, Vm};
