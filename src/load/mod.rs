//! Open-loop load generator. Each job has an intended start from which its
//! response is measured, so that a stalled system can't hide a stall by
//! delaying the jobs that follow.

mod mix;
mod plan;
mod report;
mod run;

pub use mix::{JobKind, Mix, MixError};
pub use plan::{Arrivals, Plan, PlannedJob};
pub use report::{Percentiles, Report, Tally};
pub use run::{KeySource, fetch_tickets, prepare_keys, run, submit};
