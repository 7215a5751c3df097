//! The scheduler of one shard of minions: which task starts where and when.
//!
//! It is a function of events and a passed time, without network. Its owner
//! feeds it jobs and the minions' answers and carries out its [`Action`]s
//! (docs/design/platform.md).

mod admission;
mod answers;
mod config;
mod health;
mod ids;
mod job;
mod minion;
mod order;
mod place;
mod resources;
mod run;
mod scheduler;
mod transfer;

pub use admission::Admission;
pub use answers::Heard;
pub use config::ScheduleConfig;
pub use ids::{Fence, JobId, LeaseTime, RunNumber, TaskName, WorkIdError};
pub use job::{JobSpec, Outcome, Step, Summary};
pub use minion::{End, EndKind, HoldOrder, Listing, MinionInfo, StartReply};
pub use resources::{Gpus, Mebibytes, MilliCores, Resources};
pub use scheduler::{Action, Load, Scheduler, StartOrder, StopOrder};
pub use transfer::{JobTransfer, MinionTransfer, RunTransfer, TaskTransfer, Transfer};
