//! Small stand-ins for what surrounds the entry VMs: the platform, minions and
//! a network whose faults are switched at run time. They count what the
//! dispatcher must not be trusted to count itself.

mod ledger;
mod listener;
mod minion;
mod net;
mod platform;
mod pump;
mod respond;
mod table;

pub use ledger::{Ledger, Start};
pub use minion::{MinionConfig, MinionStandin, TaskReply};
pub use net::Net;
pub use platform::{PlatformConfig, PlatformStandin, Retention};
pub use table::{Endpoint, Hops, Site};
