//! Which entry VMs there are, which of them answer, and which minions are
//! leaving. All of it is belief: a wrong one costs a message or some time and
//! never a second start (`docs/design/membership.md`). The crate does no I/O;
//! events and the time go in, heartbeats to send and a view come out.

mod beat;
mod config;
mod departed;
mod event;
mod hear;
mod leaving;
mod membership;
mod parting;
mod peer;
mod peers;
mod schedule;
mod spread;
mod tick;
mod view;
mod vm;

pub use beat::{Beat, LeavingNews, MAX_DEPARTED_NEWS, MAX_MINION_NEWS, MAX_VM_NEWS, MinionNews};
pub use beat::{DepartedNews, Sync, VmNews};
pub use config::Config;
pub use departed::MAX_DEPARTED;
pub use event::{Contact, Counters, ListedVm, Listing, Target};
pub use leaving::MAX_LEAVING;
pub use membership::Membership;
pub use parting::MAX_PARTING;
pub use peers::MAX_PEERS;
pub use view::{Health, Located, PeerView, View};
pub use vm::{Generation, Presence, Vm};
