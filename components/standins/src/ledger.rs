//! What all minions together have seen.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::{HashMap, MinionId};

use crate::listener::lock;

/// One start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The job's key.
    pub job: CompactString,
    /// The task's id within its job.
    pub task: CompactString,
    /// The minion that started it.
    pub minion: MinionId,
    /// The incarnation of the VM that sent it; empty when it named none.
    pub incarnation: CompactString,
    /// When it started.
    pub at: Instant,
}

/// A cloneable record of every task start, shared by all minions of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The record.
    book: Arc<Mutex<Book>>,
}

/// What the ledger holds.
#[derive(Debug, Default)]
struct Book {
    /// The starts in order.
    starts: Vec<Start>,
    /// Requests and answers of minions.
    messages: u64,
    /// Since when minions have been leaving.
    leaving: HashMap<MinionId, Instant>,
}

impl Ledger {
    /// Records the start of a task, as minions do.
    pub fn start(&self, start: Start) {
        lock(&self.book).starts.push(start);
    }

    /// Counts a request to a minion, or its answer.
    pub(crate) fn message(&self) {
        lock(&self.book).messages += 1;
    }

    /// Records that a minion is to get no new work.
    pub fn leave(&self, minion: MinionId) {
        let mut book = lock(&self.book);
        book.leaving.entry(minion).or_insert_with(Instant::now);
    }

    /// Returns every start so far, in order.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.book).starts.clone()
    }

    /// Returns how many tasks have started.
    pub fn count(&self) -> u64 {
        lock(&self.book).starts.len() as u64
    }

    /// Returns how many requests and answers minions have seen, refused tasks
    /// included.
    pub fn messages(&self) -> u64 {
        lock(&self.book).messages
    }

    /// Returns how many starts there were beyond the first of each task.
    pub fn double_starts(&self) -> u64 {
        let book = lock(&self.book);
        let mut seen: HashMap<_, u64> = HashMap::default();
        for start in &book.starts {
            *seen.entry((&start.job, &start.task)).or_default() += 1;
        }
        seen.values().map(|n| n - 1).sum()
    }

    /// Returns how many tasks started on a minion later than `grace` after it
    /// began to leave.
    pub fn late_starts(&self, grace: Duration) -> u64 {
        let book = lock(&self.book);
        let late = |s: &&Start| match book.leaving.get(&s.minion) {
            Some(since) => s.at > *since + grace,
            None => false,
        };
        book.starts.iter().filter(late).count() as u64
    }
}
