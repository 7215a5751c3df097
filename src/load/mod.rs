//! An open-loop load generator. Each job has an intended start, and its
//! response is measured from there, so that a stalled system can't hide its
//! stalls by delaying the jobs behind them.

mod mix;
mod plan;
mod report;
mod run;

pub use mix::{Mix, MixError, Part};
pub use plan::{Arrivals, Plan, Planned};
pub use report::{Percentiles, Report, Tally};
pub use run::{Keys, all_keys, fetch, run, submit};
