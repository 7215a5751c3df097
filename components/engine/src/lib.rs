//! The engine of an entry VM. It takes jobs, sends each to the owner of a shard
//! of minions, and owns shards itself. The decisions are made in `schedule` and
//! `ownership`; the engine connects them with the network. See
//! docs/design/platform.md.

mod backoff;
mod beats;
mod calls;
mod clients;
mod config;
mod control;
mod core;
mod crashes;
mod drive;
mod engine;
mod evacuation;
mod first_jobs;
mod first_reads;
mod handover;
mod here;
mod leases;
mod model;
mod owned;
mod pages;
mod register;
mod stall;
mod startup;
mod submit;
mod timetable;
mod traffic;

pub use crate::backoff::Backoff;
pub use crate::clients::report_clients;
pub use crate::config::EngineConfig;
pub use crate::control::{HoldReply, Minions, StopReply};
pub use crate::engine::{Engine, StartError};
pub use crate::evacuation::Evacuations;
pub use crate::model::{Configuration, FrontLimits, Queue};
pub use crate::pages::{MetricsPage, ReadyPage};
pub use crate::register::Register;
pub use crate::startup::{Startup, Step};
pub use schedule::Outcome;
