//! Plays recorded traces on an embedded fleet: real entry VMs over loopback, with
//! stand-ins for the platform, minions and callers. docs/REPLAY.md describes the
//! trace format.

mod backends;
mod client;
mod error;
mod fleet;
mod generate;
mod monitor;
mod parse;
mod play;
mod submissions;
mod summary;
mod tally;
mod trace;
mod vm;

pub use backends::{Backend, Backends};
pub use client::Caller;
pub use error::{TraceError, TraceErrorKind};
pub use fleet::Fleet;
pub use generate::generate;
pub use monitor::{Observed, VmStatus, VmViolations};
pub use play::{Report, play};
pub use submissions::{Attempt, End, Submission, SubmissionLog};
pub use summary::{Actual, INVARIANTS, MissedExpectation, Ratio, Summary, missed_expectations};
pub use tally::{cut_offs, tally, untrue_refusals};
pub use trace::{
    Action, Answer, Base, Bounds, Cancel, Disconnect, Expect, Expectation, Fault, FleetPlan, Keys,
    LogFault, MinionFault, Needs, Publish, Step, Submit, Task, Trace, Verdict, Via, VmFault,
};
pub use vm::{EmbeddedVm, LaunchError};
