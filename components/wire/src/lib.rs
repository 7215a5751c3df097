//! Network transport: the message codec between entry VMs, and an HTTP client
//! and server built on hyper in which every wait has a timeout.

mod body;
mod client;
mod codec;
mod connect;
mod connections;
mod link;
mod memory;
mod minion;
mod server;

pub use body::{BodyError, HeldBody, RequestBody, read_body};
pub use client::{CallError, Client, PoolLimits, Reply, SendObserver, Traffic};
pub use codec::{CodecError, VERSION, decode, encode};
pub use connect::{Connect, TcpConnect};
pub use link::Link;
pub use memory::{BudgetSpent, COVERED_BYTES, MemoryBudget, MemoryShares, Reservation};
pub use minion::{
    DEADLINE_HEADER, INCARNATION_HEADER, JOB_HEADER, SERVICE_HEADER, STARTED_HEADER, TASK_HEADER,
    TASK_PATH,
};
pub use server::{Handler, Server, ServerLimits, ServerUsage, Stopper};
