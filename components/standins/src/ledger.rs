//! Record of the task starts on all minions of a fleet.

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
    /// The incarnation of the VM that sent the task; empty if the request named none.
    pub incarnation: CompactString,
    /// The time of the start.
    pub at: Instant,
}

/// A cloneable record of every task start, shared by all minions of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// The state that all clones share.
    state: Arc<Mutex<State>>,
}

/// The starts, messages and departures recorded so far.
#[derive(Debug, Default)]
struct State {
    /// The starts in order.
    starts: Vec<Start>,
    /// The number of requests to minions and of their answers.
    messages: u64,
    /// The time at which each leaving minion began to leave.
    leaving: HashMap<MinionId, Instant>,
}

impl Ledger {
    /// Records the start of a task.
    pub fn start(&self, start: Start) {
        lock(&self.state).starts.push(start);
    }

    /// Counts a request to a minion, or its answer.
    pub(crate) fn count_message(&self) {
        lock(&self.state).messages += 1;
    }

    /// Records that a minion is leaving and should get no new tasks.
    pub fn leave(&self, minion: MinionId) {
        let mut state = lock(&self.state);
        state.leaving.entry(minion).or_insert_with(Instant::now);
    }

    /// Returns every start so far, in order.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.state).starts.clone()
    }

    /// Returns how many tasks have started.
    pub fn count(&self) -> u64 {
        lock(&self.state).starts.len() as u64
    }

    /// Returns the number of requests and answers of minions, including those of
    /// refused tasks.
    pub fn messages(&self) -> u64 {
        lock(&self.state).messages
    }

    /// Returns how many starts there were beyond the first of each task.
    pub fn double_starts(&self) -> u64 {
        let state = lock(&self.state);
        let mut seen: HashMap<_, u64> = HashMap::default();
        for start in &state.starts {
            *seen.entry((&start.job, &start.task)).or_default() += 1;
        }
        seen.values().map(|n| n - 1).sum()
    }

    /// Returns how many tasks started on a minion later than `grace` after it
    /// began to leave.
    pub fn late_starts(&self, grace: Duration) -> u64 {
        let state = lock(&self.state);
        let late = |s: &&Start| match state.leaving.get(&s.minion) {
            Some(since) => s.at > *since + grace,
            None => false,
        };
        state.starts.iter().filter(late).count() as u64
    }
}
