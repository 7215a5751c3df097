//! Tasks that crash the minions that start them (docs/design/crashes.md).
//!
//! A run that is lost with its minion leaves a record. Records are shared by all
//! VMs, so that they outlast the submission, the shard and its owner.

use kernel::{HashMap, HashSet, Millis, MinionId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::action::LossCause;
use crate::ids::{JobId, TaskName};

/// Number of crashes under a task, each with nothing else on the minion, at which
/// the task is given up. One beside others proves nothing: the start may have come
/// to a minion that another task had crashed just before.
const CRASHES: usize = 2;

/// Number of lost minions under a task at which it is given up although it is not
/// proved that they have crashed.
const LOSSES: usize = 3;

/// Number of lost minions under a job from which its suspects run one at a time:
/// all its tasks may be of the same kind.
const JOB_LOSSES: usize = 3;

/// Time for which a task is not started after its last loss, if only the restart
/// of its minions is missing as a proof. They are back after some three seconds
/// and are held again within a second.
const PROOF_TIME: Millis = Millis(4_500);

/// Time for which records are kept, longer than a client resends a job.
const RETENTION: Millis = Millis(60_000);

/// Maximum number of jobs with records.
const MAX_JOBS: usize = 4_096;

/// Maximum number of records of a job that are kept and sent.
const MAX_JOB_RECORDS: usize = 64;

/// Maximum length of a task's name in a record of another VM.
const MAX_NAME_LEN: usize = 64;

/// What is known of a minion that a run was lost with. Of two states of the same
/// loss the later one in this order holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LossState {
    /// The minion has fallen silent.
    Suspected,
    /// The minion's process has restarted.
    Confirmed,
    /// It is no fault of the task: the minion's process has answered again, or the
    /// task was done elsewhere.
    Cleared,
}

/// A run that was lost with its minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Name of the task.
    pub task: TaskName,
    /// Id of the minion.
    pub minion: MinionId,
    /// Start time of the minion's process that had the run.
    pub born: u64,
    /// True if the minion had no other run.
    pub alone: bool,
    /// What is known of the minion.
    pub state: LossState,
}

impl CrashRecord {
    /// Creates the record of a loss.
    pub(crate) fn new(
        task: TaskName,
        minion: MinionId,
        born: u64,
        alone: bool,
        cause: LossCause,
    ) -> CrashRecord {
        let state = match cause {
            LossCause::Silent => LossState::Suspected,
            LossCause::Restarted => LossState::Confirmed,
        };
        CrashRecord {
            task,
            minion,
            born,
            alone,
            state,
        }
    }

    fn is_same_loss(&self, other: &CrashRecord) -> bool {
        self.task == other.task && self.minion == other.minion && self.born == other.born
    }

    fn counts(&self) -> bool {
        self.state != LossState::Cleared
    }
}

/// How a task may be started, by the losses under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Like any other.
    Clear,
    /// On a minion of its own, or like any other as long as no task has been lost
    /// more than once.
    Suspect,
    /// Only on a minion of its own, one task of the job at a time.
    Isolated,
    /// Not before this time: the minions it was lost with may restart and prove
    /// its guilt.
    OnHold(Timestamp),
    /// Never again.
    Poison,
}

/// A record and its times.
#[derive(Debug, Clone)]
struct Entry {
    record: CrashRecord,
    /// Time at which the loss became known.
    known: Timestamp,
    /// Time of the last change.
    changed: Timestamp,
}

/// The records of losses, by job.
#[derive(Debug, Clone, Default)]
pub struct CrashLog {
    jobs: HashMap<JobId, Vec<Entry>>,
}

impl CrashLog {
    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a record, or what is new in it to the known record of the same loss.
    /// Returns true if that changed anything.
    pub fn add(&mut self, record: CrashRecord, now: Timestamp) -> bool {
        if record.task.as_str().len() > MAX_NAME_LEN {
            return false;
        }
        let Some(job) = record.task.job() else {
            return false;
        };
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            return false;
        }
        let entries = self.jobs.entry(job).or_default();
        let known = entries.iter_mut().find(|e| e.record.is_same_loss(&record));
        let Some(known) = known else {
            let room = entries.len() < MAX_JOB_RECORDS;
            if room {
                entries.push(Entry {
                    record,
                    known: now,
                    changed: now,
                });
            }
            return room;
        };
        let state = known.record.state.max(record.state);
        let alone = known.record.alone || record.alone;
        let changes = state != known.record.state || alone != known.record.alone;
        if changes {
            known.record.state = state;
            known.record.alone = alone;
            known.changed = now;
        }
        changes
    }

    /// Returns how a task may be started.
    pub fn verdict(&self, task: &TaskName, now: Timestamp) -> Verdict {
        let Some(entries) = task.job().and_then(|job| self.jobs.get(&job)) else {
            return Verdict::Clear;
        };
        let counted = entries.iter().filter(|e| e.record.counts());
        let losses = counted.clone().filter(|e| e.record.task == *task);
        let alone = losses.clone().filter(|e| e.record.alone);
        let mut proved = alone.clone();
        let proved = proved.all(|e| e.record.state == LossState::Confirmed);
        let proved_by = alone.clone().map(|e| e.known.after(PROOF_TIME)).max();
        match (losses.count(), alone.count()) {
            (0, _) => return Verdict::Clear,
            (LOSSES.., _) => return Verdict::Poison,
            (_, CRASHES..) if proved => return Verdict::Poison,
            (_, CRASHES..) => {
                let waits = proved_by.filter(|at| now < *at);
                return waits.map_or(Verdict::Isolated, Verdict::OnHold);
            }
            (CRASHES.., _) => return Verdict::Isolated,
            _ => {}
        }
        let minions: HashSet<_> = counted.map(|e| (&e.record.minion, e.record.born)).collect();
        match minions.len() >= JOB_LOSSES {
            true => Verdict::Isolated,
            false => Verdict::Suspect,
        }
    }

    /// Returns the task of the job with the worst verdict.
    pub fn worst_of(&self, job: &JobId, now: Timestamp) -> Option<(Verdict, &TaskName)> {
        let tasks = self.jobs.get(job)?.iter().map(|e| &e.record.task);
        tasks.map(|t| (self.verdict(t, now), t)).max()
    }

    /// Returns a task of the job that is given up, if there is one.
    pub fn poison_of(&self, job: &JobId, now: Timestamp) -> Option<&TaskName> {
        let worst = self.worst_of(job, now);
        worst.filter(|(v, _)| *v == Verdict::Poison).map(|(_, t)| t)
    }

    /// Returns whether there are records of the job.
    pub fn accuses(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns whether any task was lost with two minions.
    pub(crate) fn has_repeats(&self) -> bool {
        let repeats = |entries: &Vec<Entry>| {
            let counted = entries.iter().filter(|e| e.record.counts());
            counted.clone().enumerate().any(|(i, e)| {
                let mut earlier = counted.clone().take(i);
                earlier.any(|f| f.record.task == e.record.task)
            })
        };
        self.jobs.values().any(repeats)
    }

    /// Returns the records of a job.
    pub fn of_job(&self, job: &JobId) -> Vec<CrashRecord> {
        let entries = self.jobs.get(job).into_iter().flatten();
        entries.map(|e| e.record.clone()).collect()
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.jobs.values().flatten().map(|e| &e.record)
    }

    /// Asks `observe` for the state of each suspected loss, given its record and
    /// the time since which it is known, and returns the records that changed.
    pub(crate) fn resolve(
        &mut self,
        observe: impl Fn(&CrashRecord, Timestamp) -> LossState,
        now: Timestamp,
    ) -> Vec<CrashRecord> {
        let entries = self.jobs.values_mut().flatten();
        let suspected = entries.filter(|e| e.record.state == LossState::Suspected);
        let mut changed = Vec::new();
        for entry in suspected {
            let state = observe(&entry.record, entry.known);
            if state > entry.record.state {
                entry.record.state = state;
                entry.changed = now;
                changed.push(entry.record.clone());
            }
        }
        changed
    }

    /// Clears a task that is done, and returns the records that changed.
    pub(crate) fn acquit(&mut self, task: &TaskName, now: Timestamp) -> Vec<CrashRecord> {
        let entries = task.job().and_then(|job| self.jobs.get_mut(&job));
        let entries = entries.into_iter().flatten();
        let held = entries.filter(|e| e.record.task == *task && e.record.counts());
        let cleared = held.map(|entry| {
            entry.record.state = LossState::Cleared;
            entry.changed = now;
            entry.record.clone()
        });
        cleared.collect()
    }

    /// Drops the jobs whose records have not changed for the retention time.
    pub fn expire(&mut self, now: Timestamp) {
        self.jobs
            .retain(|_, entries| entries.iter().any(|e| now.since(e.changed) < RETENTION));
    }
}
