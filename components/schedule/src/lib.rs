//! The scheduler of one shard of minions: decides which task starts on which
//! minion and when.
//!
//! It does no I/O and reads no clock: its owner passes in jobs, the minions'
//! answers and the current time, and carries out the returned [`Action`]s
//! (docs/design/platform.md).

mod action;
mod admission;
mod answers;
mod config;
mod contest;
mod crash;
mod demand;
mod distribution;
mod estimate;
mod evacuation;
mod evidence;
mod evidence_report;
mod forecast;
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
mod suspects;
mod tick;
mod transfer;

pub use action::{Action, LossCause, RunLoss, StartOrder, StopOrder};
pub use admission::Admission;
pub use answers::HoldResult;
pub use config::ScheduleConfig;
pub use crash::{CrashLog, CrashRecord, LossState, Verdict};
pub use evacuation::GivenBack;
pub use evidence::{MinionKind, MinionKindError};
pub use evidence_report::{EvidenceError, EvidenceReport, MAX_AGE, PairReport, REPORTED_PAIRS};
pub use ids::{JobId, JobIdError, TaskName};
pub use job::{JobSpec, Outcome, Step, Summary};
pub use kernel::{Fence, Gpus, LeaseTime, Mebibytes, MilliCores, RunNumber};
pub use minion::{End, EndKind, HoldOrder, Listing, MinionInfo, NextHold, StartReply};
pub use resources::Resources;
pub use scheduler::{Load, Scheduler};
pub use transfer::{JobTransfer, MinionTransfer, RunTransfer, TaskTransfer, Transfer};
