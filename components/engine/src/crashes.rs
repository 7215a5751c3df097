//! Shares the records of runs that were lost with their minions among all VMs, so
//! that a task that crashes its minions is known wherever its job is submitted or
//! run again (docs/design/crashes.md).

use kernel::Timestamp;
use metrics::{Count, Gauge};
use schedule::{CrashLog, CrashRecord, JobId, LossState};

use crate::core::{Core, lock};
use crate::owned::Owned;

/// Maximum number of records in a heartbeat.
const MAX_NEWS: usize = 24;

/// Number of heartbeats to the same VMs that carry a record, as some may be lost.
/// It bounds what records take of the links, whatever the number of VMs.
const SENDINGS: u8 = 2;

/// VMs that get the same heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Those that get one at the shortest interval, among them those that would
    /// take this VM's shards.
    Frequent,
    /// All others.
    Rest,
}

/// A record that other VMs may lack.
#[derive(Debug)]
struct News {
    record: CrashRecord,
    /// Number of times that it is still sent to each audience.
    left: [u8; 2],
}

/// The records of lost runs, and those that other VMs may lack.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// All records.
    pub log: CrashLog,
    news: Vec<News>,
}

impl Crashes {
    /// Returns the records for the next heartbeat to an audience.
    pub fn take_news(&mut self, to: Audience) -> Vec<CrashRecord> {
        let due = self.news.iter_mut().filter(|n| n.left[to as usize] > 0);
        let due = due.take(MAX_NEWS).map(|news| {
            news.left[to as usize] -= 1;
            news.record.clone()
        });
        let records = due.collect();
        self.news.retain(|n| n.left != [0; 2]);
        records
    }
}

/// Handles a record of a shard of this VM: logs it and keeps it for the other
/// shards and VMs.
pub(crate) fn publish<M>(core: &Core<M>, owned: &Owned, record: CrashRecord) {
    match record.state {
        LossState::Suspected => {}
        LossState::Confirmed => {
            core.metrics.add(Count::CrashConfirmed, 1);
            log::warn!(task:% = record.task, minion:% = record.minion, shard:% = owned.shard(),
                alone = record.alone; "minion crashed under a task");
        }
        LossState::Cleared => {
            log::info!(task:% = record.task, shard:% = owned.shard(), minion:% = record.minion;
                "loss no longer held against the task");
        }
    }
    learn(core, std::slice::from_ref(&record));
    let left = [SENDINGS; 2];
    lock(&core.crashes).news.push(News { record, left });
}

/// Adds records to those that this VM and the schedulers of its shards know.
pub(crate) fn learn<M>(core: &Core<M>, records: &[CrashRecord]) {
    if records.is_empty() {
        return;
    }
    let now = core.now();
    let new: Vec<_> = {
        let log = &mut lock(&core.crashes).log;
        let records = records.iter();
        records
            .filter(|r| log.add(CrashRecord::clone(r), now))
            .collect()
    };
    if new.is_empty() {
        return;
    }
    for owned in core.owned.load().values() {
        let mut state = owned.lock();
        for record in &new {
            state.scheduler.learn_crash(CrashRecord::clone(record), now);
        }
    }
}

/// Gives a new owner's scheduler all records.
pub(crate) fn inform<M>(core: &Core<M>, owned: &Owned) {
    let now = core.now();
    let records: Vec<_> = lock(&core.crashes).log.records().cloned().collect();
    let mut state = owned.lock();
    for record in records {
        state.scheduler.learn_crash(record, now);
    }
}

/// Returns the records of a job, for the owner that it is sent to.
pub(crate) fn of_job<M>(core: &Core<M>, job: &JobId) -> Vec<CrashRecord> {
    lock(&core.crashes).log.of_job(job)
}

/// Returns whether a task of the job is given up, so that it must not be run.
pub(crate) fn is_poison<M>(core: &Core<M>, job: &JobId) -> bool {
    let now = core.now();
    let crashes = lock(&core.crashes);
    let poison = crashes.log.poison_of(job, now);
    if let Some(task) = poison {
        log::info!(job:% = job, task:% = task; "job failed: it has a task that was given up");
    }
    poison.is_some()
}

/// Drops records that are too old, and sets the gauge.
pub(crate) fn maintain<M>(core: &Core<M>, now: Timestamp) {
    let crashes = &mut lock(&core.crashes);
    crashes.log.expire(now);
    core.metrics
        .set(Gauge::CrashRecords, crashes.log.records().count() as u64);
}
