//! The metrics and their names, which never change their meaning.

/// Defines metrics of one type, each with its name and a sentence for
/// operators.
macro_rules! names {
    ($(#[$doc:meta])* $type:ident { $($variant:ident, $name:literal, $help:literal;)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $(#[doc = $help] $variant,)*
        }

        impl $type {
            /// All of them, in the order of their declaration.
            pub const ALL: &[$type] = &[$($type::$variant,)*];

            /// Returns the stable name, without the program's prefix.
            pub const fn name(self) -> &'static str {
                match self {
                    $($type::$variant => $name,)*
                }
            }

            /// Returns one sentence for operators.
            pub const fn help(self) -> &'static str {
                match self {
                    $($type::$variant => $help,)*
                }
            }
        }
    };
}

names! {
    /// What is counted. Those that begin with `waste.` are the messages beyond
    /// one request and one answer a task, by cause.
    Count {
        RequestRefused, "requests.refused", "Requests of callers refused as malformed.";
        JobReceived, "jobs.received", "Jobs that arrived from callers or were passed here by peers.";
        JobComplete, "jobs.complete", "Jobs answered completely.";
        JobNotRun, "jobs.not_run", "Jobs failed of which nothing was sent.";
        JobMayHaveRun, "jobs.may_have_run", "Jobs failed of which something may have run.";
        JobUnknown, "jobs.unknown", "Jobs whose outcome this VM could not tell.";
        JobCancelled, "jobs.cancelled", "Jobs cancelled by their callers.";
        JobAttached, "jobs.attached", "Resubmissions attached to a job already known.";
        JobForgotten, "jobs.forgotten", "Kept answers dropped to keep to the memory bound.";
        TaskSent, "tasks.sent", "Tasks sent to minions.";
        TaskAnswered, "tasks.answered", "Tasks that their minion answered.";
        TaskFailed, "tasks.failed", "Tasks that their minion said failed.";
        TaskLost, "tasks.lost", "Tasks whose connection was lost, so that they may have run.";
        MinionEjected, "minions.ejected", "Ejections of minions as outliers.";
        SheetRefused, "sheet.refused", "Changes of the sheet that were refused.";
        HeartbeatSent, "peers.heartbeats", "Heartbeats sent to peers.";
        DigestSent, "peers.digests", "Digests sent to peers of the domain.";
        JobExpired, "jobs.expired", "Jobs that ran and did not end before their deadline.";
        JobFailed, "jobs.failed", "Jobs of which a task failed as often as it may.";
        JobRepeated, "jobs.repeated", "Jobs run again because their owner was lost.";
        StartUntaken, "starts.untaken", "Starts that a minion did not take.";
        RunStopped, "runs.stopped", "Stops sent for runs.";
        HoldMissed, "holds.missed", "Holds that a minion did not answer.";
        MinionFenced, "minions.fenced", "Orders that a minion refused for their token.";
        ShardTaken, "shards.taken", "Shards that this VM took or accepted.";
        ShardYielded, "shards.yielded", "Shards that this VM gave up or handed over.";
        EventMissed, "timeline.missed", "Events that the time line could not record.";
        WasteNotStarted, "waste.not_started", "Tasks sent that a minion turned away or that never left.";
        WasteResent, "waste.resent", "Tasks sent again after they provably did not start.";
        WasteCancel, "waste.cancel", "Connections closed to end running tasks of jobs that had ended.";
        WasteProbe, "waste.probe", "Single tasks sent to ejected minions to see whether they recovered.";
        WastePassed, "waste.passed", "Messages to peers for jobs that they own.";
        WasteClaim, "waste.claim", "Appends to the log that claimed keys.";
        WasteBroken, "waste.broken", "Messages refused because they could not be read.";
        WasteVersion, "waste.version", "Messages refused because of their protocol version.";
    }
}

names! {
    /// What has a level.
    Gauge {
        JobsRunning, "jobs.running", "Jobs in flight.";
        TasksQueued, "tasks.queued", "Tasks that wait for a slot.";
        TasksRunning, "tasks.running", "Tasks at minions.";
        MinionsEjected, "minions.out", "Minions that are ejected now.";
        MinionsLeaving, "minions.leaving", "Minions that are leaving.";
        PeersLive, "peers.live", "Peers that answer.";
        SheetOffset, "sheet.offset", "The offset of the sheet in force.";
        LogAway, "log.away", "1 while the platform's log can't be reached, else 0.";
        ShardsOwned, "shards.owned", "Shards that this VM owns.";
        MinionsHeld, "minions.held", "Minions of this VM's shards that may get work.";
        CoresFree, "cores.free", "Free cores of those minions.";
        ConfigurationVersion, "configuration.version", "The version of the configuration in force.";
        KeptBytes, "jobs.kept_bytes", "Bytes of answers kept for resubmissions.";
        TeamsAtQuota, "teams.at_quota", "Teams whose jobs hold all slots of their quota.";
    }
}

names! {
    /// What is timed, in milliseconds.
    Timing {
        Response, "jobs.response", "From a job's submission to its outcome.";
        TaskRun, "tasks.run", "From a task's sending to its answer.";
    }
}

impl Count {
    /// Tells whether this counts wasted messages.
    pub fn is_waste(self) -> bool {
        self.name().starts_with("waste.")
    }
}
