//! The events of the time line.

use std::fmt;

use compact_str::CompactString;
use kernel::{Incarnation, JobKey, MinionId, Offset, TaskId, Team, VmId};
use serde::{Deserialize, Serialize};

use crate::Stamp;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A job arrived from a caller or a peer.
    JobReceived,
    /// The job was admitted.
    JobAdmitted,
    /// The job waits for slots.
    JobQueued,
    /// The job was passed to the VM that owns its key.
    JobPassed(VmId),
    /// A resubmission was attached to the job already known under its key.
    JobAttached,
    /// The job's key was claimed in the log at this offset.
    JobClaimed(Offset),
    /// The job was refused and has not run.
    JobRefused,
    /// Every task of the job answered.
    JobCompleted,
    /// The job failed.
    JobFailed,
    /// The caller was told that the job's outcome is unknown.
    JobUnknown,
    /// The job was cancelled.
    JobCancelled,
    /// The job's answer was dropped to keep to the memory bound or at the end
    /// of the resubmission window.
    JobForgotten,
    /// A task was handed to a connection to a minion.
    TaskSent,
    /// The minion answered the task.
    TaskAnswered,
    /// The minion said that the task failed.
    TaskFailed,
    /// The task's connection was lost, so that it may have run.
    TaskLost,
    /// The task provably did not start.
    TaskNotStarted,
    /// A task that did not start was sent to another minion.
    TaskResent,
    /// A minion was ejected as an outlier.
    MinionEjected,
    /// A single task was sent to an ejected minion to see whether it recovered.
    MinionProbed,
    /// An ejected minion gets work again.
    MinionReadmitted,
    /// A minion is leaving and gets no new work.
    MinionLeaving,
    /// A peer answers.
    PeerLive(VmId),
    /// A peer missed heartbeats.
    PeerSuspect(VmId),
    /// A peer is taken to be gone.
    PeerGone(VmId),
    /// A peer that was suspect or gone answers again.
    PeerReturned(VmId),
    /// The sheet of this offset is in force here.
    SheetInForce(Offset),
    /// The sheet change at this offset was refused.
    SheetRefused(Offset),
    /// A full sheet was appended again, at this offset, before it expires.
    SheetRenewed(Offset),
    /// The sheet of this offset was taken over from a peer.
    SheetAdopted(Offset),
    /// The log has trimmed records up to this offset that were not read yet.
    SheetGap(Offset),
    /// The platform's log can't be reached.
    LogAway,
    /// The platform's log answers again.
    LogBack,
    /// The answer to an append was lost.
    AppendUnknown,
    /// The fate of an append whose answer was lost is known.
    AppendResolved,
    /// The VM's process started.
    VmStarted,
    /// The VM is ready for callers.
    VmReady,
    /// The VM takes no new jobs and finishes those in flight.
    VmStopping,
    /// The VM passed its tickets and kept answers to this successor.
    VmHandover(VmId),
    /// The VM stopped.
    VmStopped,
    /// A team's jobs hold as many slots as its quota allows.
    QuotaReached(Team),
    /// A message of another protocol version was refused.
    VersionRefused,
    /// A message that can't be read was refused.
    BrokenRefused,
}

/// How much an event matters to a person on call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// One step of normal work.
    Routine,
    /// A decision, or something that went wrong.
    Notable,
}

impl EventKind {
    /// Returns the stable word for the event in texts and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            EventKind::JobReceived => "job_received",
            EventKind::JobAdmitted => "job_admitted",
            EventKind::JobQueued => "job_queued",
            EventKind::JobPassed(_) => "job_passed",
            EventKind::JobAttached => "job_attached",
            EventKind::JobClaimed(_) => "job_claimed",
            EventKind::JobRefused => "job_refused",
            EventKind::JobCompleted => "job_completed",
            EventKind::JobFailed => "job_failed",
            EventKind::JobUnknown => "job_unknown",
            EventKind::JobCancelled => "job_cancelled",
            EventKind::JobForgotten => "job_forgotten",
            EventKind::TaskSent => "task_sent",
            EventKind::TaskAnswered => "task_answered",
            EventKind::TaskFailed => "task_failed",
            EventKind::TaskLost => "task_lost",
            EventKind::TaskNotStarted => "task_not_started",
            EventKind::TaskResent => "task_resent",
            EventKind::MinionEjected => "minion_ejected",
            EventKind::MinionProbed => "minion_probed",
            EventKind::MinionReadmitted => "minion_readmitted",
            EventKind::MinionLeaving => "minion_leaving",
            EventKind::PeerLive(_) => "peer_live",
            EventKind::PeerSuspect(_) => "peer_suspect",
            EventKind::PeerGone(_) => "peer_gone",
            EventKind::PeerReturned(_) => "peer_returned",
            EventKind::SheetInForce(_) => "sheet_in_force",
            EventKind::SheetRefused(_) => "sheet_refused",
            EventKind::SheetRenewed(_) => "sheet_renewed",
            EventKind::SheetAdopted(_) => "sheet_adopted",
            EventKind::SheetGap(_) => "sheet_gap",
            EventKind::LogAway => "log_away",
            EventKind::LogBack => "log_back",
            EventKind::AppendUnknown => "append_unknown",
            EventKind::AppendResolved => "append_resolved",
            EventKind::VmStarted => "vm_started",
            EventKind::VmReady => "vm_ready",
            EventKind::VmStopping => "vm_stopping",
            EventKind::VmHandover(_) => "vm_handover",
            EventKind::VmStopped => "vm_stopped",
            EventKind::QuotaReached(_) => "quota_reached",
            EventKind::VersionRefused => "version_refused",
            EventKind::BrokenRefused => "broken_refused",
        }
    }

    /// Tells routine steps from what a person on call wants to see.
    pub fn weight(&self) -> Weight {
        match self {
            EventKind::JobReceived
            | EventKind::JobAdmitted
            | EventKind::JobQueued
            | EventKind::JobPassed(_)
            | EventKind::JobAttached
            | EventKind::JobClaimed(_)
            | EventKind::JobCompleted
            | EventKind::JobForgotten
            | EventKind::TaskSent
            | EventKind::TaskAnswered => Weight::Routine,
            _ => Weight::Notable,
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventKind::JobPassed(vm) => write!(f, "job passed to {vm}"),
            EventKind::JobClaimed(at) => write!(f, "job claimed at offset {at}"),
            EventKind::PeerLive(vm) => write!(f, "peer {vm} live"),
            EventKind::PeerSuspect(vm) => write!(f, "peer {vm} suspect"),
            EventKind::PeerGone(vm) => write!(f, "peer {vm} gone"),
            EventKind::PeerReturned(vm) => write!(f, "peer {vm} returned"),
            EventKind::SheetInForce(at) => write!(f, "sheet {at} in force"),
            EventKind::SheetRefused(at) => write!(f, "sheet change {at} refused"),
            EventKind::SheetRenewed(at) => write!(f, "sheet renewed at offset {at}"),
            EventKind::SheetAdopted(at) => write!(f, "sheet {at} adopted from a peer"),
            EventKind::SheetGap(at) => write!(f, "sheet records up to {at} trimmed unread"),
            EventKind::VmHandover(vm) => write!(f, "vm handed over to {vm}"),
            EventKind::QuotaReached(team) => write!(f, "quota of {team} reached"),
            plain => plain
                .word()
                .split('_')
                .enumerate()
                .try_for_each(|(i, part)| write!(f, "{}{part}", if i == 0 { "" } else { " " })),
        }
    }
}

/// The stable word for why something happened, such as `wire::Reason::word`
/// gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cause(CompactString);

impl Cause {
    /// Returns the word.
    pub fn word(&self) -> &str {
        &self.0
    }
}

impl From<&'static str> for Cause {
    fn from(word: &'static str) -> Cause {
        Cause(CompactString::const_new(word))
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a caller of [`crate::Recorder::record`] knows of an event; the recorder
/// adds when and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub what: EventKind,
    /// The job that it concerns.
    pub job: Option<JobKey>,
    /// The task within the job.
    pub task: Option<TaskId>,
    /// The minion that it concerns.
    pub minion: Option<MinionId>,
    /// Why it happened.
    pub cause: Option<Cause>,
}

impl Note {
    /// Makes a note that names nothing yet.
    pub fn new(what: EventKind) -> Note {
        Note {
            what,
            job: None,
            task: None,
            minion: None,
            cause: None,
        }
    }

    /// Names the job.
    pub fn job(mut self, job: &JobKey) -> Note {
        self.job = Some(job.clone());
        self
    }

    /// Names the task.
    pub fn task(mut self, task: &TaskId) -> Note {
        self.task = Some(task.clone());
        self
    }

    /// Names the minion.
    pub fn minion(mut self, minion: &MinionId) -> Note {
        self.minion = Some(minion.clone());
        self
    }

    /// Gives the cause.
    pub fn cause(mut self, cause: impl Into<Cause>) -> Note {
        self.cause = Some(cause.into());
        self
    }
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, on the hybrid logical clock.
    pub at: Stamp,
    /// The VM that recorded it.
    pub process: VmId,
    /// The life of that VM's process.
    #[serde(with = "crate::text")]
    pub incarnation: Incarnation,
    /// The job that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobKey>,
    /// The task within the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskId>,
    /// The minion that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub minion: Option<MinionId>,
    /// What happened.
    pub what: EventKind,
    /// Why it happened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}
