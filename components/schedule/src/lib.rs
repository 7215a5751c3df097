//! The scheduler of one shard of minions: which task starts where and when.
//!
//! It is a function of events and a passed time, without network. Its owner
//! feeds it jobs and the minions' answers and carries out its [`Action`]s
//! (docs/design/platform.md).

mod action;
mod admission;
mod answers;
mod config;
mod contest;
mod demand;
mod estimate;
mod health;
mod ids;
mod job;
mod minion;
mod order;
mod place;
mod resources;
mod run;
mod scheduler;
mod start;
mod tick;
mod transfer;

pub use action::{Action, StartOrder, StopOrder};
pub use admission::Admission;
pub use answers::Heard;
pub use config::ScheduleConfig;
pub use ids::{JobId, TaskName, WorkIdError};
pub use job::{JobSpec, Outcome, Step, Summary};
pub use kernel::{Fence, Gpus, LeaseTime, Mebibytes, MilliCores, RunNumber};
pub use minion::{End, EndKind, HoldOrder, Listing, MinionInfo, NextHold, StartReply};
pub use resources::Resources;
pub use scheduler::{Load, Scheduler};
pub use transfer::{JobTransfer, MinionTransfer, RunTransfer, TaskTransfer, Transfer};
