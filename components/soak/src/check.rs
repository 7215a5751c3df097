//! Checks the answers that callers got against the runs that minions recorded.

use std::fmt;

use kernel::{Domain, HashMap, Millis, MinionId};
use platform_standin::Answer;
use schedule::{EndKind, JobId, MinionInfo, TaskName};
use standins::{Fate, LeasedFleet, MinionViolation, RunEnd, RunStart};

use crate::records::{Attempt, Record};

/// Time in which a minion may still get work after it announced that it leaves
/// (`bounds.drain-ms`).
pub(crate) const DRAIN: Millis = Millis(2_000);

/// Time in which an evacuation must be in force on VMs that are in touch
/// (`bounds.evacuate-ms`).
const EVACUATE: Millis = Millis(5_000);

/// Time for which a VM must have run undisturbed and reached the store to be in
/// touch (`bounds.contact-ms`).
const CONTACT: Millis = Millis(4_000);

/// Failures of a task after which its job fails.
const ATTEMPTS: usize = 3;

/// Minions that must have crashed under a task before it may be given up.
const CRASHES: usize = 2;

/// Starts of a task that crashes all its minions from which it is started too
/// often: three after three crashes.
const CRASHING_STARTS: usize = 6;

/// A violation of a guarantee that the VMs give to callers or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A violation in the state of the minions.
    Minion(MinionViolation),
    /// All attempts to submit a job were refused as not run, but a task of it
    /// started.
    Ran(JobId, TaskName),
    /// A job was reported as completed before all its tasks were done.
    Incomplete(JobId),
    /// A job was reported as failed, but none of its tasks had used up its
    /// attempts or been lost with two minions.
    NotFailed(JobId),
    /// A task that crashes its minions was started too often.
    Crashing(TaskName, usize),
    /// A task started that nobody submitted, or with other work than submitted.
    Unasked(TaskName),
    /// A planned stop of a VM ended a connection without an answer.
    CutOff(JobId, usize),
    /// A leaving minion got work too long after its announcement.
    LateStart(MinionId, TaskName),
    /// A run started in an evacuated domain too long after the request, while no
    /// VM was disturbed.
    Evacuated(MinionId, TaskName),
    /// A VM handled a request by an older version than a previous request.
    Regressed(usize, u64),
    /// A VM's process ended by itself.
    Ended(usize),
    /// A VM didn't serve after all faults had ended.
    NotRecovered(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Minion(violation) => write!(f, "{violation}"),
            Violation::Ran(job, task) => write!(f, "{job} was refused as not run, but {task} ran"),
            Violation::Incomplete(job) => {
                write!(f, "{job} was reported as completed, but is incomplete")
            }
            Violation::NotFailed(job) => {
                write!(f, "{job} was reported as failed, but has not failed")
            }
            Violation::Crashing(task, starts) => {
                write!(
                    f,
                    "{task} crashes its minions and was started {starts} times"
                )
            }
            Violation::Unasked(task) => {
                write!(f, "{task} started, but was not submitted with this work")
            }
            Violation::CutOff(job, vm) => write!(
                f,
                "{job} lost its connection in the planned stop of VM {vm}"
            ),
            Violation::LateStart(minion, task) => {
                write!(f, "{task} started on the leaving minion {minion}")
            }
            Violation::Evacuated(minion, task) => {
                write!(f, "{task} started on {minion} of an evacuated domain")
            }
            Violation::Regressed(vm, version) => write!(
                f,
                "VM {vm} went back from version {version} to an older one"
            ),
            Violation::Ended(vm) => write!(f, "the process of VM {vm} ended by itself"),
            Violation::NotRecovered(vm) => {
                write!(f, "VM {vm} does not serve after all faults have ended")
            }
        }
    }
}

/// Compares the callers' records with those of the minions and returns the
/// violations. `versions` has each version with the time of its publication on
/// the minions' clock.
pub fn check(records: &[Record], fleet: &LeasedFleet, versions: &[(u64, u64)]) -> Vec<Violation> {
    let mut violations: Vec<_> = fleet
        .violations()
        .into_iter()
        .map(Violation::Minion)
        .collect();
    let starts = fleet.starts();
    let ends = fleet.ends();
    let mut started: HashMap<JobId, Vec<&RunStart>> = HashMap::default();
    for start in &starts {
        match start.task.job() {
            Some(job) => started.entry(job).or_default().push(start),
            None => violations.push(Violation::Unasked(start.task.clone())),
        }
    }
    let lost = fleet.lost();
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
        violations.extend(check_job(record, &starts, &ends, &lost));
    }
    let unasked = started.into_values().flatten();
    violations.extend(unasked.map(|s| Violation::Unasked(s.task.clone())));
    violations.extend(regressions(records, versions));
    violations
}

/// An evacuation that the operator has asked for. Times are in milliseconds on the
/// minions' clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The domain.
    pub domain: Domain,
    /// The time at which the store acknowledged the request.
    pub begun: u64,
    /// The time of its withdrawal, if it was withdrawn.
    pub ended: Option<u64>,
}

/// Finds runs that started in an evacuated domain later than the bound, while no
/// VM had been disturbed for so long that all were in touch. `disturbed` has the
/// beginning and the end of each time in which a VM was disturbed.
pub fn check_evacuations(
    infos: &[MinionInfo],
    starts: &[RunStart],
    evacuations: &[Evacuation],
    disturbed: &[(u64, u64)],
) -> Vec<Violation> {
    let domains: HashMap<_, _> = infos.iter().map(|m| (&m.id, &m.domain)).collect();
    let forbidden = |start: &RunStart| {
        evacuations.iter().any(|e| {
            let until = e.ended.unwrap_or(u64::MAX);
            let in_force = e.begun + EVACUATE.0..until;
            domains.get(&start.minion) == Some(&&e.domain) && in_force.contains(&start.at)
        })
    };
    let in_touch = |at: u64| {
        let mut recent = disturbed.iter().filter(|(from, _)| *from <= at);
        recent.all(|(_, until)| until + CONTACT.0 < at)
    };
    let late = starts.iter().filter(|s| forbidden(s) && in_touch(s.at));
    late.map(|s| Violation::Evacuated(s.minion.clone(), s.task.clone()))
        .collect()
}

fn check_job(
    record: &Record,
    starts: &[&RunStart],
    ends: &[&RunEnd],
    lost: &[(TaskName, u64)],
) -> Vec<Violation> {
    let job = &record.job;
    let mut violations = Vec::new();
    let other = starts.iter().filter(|s| s.work != job.work);
    violations.extend(other.map(|s| Violation::Unasked(s.task.clone())));
    let crashing = starts.iter().filter(|s| s.work.fate == Fate::Crashes);
    let mut counts: HashMap<&TaskName, usize> = HashMap::default();
    for start in crashing {
        *counts.entry(&start.task).or_default() += 1;
    }
    let often = counts.into_iter().filter(|(_, n)| *n >= CRASHING_STARTS);
    violations.extend(often.map(|(task, n)| Violation::Crashing(task.clone(), n)));
    let refused = |a: &Attempt| a.answer.is_some_and(Answer::not_run);
    if !record.open && record.attempts.iter().all(refused) {
        let ran = starts.first();
        violations.extend(ran.map(|s| Violation::Ran(job.id.clone(), s.task.clone())));
    }
    for attempt in &record.attempts {
        let count = |task: &TaskName, kind: EndKind| {
            let of = ends.iter().filter(|e| e.task == *task && e.kind == kind);
            of.filter(|e| e.at <= attempt.ended).count()
        };
        let crashed = |task: &TaskName| {
            let under = lost.iter().filter(|(t, _)| t == task);
            under.filter(|(_, at)| *at <= attempt.ended).count()
        };
        let failed = |t: &TaskName| count(t, EndKind::Failed) >= ATTEMPTS || crashed(t) >= CRASHES;
        let names = || (0..job.tasks).map(|i| TaskName::new(&job.id, 0, i));
        match attempt.answer {
            Some(Answer::Completed) if names().any(|t| count(&t, EndKind::Done) == 0) => {
                violations.push(Violation::Incomplete(job.id.clone()));
            }
            Some(Answer::Failed) if !names().any(|t| failed(&t)) => {
                violations.push(Violation::NotFailed(job.id.clone()));
            }
            _ => {}
        }
    }
    violations
}

/// An observation of whether a VM knows the queue of a version, from one attempt.
struct Observation {
    vm: usize,
    incarnation: u32,
    sent: u64,
    ended: u64,
    version: u64,
    served: bool,
}

/// Returns what an attempt shows about the VM's version, or none if it shows
/// nothing.
fn observe(version: u64, attempt: &Attempt) -> Option<Observation> {
    let served = match attempt.answer? {
        Answer::Completed | Answer::Failed => true,
        Answer::NoQueue => false,
        // Other answers don't depend on the configuration.
        _ => return None,
    };
    Some(Observation {
        vm: attempt.vm,
        incarnation: attempt.incarnation,
        sent: attempt.sent,
        ended: attempt.ended,
        version,
        served,
    })
}

/// Finds VMs that handled a request by an older version than that of a request
/// that had ended before. Each version's own queue exists in that version only.
fn regressions(records: &[Record], versions: &[(u64, u64)]) -> Vec<Violation> {
    let observations = records.iter().filter_map(|r| Some((r.version?, r)));
    let observations =
        observations.flat_map(|(v, r)| r.attempts.iter().filter_map(move |a| observe(v, a)));
    let observations: Vec<_> = observations.collect();
    let newest = |at: u64| versions.iter().rfind(|(_, since)| *since <= at);
    let regressed = |a: &Observation, b: &Observation| {
        let later = a.served && a.vm == b.vm && a.incarnation == b.incarnation && b.sent > a.ended;
        let served_older = b.served && b.version < a.version;
        let gone = !b.served && b.version == a.version;
        later && (served_older || gone && newest(b.ended).is_some_and(|(v, _)| *v == a.version))
    };
    let pairs = observations
        .iter()
        .flat_map(|a| observations.iter().map(move |b| (a, b)));
    let regressions = pairs.filter(|(a, b)| regressed(a, b));
    regressions
        .map(|(a, _)| Violation::Regressed(a.vm, a.version))
        .collect()
}
