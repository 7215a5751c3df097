//! Jobs, the right to start them, and their outcomes: the table of jobs, the
//! windows of tickets and the claims to keys that callers choose
//! (docs/design/at-most-once.md). The crate does no I/O.

mod claim;
mod job;
mod outcome;
mod record;
mod table;
mod window;

pub use claim::Claims;
pub use job::{JobError, JobSpec, MAX_TASKS, TaskSpec};
pub use outcome::{Outcome, Ran, Reason, TaskAnswer};
pub use record::{
    ClaimError, ClaimRecord, Coverage, Decisions, KeyClaim, KeyHash, KeyState, Owner, Release,
};
pub use table::{EnterResult, JobTable, Kept, TableLimits};
pub use window::{TicketState, Window, WindowState, Windows};
