//! The messages between entry VMs. Each is sent by POST to a path of its own.

use std::sync::Arc;

use jobs::{Coverage, JobSpec, Kept, Outcome, WindowState};
use kernel::{Incarnation, JobKey, Millis, VmId};
use logstore::MachineList;
use serde::{Deserialize, Serialize};
use sheet::Snapshot;

/// Path for passing a job to the VM that owns its key.
pub const PASS_PATH: &str = "/peer/v1/pass";
/// Path for waiting further for the outcome of a job that was passed.
pub const AWAIT_PATH: &str = "/peer/v1/await";
/// Path for cancelling a job.
pub const CANCEL_PATH: &str = "/peer/v1/cancel";
/// Path for looking up a job.
pub const FIND_PATH: &str = "/peer/v1/find";
/// Path for exchanging heartbeats.
pub const HEARTBEAT_PATH: &str = "/peer/v1/beat";
/// Path for sending digests of leases and quotas to the peers of the domain.
pub const DIGEST_PATH: &str = "/peer/v1/digest";
/// Path for reading a peer's sheet and list of machines.
pub const STATE_PATH: &str = "/peer/v1/state";
/// Path for reading the claims that a peer knows.
pub const CLAIMS_PATH: &str = "/peer/v1/claims";
/// Path for asking whether a key's job may have been started.
pub const CLAIMED_PATH: &str = "/peer/v1/claimed";
/// Path for handing ticket windows and kept outcomes to a successor.
pub const HANDOVER_PATH: &str = "/peer/v1/handover";

/// Request to run a job on the VM that owns its key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PassRequest {
    /// The incarnation that owns the job's key.
    pub target: Incarnation,
    /// Job to run, with the time that is left as its deadline.
    pub spec: JobSpec,
}

/// Request about a job that was passed to its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobQuery {
    /// The incarnation that owns the job's key.
    pub target: Incarnation,
    /// Key of the job.
    pub key: JobKey,
}

/// An owner's answer about a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PassReply {
    /// The job has ended.
    Ended(Arc<Outcome>),
    /// The job is still running; the peer should ask again.
    Running,
    /// The VM does not answer for the incarnation.
    NotMine,
}

/// Question whether a job that the asking VM refuses may have been started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimedQuery {
    /// Key of the job.
    pub key: JobKey,
    /// Incarnation that asks; a claim of its own does not count.
    pub asker: Incarnation,
}

/// Answer whether a VM knows of any VM that may have started a key's job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimedReply {
    /// No VM is known to have started the job, and the answering VM has not
    /// started it either.
    Free,
    /// Some VM may have started the job, or the answering VM may still start
    /// it.
    Taken,
}

/// Answer to a request for claims.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimsReply {
    /// All claims that the VM knows.
    pub coverage: Coverage,
}

/// State that a stopping VM hands to its successor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Handover {
    /// Stopping VM.
    pub from: VmId,
    /// Ticket windows that the VM answered for.
    pub windows: Vec<WindowState>,
    /// Outcomes that the VM kept.
    pub kept: Vec<Kept>,
}

/// A successor's answer to a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverReply {
    /// The successor has taken over everything.
    Taken,
    /// The successor is stopping as well and took nothing.
    Stopping,
}

/// Longest time for which the owner waits for a job's outcome before it answers
/// [`PassReply::Running`]. A connection that has gone silent is noticed after
/// this time.
pub const POLL_WAIT: Millis = Millis(1_000);

/// State that a VM gives to a peer that lags behind or has just started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerState {
    /// Sheet in force, if the VM has read the log far enough to know it.
    pub sheet: Option<Snapshot>,
    /// List of machines, as last read from the platform.
    pub listing: Option<Arc<MachineList>>,
}
