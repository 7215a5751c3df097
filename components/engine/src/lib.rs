//! The engine of an entry VM: takes jobs, finds the owner of minions for them,
//! and owns minions itself. It joins the decisions of `schedule` and
//! `ownership` with the network; see docs/design/platform.md.

mod beats;
mod config;
mod control;
mod core;
mod drive;
mod engine;
mod handover;
mod model;
mod owned;
mod peers;
mod route;
mod submit;

pub use crate::config::EngineConfig;
pub use crate::control::{HoldReply, Minions, StopReply};
pub use crate::engine::{Engine, StartError};
pub use crate::model::{Configuration, FrontLimits, Queue};
pub use crate::submit::Answer;
