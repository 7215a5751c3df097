//! The sheet sets how many slots each service and team may use in each failure
//! domain. This crate reads and writes its CSV, and decides from the records in
//! the platform's log which change is in force. It does no I/O; see
//! `docs/design/sheet.md`.

mod anchor;
mod body;
mod diff;
mod fault;
mod log;
mod operator;
mod parse;
mod record;
mod renewal;
mod row;
mod snapshot;
mod table;
mod verdict;
mod waiting;

pub use anchor::Anchor;
pub use body::Body;
pub use diff::{Diff, MAX_DIFF_ROWS, RowChange};
pub use fault::{CellFault, Column, RowFault, RowFaults};
pub use log::{Counters, MAX_HISTORY, SheetLog};
pub use operator::{ChangeId, Operator};
pub use parse::{HEADER, MAX_BYTES, MAX_ROWS};
pub use record::{Base, Change, Held, Renewal, SheetRecord};
pub use renewal::{LogExtent, RenewalRule};
pub use row::{Cells, MAX_AMOUNT, Row, RowKey, Subject};
pub use snapshot::{Adopted, ChangeSummary, MAX_PAST_CHANGES, Snapshot};
pub use table::Sheet;
pub use verdict::{ChangeOutcome, Conflict, Gap, RecordFault, Refusal, Verdict};
pub use waiting::{MAX_WAITING, MAX_WAITING_BYTES};
