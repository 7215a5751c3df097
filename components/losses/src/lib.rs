//! Finds out from the log lines of all VMs why jobs were not served in time.
//!
//! [`LogReader`] reads the lines, [`Account`] joins them by job, [`find_cause`]
//! names one [`Cause`] for each job that was not served in time, and [`Losses`] counts
//! them by cause and by what they have in common. docs/OPERATIONS.md walks through it.

mod account;
mod cause;
mod error;
mod job;
mod line;
mod reader;
mod report;
mod site;
mod table;
mod time;

pub use account::{Account, Skipped};
pub use cause::{Cause, Finding, find_cause};
pub use error::ReportError;
pub use job::{Answer, Answered, JobTrace, Marks, NameId, Names, OwnerEnd, OwnerRefusal, Received};
pub use line::Line;
pub use reader::LogReader;
pub use report::write_report;
pub use site::{Outage, Site};
pub use table::{Breakdown, Losses, Row, Totals};
pub use time::{WallMillis, Window};
