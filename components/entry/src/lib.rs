//! The entry VM: everything between callers and minions. The request path
//! reads snapshots that the control loops publish; see `docs/ARCHITECTURE.md`.

mod api;
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
mod gauges;
mod heartbeat;
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
mod violations;
mod vm;

pub use api::{BadRequest, KEY_HEADER};
pub use config::{Config, JobLimits, LogLimits, StopWait};
pub use digests::UsageDigest;
pub use heartbeat::{Heartbeat, Load};
pub use status::{ChangeStatus, PeerStatus, ServiceStatus, Status};
pub use vm::{StartError, Vm};
