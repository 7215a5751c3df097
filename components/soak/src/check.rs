//! Whether what callers were told is what minions saw.

use std::fmt;

use kernel::{HashMap, Millis, MinionId};
use platform_standin::Answer;
use schedule::{EndKind, JobId, TaskName};
use standins::{Breach, LeasedFleet, RunEnd, RunStart};

use crate::book::{Attempt, Record};

/// How long after its announcement a leaving minion may still get work
/// (`bounds.drain-ms`).
pub(crate) const DRAIN: Millis = Millis(2_000);

/// How often a task may fail in the queues of a run.
const ATTEMPTS: usize = 3;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Minions saw a rule broken.
    Minion(Breach),
    /// Every sending of a job was refused as not run, and a task of it started.
    Ran(JobId, TaskName),
    /// A job was said to be complete before all its tasks were done.
    Incomplete(JobId),
    /// A job was said to have failed, and none of its tasks failed often enough.
    NotFailed(JobId),
    /// A task started that nobody submitted, or with other work than submitted.
    Unasked(TaskName),
    /// A planned stop of a VM ended a connection without an answer.
    CutOff(JobId, usize),
    /// A leaving minion got work too late.
    LateStart(MinionId, TaskName),
    /// A VM handled a request by an older version than one before.
    Regressed(usize, u64),
    /// A VM's process ended by itself.
    Ended(usize),
    /// A VM didn't serve, with everything well again.
    NotRecovered(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Minion(breach) => write!(f, "{breach}"),
            Fault::Ran(job, task) => write!(f, "{job} was refused as not run, and {task} ran"),
            Fault::Incomplete(job) => write!(f, "{job} was said to be complete, and is not"),
            Fault::NotFailed(job) => write!(f, "{job} was said to have failed, and has not"),
            Fault::Unasked(task) => write!(f, "{task} was not submitted so"),
            Fault::CutOff(job, vm) => write!(f, "{job} was cut off by the stop of VM {vm}"),
            Fault::LateStart(minion, task) => write!(f, "{task} started on leaving {minion}"),
            Fault::Regressed(vm, version) => write!(f, "VM {vm} went back behind {version}"),
            Fault::Ended(vm) => write!(f, "VM {vm} ended by itself"),
            Fault::NotRecovered(vm) => write!(f, "VM {vm} does not serve again"),
        }
    }
}

/// Compares the callers' records with what the minions saw. `versions` tells
/// when each version was published, on the minions' clock.
pub fn check(records: &[Record], fleet: &LeasedFleet, versions: &[(u64, u64)]) -> Vec<Fault> {
    let mut faults: Vec<_> = fleet.broken().into_iter().map(Fault::Minion).collect();
    let starts = fleet.starts();
    let ends = fleet.ends();
    let mut started: HashMap<JobId, Vec<&RunStart>> = HashMap::default();
    for start in &starts {
        match start.task.job() {
            Some(job) => started.entry(job).or_default().push(start),
            None => faults.push(Fault::Unasked(start.task.clone())),
        }
    }
    let mut ended: HashMap<JobId, Vec<&RunEnd>> = HashMap::default();
    for end in &ends {
        if let Some(job) = end.task.job() {
            ended.entry(job).or_default().push(end);
        }
    }
    for record in records {
        let id = &record.job.id;
        let starts = started.remove(id).unwrap_or_default();
        let ends = ended.remove(id).unwrap_or_default();
        faults.extend(check_job(record, &starts, &ends));
    }
    let unasked = started.into_values().flatten();
    faults.extend(unasked.map(|s| Fault::Unasked(s.task.clone())));
    faults.extend(regressions(records, versions));
    faults
}

fn check_job(record: &Record, starts: &[&RunStart], ends: &[&RunEnd]) -> Vec<Fault> {
    let job = &record.job;
    let mut faults = Vec::new();
    let other = starts.iter().filter(|s| s.work != job.work);
    faults.extend(other.map(|s| Fault::Unasked(s.task.clone())));
    let refused = |a: &Attempt| a.answer.is_some_and(Answer::not_run);
    if !record.open && record.attempts.iter().all(refused) {
        let ran = starts.first();
        faults.extend(ran.map(|s| Fault::Ran(job.id.clone(), s.task.clone())));
    }
    for attempt in &record.attempts {
        let count = |task: &TaskName, kind: EndKind| {
            let of = ends.iter().filter(|e| e.task == *task && e.kind == kind);
            of.filter(|e| e.at <= attempt.ended).count()
        };
        let names = || (0..job.tasks).map(|i| TaskName::new(&job.id, 0, i));
        match attempt.answer {
            Some(Answer::Completed) if names().any(|t| count(&t, EndKind::Done) == 0) => {
                faults.push(Fault::Incomplete(job.id.clone()));
            }
            Some(Answer::Failed) if names().all(|t| count(&t, EndKind::Failed) < ATTEMPTS) => {
                faults.push(Fault::NotFailed(job.id.clone()));
            }
            _ => {}
        }
    }
    faults
}

/// What a request to a version's own queue tells of a VM.
struct Sight {
    vm: usize,
    life: u32,
    sent: u64,
    ended: u64,
    version: u64,
    served: bool,
}

fn sight(version: u64, attempt: &Attempt) -> Option<Sight> {
    let served = match attempt.answer? {
        Answer::Completed | Answer::Failed => true,
        Answer::NoQueue => false,
        // Says nothing of the configuration.
        _ => return None,
    };
    Some(Sight {
        vm: attempt.vm,
        life: attempt.life,
        sent: attempt.sent,
        ended: attempt.ended,
        version,
        served,
    })
}

/// Finds VMs that handled a request by an older version than one that had ended
/// before it was sent. Only its own version has a version's queue.
fn regressions(records: &[Record], versions: &[(u64, u64)]) -> Vec<Fault> {
    let sights = records.iter().filter_map(|r| Some((r.version?, r)));
    let sights = sights.flat_map(|(v, r)| r.attempts.iter().filter_map(move |a| sight(v, a)));
    let sights: Vec<_> = sights.collect();
    let newest = |at: u64| versions.iter().rfind(|(_, since)| *since <= at);
    let older = |a: &Sight, b: &Sight| {
        let later = a.served && a.vm == b.vm && a.life == b.life && b.sent > a.ended;
        let back = b.served && b.version < a.version;
        let gone = !b.served && b.version == a.version;
        later && (back || gone && newest(b.ended).is_some_and(|(v, _)| *v == a.version))
    };
    let pairs = sights
        .iter()
        .flat_map(|a| sights.iter().map(move |b| (a, b)));
    let wrong = pairs.filter(|(a, b)| older(a, b));
    wrong
        .map(|(a, _)| Fault::Regressed(a.vm, a.version))
        .collect()
}
