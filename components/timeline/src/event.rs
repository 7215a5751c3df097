//! Events of the time line.

use std::fmt;

use compact_str::CompactString;
use kernel::{Incarnation, JobKey, MinionId, Offset, TaskId, Team, VmId};
use serde::{Deserialize, Serialize};

use crate::Stamp;

/// The kind of an event, with its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A job arrived from a caller or a peer.
    JobReceived,
    /// The job was admitted.
    JobAdmitted,
    /// The job was queued until slots are free.
    JobQueued,
    /// The job was passed to the VM that owns its key.
    JobPassed(VmId),
    /// A resubmission was attached to the job already known under its key.
    JobAttached,
    /// The job's key was claimed in the log at this offset.
    JobClaimed(Offset),
    /// The job was refused and has not run.
    JobRefused,
    /// The job completed: each of its tasks was answered.
    JobCompleted,
    /// The job failed.
    JobFailed,
    /// The caller was told that the job's outcome is unknown.
    JobUnknown,
    /// The job was cancelled.
    JobCancelled,
    /// The job's answer was dropped, because of the memory limit or at the end of
    /// the resubmission window.
    JobForgotten,
    /// A task was sent to a minion.
    TaskSent,
    /// The minion answered the task.
    TaskAnswered,
    /// The minion reported that the task failed.
    TaskFailed,
    /// The connection was lost before the minion answered, so the task may have run.
    TaskLost,
    /// The task provably did not start.
    TaskNotStarted,
    /// A task that did not start was sent to another minion.
    TaskResent,
    /// A minion was ejected as an outlier.
    MinionEjected,
    /// A single task was sent to an ejected minion to check whether it has
    /// recovered.
    MinionProbed,
    /// An ejected minion gets work again.
    MinionReadmitted,
    /// A minion is leaving and gets no new work.
    MinionLeaving,
    /// A peer responds.
    PeerLive(VmId),
    /// A peer missed heartbeats.
    PeerSuspect(VmId),
    /// A peer is considered gone.
    PeerGone(VmId),
    /// A peer that was suspect or gone responds again.
    PeerReturned(VmId),
    /// The sheet at this offset is in force on this VM.
    SheetInForce(Offset),
    /// The sheet change at this offset was refused.
    SheetRefused(Offset),
    /// The full sheet was appended again, at this offset, before its previous
    /// record expires.
    SheetRenewed(Offset),
    /// The sheet at this offset was adopted from a peer.
    SheetAdopted(Offset),
    /// The log trimmed records up to this offset before this VM had read them.
    SheetGap(Offset),
    /// The platform's log can't be reached.
    LogAway,
    /// The platform's log can be reached again.
    LogBack,
    /// The response to an append was lost, so the record may be in the log.
    AppendUnknown,
    /// An append whose response was lost was found to be in the log or not.
    AppendResolved,
    /// The VM's process started.
    VmStarted,
    /// The VM is ready for callers.
    VmReady,
    /// The VM accepts no new jobs and finishes those in flight.
    VmStopping,
    /// The VM handed its tickets and stored answers over to this successor.
    VmHandover(VmId),
    /// The VM stopped.
    VmStopped,
    /// A team's jobs hold as many slots as its quota allows.
    QuotaReached(Team),
    /// A message of another protocol version was refused.
    VersionRefused,
    /// A malformed message was refused.
    BrokenRefused,
}

/// Importance of an event to a person on call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// A step of normal operation.
    Routine,
    /// A decision or a failure.
    Notable,
}

impl EventKind {
    /// Returns the name of the event kind in texts and metrics. Names never change.
    pub fn name(&self) -> &'static str {
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

    /// Returns how important the event is to a person on call.
    pub fn severity(&self) -> Severity {
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
            | EventKind::TaskAnswered => Severity::Routine,
            _ => Severity::Notable,
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
            other => other
                .name()
                .split('_')
                .enumerate()
                .try_for_each(|(i, part)| write!(f, "{}{part}", if i == 0 { "" } else { " " })),
        }
    }
}

/// The name of the reason for an event, such as `silent` or `connection_lost`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cause(CompactString);

impl Cause {
    /// Returns the name of the reason.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&'static str> for Cause {
    fn from(name: &'static str) -> Cause {
        Cause(CompactString::const_new(name))
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The part of an event that the caller of [`crate::Recorder::record`] provides.
/// The recorder adds the time, the VM and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Kind of the event.
    pub what: EventKind,
    /// The job that the event concerns.
    pub job: Option<JobKey>,
    /// The task within the job.
    pub task: Option<TaskId>,
    /// The minion that the event concerns.
    pub minion: Option<MinionId>,
    /// The reason for the event.
    pub cause: Option<Cause>,
}

impl Note {
    /// Creates a note without job, task, minion and cause.
    pub fn new(what: EventKind) -> Note {
        Note {
            what,
            job: None,
            task: None,
            minion: None,
            cause: None,
        }
    }

    /// Sets the job.
    pub fn job(mut self, job: &JobKey) -> Note {
        self.job = Some(job.clone());
        self
    }

    /// Sets the task.
    pub fn task(mut self, task: &TaskId) -> Note {
        self.task = Some(task.clone());
        self
    }

    /// Sets the minion.
    pub fn minion(mut self, minion: &MinionId) -> Note {
        self.minion = Some(minion.clone());
        self
    }

    /// Sets the cause.
    pub fn cause(mut self, cause: impl Into<Cause>) -> Note {
        self.cause = Some(cause.into());
        self
    }
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The time of the event on the hybrid logical clock.
    pub at: Stamp,
    /// The VM that recorded the event.
    pub process: VmId,
    /// The incarnation of that VM's process.
    #[serde(with = "crate::text")]
    pub incarnation: Incarnation,
    /// The job that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobKey>,
    /// The task within the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskId>,
    /// The minion that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub minion: Option<MinionId>,
    /// Kind of the event.
    pub what: EventKind,
    /// The reason for the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}
