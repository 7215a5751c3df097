//! The engine of an entry VM: takes jobs, finds the owner of minions for them,
//! and owns minions itself. It joins the decisions of `schedule` and
//! `ownership` with the network; see docs/design/platform.md.

mod backoff;
mod beats;
mod calls;
mod config;
mod control;
mod core;
mod drive;
mod engine;
mod handover;
mod here;
mod model;
mod owned;
mod pages;
mod register;
mod route;
mod submit;

pub use crate::backoff::Backoff;
pub use crate::config::EngineConfig;
pub use crate::control::{HoldReply, Minions, StopReply};
pub use crate::engine::{Engine, StartError};
pub use crate::model::{Configuration, FrontLimits, Queue};
pub use crate::pages::{MetricsPage, ReadyPage};
pub use crate::register::Register;
pub use schedule::Outcome;
