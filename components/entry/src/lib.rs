//! The entry VM: everything between callers and minions. The request path
//! reads snapshots that the control loops publish; see `docs/ARCHITECTURE.md`.

mod api;
mod beat;
mod callers;
mod changes;
mod claimed;
mod claimer;
mod config;
mod confirm;
mod control;
mod core;
mod count;
mod digests;
mod dispatch;
mod drive;
mod faults;
mod levels;
mod lookup;
mod message;
mod notes;
mod pass;
mod passing;
mod peers;
mod run;
mod sheets;
mod status;
mod stop;
mod submit;
mod task;
mod vm;

pub use api::{BadRequest, KEY_HEADER};
pub use beat::{Heartbeat, Load};
pub use config::{Config, JobLimits, LogLimits, StopWait};
pub use digests::Told;
pub use status::{ChangeStatus, PeerStatus, ServiceStatus, Status};
pub use vm::{StartError, Vm};
