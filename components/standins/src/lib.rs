//! Small stand-ins for what surrounds the entry VMs: the platform, minions and
//! a network whose faults are switched at run time. They count what the
//! dispatcher must not be trusted to count itself.

mod leased;
mod leased_fleet;
mod ledger;
mod listener;
mod minion;
mod net;
mod platform;
mod pump;
mod relay;
mod respond;
mod table;
mod work;

pub use leased::LeasedMinion;
pub use leased_fleet::{Absent, Breach, LeasedFleet, RunEnd, RunStart, breaches};
pub use ledger::{Ledger, Start};
pub use listener::{HangUp, Listener, Serve, lock};
pub use minion::{MinionConfig, MinionStandin, TaskReply};
pub use net::Net;
pub use platform::{PlatformConfig, PlatformStandin, Retention};
pub use relay::{DatagramRelay, Relay};
pub use respond::{empty, json};
pub use table::{Endpoint, Hops, Site};
pub use work::{Work, WorkError};
