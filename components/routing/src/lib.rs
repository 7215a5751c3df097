//! Which minion gets a task: slots shared with other VMs, picks, outliers and
//! spill-over to other domains. No network and no clock of its own, so that
//! benches and tests drive the same code as the program
//! (docs/design/routing.md). Nothing here is needed for safety: a wrong belief
//! costs a message or some waiting.

mod bits;
mod budget;
mod config;
mod demand;
mod digest;
mod fleet;
mod health;
mod held;
mod lease;
mod minion;
mod outliers;
mod packed;
mod policy;
mod remote;
mod shared;
mod slot;
mod table;

pub use config::{PolicyKind, RoutingConfig};
pub use digest::{Digest, Evidence, Grant};
pub use fleet::Fleet;
pub use health::Mode;
pub use minion::{MinionInfo, MinionStatus};
pub use policy::{Balanced, LeastOwn, Load, Policy, Random, Split};
pub use slot::{Finish, Slot, Unavailable};
