//! The table of jobs: those that run, and the answers of those that ended, kept
//! for callers that submit again. It is sharded, and no lock outlives a call.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::{HashMap, JobKey, Timestamp};
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// How many locks the table is spread over.
const SHARDS: usize = 64;

/// What a kept answer takes besides its bodies, in bytes: its key twice, its
/// place in the map and its place in the order.
const ENTRY_BYTES: usize = 320;

/// Bounds on kept answers.
#[derive(Debug, Clone, Copy)]
pub struct TableLimits {
    /// The most bytes of kept answers.
    pub kept_bytes: usize,
}

/// An answer kept for callers that submit again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The job.
    pub key: JobKey,
    /// How it ended.
    pub outcome: Arc<Outcome>,
}

/// What stands in the table under a key.
enum Entry<T> {
    /// The job runs.
    Running(Arc<T>),
    /// The job ended.
    Done(Arc<Outcome>),
}

/// What a caller finds on entering a job.
pub enum Entered<T, R> {
    /// The job is new, is in the table now and is to be run by whoever entered.
    New(Arc<T>),
    /// The job runs already.
    Running(Arc<T>),
    /// The job has ended.
    Done(Arc<Outcome>),
    /// The job may not be started here.
    Barred(R),
}

/// One shard.
struct Shard<T> {
    /// The entries.
    map: HashMap<JobKey, Entry<T>>,
    /// The ended jobs, oldest first, with when they ended.
    order: VecDeque<(JobKey, Timestamp)>,
    /// The bytes that kept answers take.
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

/// The table of jobs; `T` is what the program holds for a running job.
pub struct JobTable<T> {
    /// The shards.
    shards: Vec<Mutex<Shard<T>>>,
    /// Chooses the shard.
    hasher: RandomState,
    /// Bounds.
    limits: TableLimits,
    /// Answers that differ from the one kept under their key.
    changed: AtomicU64,
}

impl<T> JobTable<T> {
    /// Makes an empty table.
    pub fn new(limits: TableLimits) -> JobTable<T> {
        JobTable {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
            limits,
            changed: AtomicU64::new(0),
        }
    }

    /// Finds a job, or puts a new one in if `permit` allows. `permit` is asked
    /// under the shard's lock, so that of two callers only one can be allowed.
    pub fn enter<R>(&self, key: &JobKey, permit: impl FnOnce() -> Result<T, R>) -> Entered<T, R> {
        let mut shard = self.shard(key);
        match shard.map.get(key) {
            Some(Entry::Running(job)) => return Entered::Running(job.clone()),
            Some(Entry::Done(outcome)) => return Entered::Done(outcome.clone()),
            None => {}
        }
        match permit() {
            Err(reason) => Entered::Barred(reason),
            Ok(job) => {
                let job = Arc::new(job);
                let entry = Entry::Running(job.clone());
                shard.map.insert(key.clone(), entry);
                Entered::New(job)
            }
        }
    }

    /// Looks a job up without entering it.
    pub fn find(&self, key: &JobKey) -> Option<Result<Arc<T>, Arc<Outcome>>> {
        match self.shard(key).map.get(key)? {
            Entry::Running(job) => Some(Ok(job.clone())),
            Entry::Done(outcome) => Some(Err(outcome.clone())),
        }
    }

    /// Ends a running job and keeps its answer. It returns the jobs whose
    /// answers were dropped for it.
    pub fn finish(&self, key: &JobKey, outcome: Arc<Outcome>, now: Timestamp) -> Vec<JobKey> {
        let mut shard = self.shard(key);
        if shard.contradicts(key, &outcome) {
            self.changed.fetch_add(1, Ordering::Relaxed);
        }
        shard.keep(key.clone(), outcome, now);
        shard.shrink(self.limits.kept_bytes / SHARDS)
    }

    /// Takes a running job out again that was refused before it was accepted.
    /// `undo` runs under the shard's lock.
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

    /// Returns every kept answer, oldest first within each shard.
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

    /// Takes over answers kept by another VM.
    pub fn adopt(&self, kept: Vec<Kept>, now: Timestamp) {
        for Kept { key, outcome } in kept {
            let mut shard = self.shard(&key);
            if shard.contradicts(&key, &outcome) {
                self.changed.fetch_add(1, Ordering::Relaxed);
            }
            if !shard.map.contains_key(&key) {
                shard.keep(key, outcome, now);
                shard.shrink(self.limits.kept_bytes / SHARDS);
            }
        }
    }

    /// Returns the number of running jobs and of kept answers, and the bytes
    /// that kept answers take.
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

    /// Counts the answers that differed from the one kept under their key; any
    /// but zero is a fault.
    pub fn changed(&self) -> u64 {
        self.changed.load(Ordering::Relaxed)
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
    /// Tells whether another answer is kept under a key.
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

    /// Drops the oldest answers beyond `most` bytes and returns their jobs.
    fn shrink(&mut self, most: usize) -> Vec<JobKey> {
        let mut dropped = Vec::new();
        while self.bytes > most {
            let Some((old, _)) = self.order.pop_front() else {
                break;
            };
            if let Some(Entry::Done(outcome)) = self.map.remove(&old) {
                self.bytes -= ENTRY_BYTES + outcome.weight();
            }
            dropped.push(old);
        }
        dropped
    }
}
