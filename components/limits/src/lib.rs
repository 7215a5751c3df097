//! Who may start tasks and in which order: team quotas over all VMs, the fair
//! queue, learned run times, admission and the retry budget. No network and no
//! clock of its own (docs/design/limits.md). Nothing here is needed for
//! safety: a wrong belief costs waiting or lets a team exceed its quota by a
//! stated bound.

mod admission;
mod cell;
mod config;
mod ledger;
mod order;
mod queue;
mod quota;
mod retry;
mod runtimes;
mod share;

pub use admission::{Admission, Demand, Refused};
pub use config::LimitsConfig;
pub use order::JobOrder;
pub use queue::{Place, Queue, Refusal, Waiting};
pub use quota::{Loan, OverQuota, QuotaDigest, QuotaGuard, QuotaStatus, Quotas, TeamDigest};
pub use retry::RetryBudget;
pub use runtimes::RunTimes;
pub use share::Share;
