//! The messages between entry VMs. Each goes to a path of its own, by POST.

use std::sync::Arc;

use jobs::{Coverage, JobSpec, Kept, Outcome, WindowState};
use kernel::{Incarnation, JobKey, Millis, VmId};
use logstore::MachineList;
use serde::{Deserialize, Serialize};
use sheet::Snapshot;

/// Passes a job to the only VM that may start it.
pub const PASS_PATH: &str = "/peer/v1/pass";
/// Waits on for the outcome of a job that was passed.
pub const AWAIT_PATH: &str = "/peer/v1/await";
/// Cancels a job.
pub const CANCEL_PATH: &str = "/peer/v1/cancel";
/// Looks a job up.
pub const FIND_PATH: &str = "/peer/v1/find";
/// Exchanges heartbeats.
pub const BEAT_PATH: &str = "/peer/v1/beat";
/// Tells peers of the domain of leases and quotas.
pub const DIGEST_PATH: &str = "/peer/v1/digest";
/// Asks for the sheet and the machines known.
pub const STATE_PATH: &str = "/peer/v1/state";
/// Asks for the claims known.
pub const CLAIMS_PATH: &str = "/peer/v1/claims";
/// Asks whether a key's job may have been started.
pub const CLAIMED_PATH: &str = "/peer/v1/claimed";
/// Hands windows and kept answers to a successor.
pub const HANDOVER_PATH: &str = "/peer/v1/handover";

/// A job on its way to its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pass {
    /// The incarnation that owns the job's key.
    pub target: Incarnation,
    /// The job, with the deadline that is left.
    pub spec: JobSpec,
}

/// Names a job at its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// The incarnation that owns the job's key.
    pub target: Incarnation,
    /// The job.
    pub key: JobKey,
}

/// What an owner answers about a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PassReply {
    /// The job has ended.
    Ended(Arc<Outcome>),
    /// The job runs still; ask again.
    Running,
    /// This VM doesn't answer for the incarnation.
    NotMine,
}

/// Asks about a key whose job the asker refuses.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimedAsk {
    /// The key.
    pub key: JobKey,
    /// The asker, whose own claim does not count.
    pub asker: Incarnation,
}

/// Whether a VM knows of anybody who may have started a key's job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimedReply {
    /// It does not, and has not started the job itself.
    Free,
    /// It does, or may start the job yet.
    Taken,
}

/// The answer to a request for claims.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimsReply {
    /// All that the VM knows.
    pub coverage: Coverage,
}

/// What a VM that stops leaves to its successor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandOver {
    /// The VM that stops.
    pub from: VmId,
    /// The windows that it answered for.
    pub windows: Vec<WindowState>,
    /// The answers that it kept.
    pub kept: Vec<Kept>,
}

/// The successor's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverReply {
    /// All is taken over.
    Taken,
    /// The VM is stopping itself and took nothing.
    Stopping,
}

/// The longest that one message waits for a job's outcome before the owner
/// answers [`PassReply::Running`], so that a silent connection is noticed.
pub const POLL_WAIT: Millis = Millis(1_000);

/// What a VM tells a peer that lags or has just started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerState {
    /// The sheet, if the VM knows where it stands.
    pub sheet: Option<Snapshot>,
    /// The platform's list of machines as last read.
    pub listing: Option<Arc<MachineList>>,
}
