//! Answers of VMs, as far as the operators' tool reads them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use kernel::{MinionId, Offset, Service, TaskId, VmId};
use serde::Deserialize;

/// Outcome of a job, as its answer names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// Every task was answered.
    Complete,
    /// The job failed.
    Failed,
    /// The VM asked does not know the outcome.
    Unknown,
    /// The request itself was invalid.
    Refused,
    /// The job has not ended.
    Running,
}

/// Whether any task of a failed job may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of any task was sent.
    No,
    /// Some task may have started.
    Maybe,
}

/// Answer of one task.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TaskAnswer {
    /// Id of the task.
    pub id: TaskId,
}

/// Answer that the job's caller gets.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Answer {
    /// Outcome of the job.
    pub outcome: JobOutcome,
    /// Whether any task may have run.
    pub ran: Option<Ran>,
    /// Stable one-word reason of a failure.
    pub reason: Option<CompactString>,
    /// Answers of the tasks.
    #[serde(default)]
    pub answers: Vec<TaskAnswer>,
}

impl Answer {
    /// Returns whether every task of the job was answered.
    pub fn is_complete(&self) -> bool {
        self.outcome == JobOutcome::Complete
    }
}

/// Answer to a request for tickets.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Tickets {
    /// The tickets minted.
    pub tickets: Vec<CompactString>,
}

/// Status of one VM, with its view of the fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct VmStatus {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM's process.
    pub incarnation: CompactString,
    /// Lifecycle stage of the VM, such as `serving`.
    pub stage: CompactString,
    /// Whether the load balancer may send callers to this VM.
    pub ready: bool,
    /// Offset of the sheet in force on this VM.
    pub sheet: Option<Offset>,
    /// Number of contradictions found in the sheet's history.
    #[serde(default)]
    pub sheet_faults: u64,
    /// State of the platform's log as this VM sees it, such as `answers`.
    pub log: CompactString,
    /// Peer VMs.
    pub peers: Vec<PeerView>,
    /// Slots and queue of each service.
    pub services: Vec<ServiceView>,
    /// Minions that the VM knows.
    pub minions: Vec<MinionView>,
    /// Quota of each team.
    pub teams: Vec<TeamView>,
    /// Number of jobs running on this VM.
    pub running: usize,
    /// Counters since the start of the process, by metric name.
    #[serde(default)]
    pub counts: BTreeMap<CompactString, u64>,
}

/// A peer as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerView {
    /// Id of the peer.
    pub vm: VmId,
    /// Health of the peer as the VM sees it, such as `live` or `suspect`.
    pub belief: CompactString,
}

/// Slots and queue of a service on a VM.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceView {
    /// Name of the service.
    pub service: Service,
    /// Number of tasks in the queue.
    pub waiting: usize,
    /// Number of slots held.
    pub held: usize,
}

/// A minion as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct MinionView {
    /// Id of the minion.
    pub id: MinionId,
    /// Health state in which the VM keeps the minion, such as `normal` or
    /// `ejected`.
    pub mode: CompactString,
    /// Whether the minion is leaving.
    pub leaving: bool,
}

/// A team's quota as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamView {
    /// Name of the team.
    pub team: CompactString,
    /// Number of slots that the VM may give the team now.
    pub limit: u32,
    /// Number of slots that the team holds through this VM.
    pub held: u32,
}
