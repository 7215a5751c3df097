//! Stand-ins for the systems around the entry VMs: the platform, minions and a
//! network whose faults are switched at run time. They count task starts and
//! used capacity independently of the dispatcher under test.

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
pub use leased_fleet::{
    LeasedFleet, MinionViolation, RunEnd, RunStart, UnknownMinion, find_violations,
};
pub use ledger::{Ledger, Start};
pub use listener::{Disconnect, Listener, Serve, lock};
pub use minion::{MinionConfig, MinionStandin, TaskReply};
pub use net::Net;
pub use platform::{PlatformConfig, PlatformStandin, Retention};
pub use relay::{DatagramRelay, Relay};
pub use respond::{empty, json};
pub use table::{Endpoint, Hops, Site};
pub use work::{Fate, Work, WorkError};
