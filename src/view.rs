//! What VMs answer, as the operators' tool reads it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use kernel::{MinionId, Offset, Service, TaskId, VmId};
use serde::Deserialize;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ended {
    /// Every task answered.
    Complete,
    /// The job failed.
    Failed,
    /// The VM asked can't tell.
    Unknown,
    /// The request itself was at fault.
    Refused,
    /// It has not ended.
    Running,
}

/// Whether any task of a failed job may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanWord {
    /// No byte of any task was sent.
    No,
    /// Some task may have started.
    Maybe,
}

/// One task's answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TaskAnswer {
    /// The task.
    pub id: TaskId,
}

/// What a job's caller is told.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Answer {
    /// How the job ended.
    pub outcome: Ended,
    /// Whether any task may have run.
    pub ran: Option<RanWord>,
    /// The stable word for the reason.
    pub reason: Option<CompactString>,
    /// The tasks' answers.
    #[serde(default)]
    pub answers: Vec<TaskAnswer>,
}

impl Answer {
    /// Tells whether the job was answered completely.
    pub fn is_complete(&self) -> bool {
        self.outcome == Ended::Complete
    }
}

/// Tickets as a VM answers them.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Tickets {
    /// The tickets.
    pub tickets: Vec<CompactString>,
}

/// One VM's view of the fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// The life of its process.
    pub incarnation: CompactString,
    /// How far the VM is.
    pub stage: CompactString,
    /// Whether the balancer may send callers there.
    pub ready: bool,
    /// The offset of the sheet in force there.
    pub sheet: Option<Offset>,
    /// Times that the sheet's history contradicted itself.
    #[serde(default)]
    pub sheet_faults: u64,
    /// Whether the platform's log answers.
    pub log: CompactString,
    /// The peers.
    pub peers: Vec<PeerView>,
    /// Slots and queues by service.
    pub services: Vec<ServiceView>,
    /// The minions.
    pub minions: Vec<MinionView>,
    /// The quotas of teams.
    pub teams: Vec<TeamView>,
    /// Jobs that run.
    pub running: usize,
    /// Counters since the process's start.
    #[serde(default)]
    pub counts: BTreeMap<CompactString, u64>,
}

/// A peer as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerView {
    /// The peer.
    pub vm: VmId,
    /// What the VM believes of it.
    pub belief: CompactString,
}

/// A service's slots and queue at a VM.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceView {
    /// The service.
    pub service: Service,
    /// Tasks that wait there.
    pub waiting: usize,
    /// Slots held there.
    pub held: usize,
}

/// A minion as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct MinionView {
    /// The minion.
    pub id: MinionId,
    /// How far the VM trusts it.
    pub mode: CompactString,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A team's quota as a VM sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamView {
    /// The team.
    pub team: CompactString,
    /// What the VM may give now.
    pub limit: u32,
    /// What the team holds there.
    pub held: u32,
}
