//! Plays recorded traces on an embedded fleet: the real entry VMs over
//! loopback, with stand-ins for the platform, minions and callers. The format
//! is described in docs/REPLAY.md.

mod book;
mod client;
mod doors;
mod error;
mod parse;
mod summary;
mod trace;

pub use error::{TraceError, TraceErrorKind};
pub use summary::{INVARIANTS, Miss, Ratio, Seen, Summary, misses};
pub use trace::{
    Action, Answer, Base, Bounds, Cancel, Expect, Expectation, Fault, FleetPlan, HangUp, Keys,
    LogFault, MinionFault, Needs, Publish, Step, Submit, Task, Trace, Verdict, Via, VmFault,
};
