//! The table of jobs: the running ones, and the outcomes of ended ones, kept for
//! callers that submit again. It is sharded, and no lock is held beyond a call.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::{HashMap, JobKey, Timestamp};
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Number of shards, each with its own lock.
const SHARDS: usize = 64;

/// Memory used by a kept outcome besides its answers, in bytes: two copies of the
/// key, the map entry and the entry in the eviction order.
const ENTRY_BYTES: usize = 320;

/// Bounds on the kept outcomes.
#[derive(Debug, Clone, Copy)]
pub struct TableLimits {
    /// Maximum memory used by kept outcomes, in bytes.
    pub kept_bytes: usize,
}

/// An outcome kept for callers that submit again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Key of the job.
    pub key: JobKey,
    /// Outcome of the job.
    pub outcome: Arc<Outcome>,
}

/// State of a job in the table.
enum Entry<T> {
    /// The job is running.
    Running(Arc<T>),
    /// The job ended.
    Done(Arc<Outcome>),
}

/// Result of [`JobTable::enter`].
pub enum EnterResult<T, R> {
    /// The job is new and was inserted; the caller must run it.
    New(Arc<T>),
    /// The job is running already.
    Running(Arc<T>),
    /// The job has ended.
    Done(Arc<Outcome>),
    /// `permit` refused to start the job here, for the given reason.
    Refused(R),
}

/// A shard of the table.
struct Shard<T> {
    /// Jobs by key.
    map: HashMap<JobKey, Entry<T>>,
    /// Ended jobs, oldest first, with the times when they ended.
    order: VecDeque<(JobKey, Timestamp)>,
    /// Memory used by kept outcomes, in bytes.
    bytes: usize,
}

impl<T> Default for Shard<T> {
    fn default() -> Shard<T> {
        Shard {
            map: HashMap::default(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }
}

/// Table of jobs; `T` is the state of a running job.
pub struct JobTable<T> {
    /// Shards, selected by the hash of the key.
    shards: Vec<Mutex<Shard<T>>>,
    /// Hashes keys to select the shard.
    hasher: RandomState,
    /// Bounds on the kept outcomes.
    limits: TableLimits,
    /// Number of outcomes that differed from the one kept under their key.
    conflicts: AtomicU64,
}

impl<T> JobTable<T> {
    /// Creates an empty table.
    pub fn new(limits: TableLimits) -> JobTable<T> {
        JobTable {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
            limits,
            conflicts: AtomicU64::new(0),
        }
    }

    /// Finds a job, or inserts a new one if `permit` allows it. `permit` is called
    /// under the shard's lock, so that only one of two concurrent callers can
    /// start the job.
    pub fn enter<R>(
        &self,
        key: &JobKey,
        permit: impl FnOnce() -> Result<T, R>,
    ) -> EnterResult<T, R> {
        let mut shard = self.shard(key);
        match shard.map.get(key) {
            Some(Entry::Running(job)) => return EnterResult::Running(job.clone()),
            Some(Entry::Done(outcome)) => return EnterResult::Done(outcome.clone()),
            None => {}
        }
        match permit() {
            Err(reason) => EnterResult::Refused(reason),
            Ok(job) => {
                let job = Arc::new(job);
                let entry = Entry::Running(job.clone());
                shard.map.insert(key.clone(), entry);
                EnterResult::New(job)
            }
        }
    }

    /// Looks up a job without inserting it: `Ok` is a running job, `Err` the outcome
    /// of an ended one.
    pub fn find(&self, key: &JobKey) -> Option<Result<Arc<T>, Arc<Outcome>>> {
        match self.shard(key).map.get(key)? {
            Entry::Running(job) => Some(Ok(job.clone())),
            Entry::Done(outcome) => Some(Err(outcome.clone())),
        }
    }

    /// Ends a running job and keeps its outcome. Returns the jobs whose outcomes
    /// were evicted for it.
    pub fn finish(&self, key: &JobKey, outcome: Arc<Outcome>, now: Timestamp) -> Vec<JobKey> {
        let mut shard = self.shard(key);
        if shard.contradicts(key, &outcome) {
            self.conflicts.fetch_add(1, Ordering::Relaxed);
        }
        shard.keep(key.clone(), outcome, now);
        shard.evict(self.limits.kept_bytes / SHARDS)
    }

    /// Removes a running job that was refused before it was accepted. `undo` is
    /// called under the shard's lock if the job was there.
    pub fn withdraw(&self, key: &JobKey, undo: impl FnOnce()) {
        let mut shard = self.shard(key);
        if let Some(Entry::Running(_)) = shard.map.get(key) {
            shard.map.remove(key);
            undo();
        }
    }

    /// Returns every running job.
    pub fn running(&self) -> Vec<Arc<T>> {
        let mut all = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            all.extend(shard.map.values().filter_map(|e| match e {
                Entry::Running(job) => Some(job.clone()),
                Entry::Done(_) => None,
            }));
        }
        all
    }

    /// Returns every kept outcome, oldest first within each shard.
    pub fn kept(&self) -> Vec<Kept> {
        let mut all = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            for (key, _) in &shard.order {
                if let Some(Entry::Done(outcome)) = shard.map.get(key) {
                    all.push(Kept {
                        key: key.clone(),
                        outcome: outcome.clone(),
                    });
                }
            }
        }
        all
    }

    /// Adds outcomes kept by another VM.
    pub fn adopt(&self, kept: Vec<Kept>, now: Timestamp) {
        for Kept { key, outcome } in kept {
            let mut shard = self.shard(&key);
            if shard.contradicts(&key, &outcome) {
                self.conflicts.fetch_add(1, Ordering::Relaxed);
            }
            if !shard.map.contains_key(&key) {
                shard.keep(key, outcome, now);
                shard.evict(self.limits.kept_bytes / SHARDS);
            }
        }
    }

    /// Returns the numbers of running jobs and of kept outcomes, and the memory
    /// used by kept outcomes in bytes.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let mut sizes = (0, 0, 0);
        for shard in &self.shards {
            let shard = lock(shard);
            sizes.0 += shard.map.len() - shard.order.len();
            sizes.1 += shard.order.len();
            sizes.2 += shard.bytes;
        }
        sizes
    }

    /// Returns the number of outcomes that differed from the one kept under their
    /// key. It must always be zero.
    pub fn conflicts(&self) -> u64 {
        self.conflicts.load(Ordering::Relaxed)
    }

    fn shard(&self, key: &JobKey) -> MutexGuard<'_, Shard<T>> {
        let i = self.hasher.hash_one(key) as usize % SHARDS;
        lock(&self.shards[i])
    }
}

fn lock<T>(shard: &Mutex<Shard<T>>) -> MutexGuard<'_, Shard<T>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<T> Shard<T> {
    /// Returns whether a different outcome is kept under a key.
    fn contradicts(&self, key: &JobKey, outcome: &Outcome) -> bool {
        match self.map.get(key) {
            Some(Entry::Done(kept)) => **kept != *outcome,
            _ => false,
        }
    }

    fn keep(&mut self, key: JobKey, outcome: Arc<Outcome>, now: Timestamp) {
        let weight = ENTRY_BYTES + outcome.weight();
        if let Some(Entry::Done(_)) = self.map.get(&key) {
            return;
        }
        self.map.insert(key.clone(), Entry::Done(outcome));
        self.order.push_back((key, now));
        self.bytes += weight;
    }

    /// Evicts the oldest outcomes beyond `max_bytes` and returns their jobs.
    fn evict(&mut self, max_bytes: usize) -> Vec<JobKey> {
        let mut evicted = Vec::new();
        while self.bytes > max_bytes {
            let Some((oldest, _)) = self.order.pop_front() else {
                break;
            };
            if let Some(Entry::Done(outcome)) = self.map.remove(&oldest) {
                self.bytes -= ENTRY_BYTES + outcome.weight();
            }
            evicted.push(oldest);
        }
        evicted
    }
}
