//! Plays recorded traces on an embedded fleet: the real entry VMs over
//! loopback, with stand-ins for the platform, minions and callers. The format
//! is described in docs/REPLAY.md.

mod book;
mod client;
mod doors;
mod error;
mod fleet;
mod generate;
mod parse;
mod play;
mod summary;
mod tally;
mod trace;
mod vm;
mod watch;

pub use book::{Attempt, Book, End, Submission};
pub use client::Caller;
pub use doors::{Door, Doors};
pub use error::{TraceError, TraceErrorKind};
pub use fleet::Fleet;
pub use generate::generate;
pub use play::{Report, play};
pub use summary::{INVARIANTS, Miss, Ratio, Seen, Summary, misses};
pub use tally::{cut_offs, tally, untrue_refusals};
pub use trace::{
    Action, Answer, Base, Bounds, Cancel, Expect, Expectation, Fault, FleetPlan, HangUp, Keys,
    LogFault, MinionFault, Needs, Publish, Step, Submit, Task, Trace, Verdict, Via, VmFault,
};
pub use vm::{EmbeddedVm, LaunchError};
pub use watch::{BrokenVm, Observed, Seen as SeenVm};
