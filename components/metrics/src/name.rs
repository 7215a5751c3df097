//! All metrics. The meaning of a metric's name never changes.

/// Defines an enum of metrics of one type, each with its stable name and a help
/// sentence for operators.
macro_rules! metric_enum {
    ($(#[$doc:meta])* $type:ident { $($variant:ident, $name:literal, $help:literal;)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $(#[doc = $help] $variant,)*
        }

        impl $type {
            /// All metrics of this type, in order of declaration.
            pub const ALL: &[$type] = &[$($type::$variant,)*];

            /// Returns the stable name, without the program's prefix.
            pub const fn name(self) -> &'static str {
                match self {
                    $($type::$variant => $name,)*
                }
            }

            /// Returns the help sentence for operators.
            pub const fn help(self) -> &'static str {
                match self {
                    $($type::$variant => $help,)*
                }
            }
        }
    };
}

metric_enum! {
    /// A counter. Those whose names begin with `waste.` count messages beyond
    /// one request and one answer per task, by cause.
    Count {
        RequestRefused, "requests.refused", "Requests of callers refused as malformed.";
        JobReceived, "jobs.received", "Jobs that arrived from callers or were passed here by peers.";
        JobComplete, "jobs.complete", "Jobs answered completely.";
        JobNotRun, "jobs.not_run", "Failed jobs of which nothing was sent.";
        JobMayHaveRun, "jobs.may_have_run", "Failed jobs of which some tasks may have run.";
        JobUnknown, "jobs.unknown", "Jobs whose outcome this VM could not determine.";
        JobCancelled, "jobs.cancelled", "Jobs cancelled by their callers.";
        JobAttached, "jobs.attached", "Resubmissions attached to a job already known.";
        JobForgotten, "jobs.forgotten", "Kept answers dropped to stay within the memory limit.";
        TaskSent, "tasks.sent", "Tasks sent to minions.";
        TaskAnswered, "tasks.answered", "Tasks that their minion answered.";
        TaskFailed, "tasks.failed", "Tasks that their minion reported as failed.";
        TaskLost, "tasks.lost", "Tasks whose connection was lost, so that they may have run.";
        MinionEjected, "minions.ejected", "Ejections of minions as outliers.";
        SheetRefused, "sheet.refused", "Changes of the sheet that were refused.";
        HeartbeatSent, "peers.heartbeats", "Heartbeats sent to peers.";
        HeartbeatReceived, "peers.heartbeats_in", "Heartbeats received from peers.";
        HeartbeatBytes, "peers.heartbeat_bytes", "Bytes of heartbeats sent, without packet headers.";
        HeartbeatBytesIn, "peers.heartbeat_bytes_in", "Bytes of heartbeats received, without packet headers.";
        PeerBytes, "peers.bytes", "Bytes of calls to peers.";
        PeerBytesIn, "peers.bytes_in", "Bytes of peers' answers.";
        PeerOpened, "peers.opened", "Connections opened to peers.";
        MinionBytes, "minions.bytes", "Bytes of orders to minions.";
        MinionBytesIn, "minions.bytes_in", "Bytes of minions' answers.";
        MinionOpened, "minions.opened", "Connections opened to minions.";
        ClientRefused, "clients.refused", "Requests refused because the memory for requests was spent.";
        ClientClosed, "clients.closed", "Connections that waited for their client and were closed for new ones.";
        HoldSent, "holds.sent", "Holds sent to minions.";
        EvidenceRefused, "peers.run_times_refused", "Reports of run times from other VMs refused as not plausible.";
        DigestSent, "peers.digests", "Digests sent to peers of the domain.";
        JobExpired, "jobs.expired", "Jobs that ran and did not end before their deadline.";
        JobFailed, "jobs.failed", "Jobs that failed because a task used up its attempts.";
        JobRepeated, "jobs.repeated", "Jobs run again because their owner was lost.";
        JobOffered, "jobs.offered", "Offers of a refused job to another shard with room for it.";
        StartUntaken, "starts.untaken", "Starts that a minion did not accept.";
        RunLost, "runs.lost", "Runs that ended with their minion, without a report of their end.";
        CrashConfirmed, "runs.crashed", "Runs lost with a minion that has restarted since.";
        TaskGivenUp, "tasks.given_up", "Tasks given up because minions crashed under them.";
        RunStopped, "runs.stopped", "Stops sent for runs.";
        CallLate, "calls.late", "Calls of other VMs that were not accepted because they may have been on their way for too long.";
        HoldMissed, "holds.missed", "Holds that a minion did not answer.";
        MinionFenced, "minions.fenced", "Orders that a minion refused because of their fencing token.";
        ShardTaken, "shards.taken", "Shards that this VM took or accepted.";
        ShardYielded, "shards.yielded", "Shards that this VM gave up or handed over.";
        EventMissed, "timeline.missed", "Events that the time line could not record.";
        WasteNotStarted, "waste.not_started", "Tasks that a minion refused or that failed to leave this VM.";
        WasteResent, "waste.resent", "Tasks sent again after they provably did not start.";
        WasteCancel, "waste.cancel", "Connections closed to end running tasks of jobs that had ended.";
        WasteProbe, "waste.probe", "Single tasks sent to ejected minions to see whether they recovered.";
        WastePassed, "waste.passed", "Messages to peers for jobs that they own.";
        WasteClaim, "waste.claim", "Appends to the log that claimed keys.";
        WasteBroken, "waste.broken", "Messages refused because they could not be read.";
        WasteVersion, "waste.version", "Messages refused because of their protocol version.";
    }
}

metric_enum! {
    /// A gauge: a value that can rise and fall.
    Gauge {
        JobsRunning, "jobs.running", "Jobs in flight.";
        TasksQueued, "tasks.queued", "Tasks that wait for a slot.";
        TasksRunning, "tasks.running", "Tasks sent to minions and not yet answered.";
        MinionsEjected, "minions.out", "Minions that are ejected now.";
        MinionsLeaving, "minions.leaving", "Minions that are leaving.";
        CrashRecords, "crashes.records", "Runs lost with their minions that this VM keeps records of.";
        ShardsUneven, "shards.uneven", "Shards of this VM whose tasks are placed by their predicted end, as kinds of minions differ in speed.";
        SpeedContrast, "minions.speed_contrast", "Mean run time on the slowest kind of minion in percent of that on the fastest, 100 if kinds do not differ.";
        PeersLive, "peers.live", "Peers that this VM considers live.";
        SheetOffset, "sheet.offset", "The offset of the sheet in force.";
        LogAway, "log.away", "1 while the platform's log can't be reached, else 0.";
        ShardsOwned, "shards.owned", "Shards that this VM owns.";
        MinionsHeld, "minions.held", "Minions of this VM's shards that may get work.";
        CoresFree, "cores.free", "Free cores of the minions that may get work.";
        ConfigurationVersion, "configuration.version", "The version of the configuration in force.";
        DomainsEvacuated, "domains.evacuated", "Failure domains that are being evacuated, as far as this VM knows.";
        EvacuationOffset, "evacuations.offset", "The offset of the operator's topic up to which this VM knows the evacuations.";
        KeptBytes, "jobs.kept_bytes", "Bytes of answers kept for resubmissions.";
        ClientMemory, "clients.memory", "Bytes of the memory for requests that are reserved.";
        ClientConnections, "clients.connections", "Open connections of clients.";
        HeartbeatAge, "peers.heartbeat_age", "Milliseconds since the oldest report of a known owner.";
        TeamsAtQuota, "teams.at_quota", "Teams whose jobs hold all slots of their quota.";
    }
}

metric_enum! {
    /// A timing, sent to statsd in milliseconds.
    Timing {
        Response, "jobs.response", "Time from a job's submission to its outcome.";
        TaskRun, "tasks.run", "Time from sending a task to its answer.";
    }
}

impl Count {
    /// Returns whether this counts wasted messages.
    pub fn is_waste(self) -> bool {
        self.name().starts_with("waste.")
    }
}
