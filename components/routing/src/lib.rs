//! Chooses the minion for each task: shares the slots with other VMs, picks a
//! minion, ejects outliers and spills over to other domains
//! (docs/design/routing.md). The crate uses no network and no clock, so that
//! benches and tests run the same code as the program. Safety does not depend
//! on it: wrong information about a minion costs a message or some waiting.

mod bits;
mod budget;
mod config;
mod demand;
mod digest;
mod fleet;
mod health;
mod in_flight;
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
