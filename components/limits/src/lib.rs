//! Decides which tasks may start and in which order: team quotas over all VMs,
//! the fair queue, learned run times, admission and the retry budget
//! (docs/design/limits.md). The crate uses no network and no clock. Safety does
//! not depend on it: wrong information costs waiting or lets a team exceed its
//! quota by a stated bound.

mod admission;
mod config;
mod counter;
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
pub use queue::{Enqueued, Queue, Refusal, Waiting};
pub use quota::{Loan, OverQuota, QuotaDigest, QuotaGuard, QuotaStatus, Quotas, TeamDigest};
pub use retry::RetryBudget;
pub use runtimes::RunTimes;
pub use share::Share;
