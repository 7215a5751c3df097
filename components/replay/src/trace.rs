//! A recorded trace: the actions of callers and operators, the faults, and the
//! expected results. docs/REPLAY.md describes the format.

use compact_str::{CompactString, format_compact};
use kernel::{Cores, Domain, Millis, MinionId, Service, Slots, Team, VmId};
use serde::Deserialize;

/// A parsed and checked trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Fleet on which the trace runs.
    pub fleet: FleetPlan,
    /// Actions and faults in order of time.
    pub steps: Vec<Step>,
    /// Expectations, checked at the end of the replay.
    pub expects: Vec<Expect>,
}

/// The machines of a fleet, the same in each failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlan {
    /// Failure domains of the fleet.
    pub domains: Vec<Domain>,
    /// Number of entry VMs in each failure domain.
    pub vms: u32,
    /// Number of minions in each failure domain.
    pub minions: u32,
    /// Number of slots of each minion.
    pub slots: Slots,
    /// Services that every minion offers.
    pub services: Vec<Service>,
}

impl Default for FleetPlan {
    fn default() -> FleetPlan {
        let domains = ["a", "b", "c"];
        FleetPlan {
            domains: domains.iter().filter_map(|d| d.parse().ok()).collect(),
            vms: 2,
            minions: 4,
            slots: Slots(8),
            services: "quote".parse().into_iter().collect(),
        }
    }
}

impl FleetPlan {
    /// Returns the entry VMs with their failure domains.
    pub fn vms(&self) -> Vec<(VmId, Domain)> {
        let vm = |d: &Domain, n| format_compact!("{d}/vm-{n}").try_into().ok();
        let each = |d| (0..self.vms).filter_map(move |n| Some((vm(d, n)?, d.clone())));
        self.domains.iter().flat_map(each).collect()
    }

    /// Returns the minions with their failure domains.
    pub fn minions(&self) -> Vec<(MinionId, Domain)> {
        let minion = |d: &Domain, n| format_compact!("{d}/m-{n}").try_into().ok();
        let each = |d| (0..self.minions).filter_map(move |n| Some((minion(d, n)?, d.clone())));
        self.domains.iter().flat_map(each).collect()
    }
}

/// An action and its time.
#[derive(Debug, Clone)]
pub struct Step {
    /// Time since the start of the trace.
    pub at: Millis,
    /// Action that begins at that time.
    pub action: Action,
}

/// An action in a trace.
#[derive(Debug, Clone)]
pub enum Action {
    /// A caller submits a job.
    Submit(Submit),
    /// A caller cancels a job.
    Cancel(Cancel),
    /// The caller of a job's last submission drops its connection.
    Disconnect(Disconnect),
    /// A fault begins; it ends after the time given, if any.
    Fault(Fault, Option<Millis>),
    /// An operator publishes a sheet.
    Publish(Publish),
}

/// The submission of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// Name of the job in the trace, which is also its key if [`Keys::Bare`]
    /// applies.
    pub job: CompactString,
    /// Team that submits the job.
    pub team: Team,
    /// VM that the balancer picked.
    pub via: VmId,
    /// Service that runs the job.
    pub service: Service,
    /// Whether the caller declares the job idempotent, so that a second run does no
    /// harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Tasks of the job.
    pub tasks: Vec<Task>,
    /// Source of the key; the job's first submission determines it.
    pub keys: Option<Keys>,
}

/// The source of a job's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Keys {
    /// The caller chooses the key.
    #[default]
    Bare,
    /// A VM mints the key as a ticket.
    Ticket,
}

/// A task of a submitted job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Actual run time in milliseconds.
    pub run_ms: u64,
    /// Run time that the caller declares, in milliseconds.
    pub declared_ms: Option<u64>,
    /// Whether the task fails.
    #[serde(default)]
    pub fails: bool,
    /// Resources that the task needs on its worker.
    pub needs: Option<Needs>,
}

/// The resources that a task needs on its worker.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// Number of cores.
    pub cores: Cores,
}

/// The cancellation of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// Name of the job.
    pub job: CompactString,
    /// VM to which the cancellation is sent.
    pub via: VmId,
}

/// A caller that drops its connection before the answer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disconnect {
    /// Name of the job.
    pub job: CompactString,
}

/// A fault injected into the fleet or its environment.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A fault of a minion.
    Minion(MinionId, MinionFault),
    /// A fault of an entry VM.
    Vm(VmId, VmFault),
    /// A fault of the platform's log.
    Log(LogFault),
    /// A failure domain is cut off from the others and from the platform.
    Cut(Domain),
}

impl Fault {
    /// Returns the fault's `kind` as written in traces.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Minion(_, MinionFault::Dies) => "minion_dies",
            Fault::Minion(_, MinionFault::FailsAll) => "minion_fails_all",
            Fault::Minion(_, MinionFault::Slow(_)) => "minion_slow",
            Fault::Minion(_, MinionFault::Leaves) => "minion_leaves",
            Fault::Minion(_, MinionFault::Silent) => "minion_silent",
            Fault::Vm(_, VmFault::Dies) => "vm_dies",
            Fault::Vm(_, VmFault::Returns) => "vm_returns",
            Fault::Vm(_, VmFault::Stops) => "vm_stops",
            Fault::Vm(_, VmFault::Pauses) => "vm_pauses",
            Fault::Log(LogFault::Down) => "log_down",
            Fault::Log(LogFault::Slow(_)) => "log_slow",
            Fault::Log(LogFault::LosesAnswers) => "log_loses_answers",
            Fault::Log(LogFault::Trims(_)) => "log_trims",
            Fault::Cut(_) => "domain_cut",
        }
    }
}

/// A fault of a minion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MinionFault {
    /// The minion dies, with the tasks that run on it.
    Dies,
    /// The minion fails every task that it starts.
    FailsAll,
    /// The minion's run times are multiplied by this factor.
    Slow(f64),
    /// The platform lists the minion as leaving.
    Leaves,
    /// The minion's connections that are open now go silent for good.
    Silent,
}

/// A fault of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmFault {
    /// The VM dies without notice.
    Dies,
    /// The VM starts again with no state kept.
    Returns,
    /// The VM makes a planned stop.
    Stops,
    /// The VM neither sends nor receives for a time.
    Pauses,
}

/// A fault of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFault {
    /// The log refuses requests or leaves them unanswered.
    Down,
    /// The log delays each request by this time.
    Slow(Millis),
    /// Appends take effect, but their answers are lost.
    LosesAnswers,
    /// The log drops all but this many of the newest records.
    Trims(usize),
}

/// The publication of a sheet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Name of the operator.
    pub by: CompactString,
    /// Place where the sheet is published; only the platform accepts sheets.
    pub via: Via,
    /// Rows of the sheet, which may be invalid.
    pub rows: Vec<Vec<CompactString>>,
    /// Sheet that the change is made against.
    #[serde(default)]
    pub base: Base,
}

/// The place where a sheet is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Via {
    /// The platform's log.
    Platform,
}

/// The sheet that a change is made against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// The sheet in force.
    #[default]
    Current,
    /// The sheet before the one in force.
    Stale,
}

/// The answer that a job's caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// All tasks of the job have answered.
    Complete,
    /// The job failed and may have run.
    Failed,
    /// The job failed and did not run.
    NotRun,
}

/// The verdict on a published sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The sheet came into force on every live VM.
    InForce,
    /// The sheet was refused, as its base was stale or its rows were invalid.
    Refused,
    /// There was no verdict by the end of the replay, for instance because the
    /// platform was away.
    Undecided,
}

/// An expectation and its line in the trace.
#[derive(Debug, Clone)]
pub struct Expect {
    /// Line number in the trace.
    pub line: usize,
    /// Expected result.
    pub what: Expectation,
}

/// An expected result.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// Every answer to the job is one of these, and there is at least one.
    Job(CompactString, Vec<Answer>),
    /// The publication of this number, from 1, gets this verdict.
    Publish(usize, Verdict),
    /// This field of the summary is within the bounds.
    Total(CompactString, Bounds),
}

/// Bounds on a total, inclusive.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bounds {
    /// Greatest value allowed.
    pub at_most: Option<f64>,
    /// Least value allowed.
    pub at_least: Option<f64>,
    /// Only value allowed.
    pub equals: Option<f64>,
}

impl Bounds {
    /// Returns whether a value is within the bounds.
    pub fn contains(&self, value: f64) -> bool {
        self.at_most.is_none_or(|max| value <= max)
            && self.at_least.is_none_or(|min| value >= min)
            && self.equals.is_none_or(|expected| value == expected)
    }
}
