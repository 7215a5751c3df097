//! A recorded trace: what callers, operators and faults do, and what is
//! expected of the answers. The format is described in docs/REPLAY.md.

use compact_str::{CompactString, format_compact};
use kernel::{Cores, Domain, Millis, MinionId, Service, Slots, Team, VmId};
use serde::Deserialize;

/// A checked trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The fleet that it runs on.
    pub fleet: FleetPlan,
    /// What happens, in order of time.
    pub steps: Vec<Step>,
    /// What is expected in the end.
    pub expects: Vec<Expect>,
}

/// The machines of a fleet, alike in each failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlan {
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// The entry VMs of each failure domain.
    pub vms: u32,
    /// The minions of each failure domain.
    pub minions: u32,
    /// The slots of each minion.
    pub slots: Slots,
    /// The services that every minion offers.
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

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub struct Step {
    /// The time from the start.
    pub at: Millis,
    /// What happens.
    pub action: Action,
}

/// What can happen.
#[derive(Debug, Clone)]
pub enum Action {
    /// A caller submits a job.
    Submit(Submit),
    /// A caller cancels a job.
    Cancel(Cancel),
    /// The caller of a job's last submission drops its connection.
    HangUp(HangUp),
    /// A fault begins.
    Fault(Fault, Option<Millis>),
    /// An operator publishes a sheet.
    Publish(Publish),
}

/// The submission of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The job's name in the trace, which is its key when the caller makes it
    /// up.
    pub job: CompactString,
    /// The team that submits it.
    pub team: Team,
    /// The VM that the balancer picked.
    pub via: VmId,
    /// The service that is to run it.
    pub service: Service,
    /// Whether the caller says that a second run would do no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Where the key comes from; the first submission of a job decides.
    pub keys: Option<Keys>,
}

/// Where a job's key comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Keys {
    /// The caller makes it up.
    #[default]
    Bare,
    /// A VM mints it.
    Ticket,
}

/// One task of a submitted job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The true run time in milliseconds.
    pub run_ms: u64,
    /// The run time that the caller declares, in milliseconds.
    pub declared_ms: Option<u64>,
    /// Whether the minion answers failure.
    #[serde(default)]
    pub fails: bool,
    /// What the task needs of its worker.
    pub needs: Option<Needs>,
}

/// What a task needs of its worker.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// The cores.
    pub cores: Cores,
}

/// The cancellation of a job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The job.
    pub job: CompactString,
    /// The VM that is told.
    pub via: VmId,
}

/// The end of a caller's patience.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HangUp {
    /// The job.
    pub job: CompactString,
}

/// A fault of the fleet or of its surroundings.
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
    /// Returns the word for the fault's kind in traces.
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
    /// It is gone, with the tasks that it runs.
    Dies,
    /// It fails every task that it starts.
    FailsAll,
    /// Its run times are multiplied.
    Slow(f64),
    /// The platform lists it as leaving.
    Leaves,
    /// The connections that are open now go silent for good.
    Silent,
}

/// A fault of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmFault {
    /// It is gone without notice.
    Dies,
    /// It starts new, with nothing kept.
    Returns,
    /// It is stopped as planned.
    Stops,
    /// It neither sends nor receives for a time.
    Pauses,
}

/// A fault of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFault {
    /// It refuses or leaves unanswered.
    Down,
    /// Each request waits beforehand.
    Slow(Millis),
    /// Appends take effect and their answers are lost.
    LosesAnswers,
    /// All but so many of the newest records go.
    Trims(usize),
}

/// The publication of a sheet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// The operator.
    pub by: CompactString,
    /// Where it is published; only the platform takes sheets.
    pub via: Via,
    /// The sheet's lines, which may be bad.
    pub rows: Vec<Vec<CompactString>>,
    /// The sheet that it was made against.
    #[serde(default)]
    pub base: Base,
}

/// Where a sheet is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Via {
    /// On the platform's log.
    Platform,
}

/// The sheet that a change was made against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// The one in force.
    #[default]
    Current,
    /// The one before it.
    Stale,
}

/// What a job's callers are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// All tasks have answered.
    Complete,
    /// The job failed and may have run.
    Failed,
    /// The job failed and did not run.
    NotRun,
}

/// What becomes of a published sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was in force on every live VM.
    InForce,
    /// Its base was stale or its rows were bad.
    Refused,
    /// The platform was away to the end.
    Undecided,
}

/// What is expected in the end.
#[derive(Debug, Clone)]
pub struct Expect {
    /// The trace's line.
    pub line: usize,
    /// The expectation.
    pub what: Expectation,
}

/// An expectation.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// Every answer to the job is one of these.
    Job(CompactString, Vec<Answer>),
    /// The publication of this number, from 1, ends so.
    Publish(usize, Verdict),
    /// A field of the summary is within bounds.
    Total(CompactString, Bounds),
}

/// Bounds on a total, inclusive.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bounds {
    /// The greatest value.
    pub at_most: Option<f64>,
    /// The least value.
    pub at_least: Option<f64>,
    /// The only value.
    pub equals: Option<f64>,
}

impl Bounds {
    /// Tells whether a value is within the bounds.
    pub fn hold(&self, value: f64) -> bool {
        self.at_most.is_none_or(|most| value <= most)
            && self.at_least.is_none_or(|least| value >= least)
            && self.equals.is_none_or(|only| value == only)
    }
}
