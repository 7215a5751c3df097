//! What a VM counts. The program sends the counts to statsd; `status` shows
//! them.

use std::sync::atomic::{AtomicU64, Ordering};

use jobs::{Outcome, Ran};
use serde::Serialize;

/// Counters since the process's start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Jobs answered completely.
    complete: AtomicU64,
    /// Jobs failed of which something may have run.
    failed: AtomicU64,
    /// Jobs told "not run".
    not_run: AtomicU64,
    /// Jobs whose outcome this VM could not tell.
    unknown: AtomicU64,
    /// Tasks sent to minions.
    sent: AtomicU64,
    /// Tasks sent that a minion turned away or that never left.
    turned_away: AtomicU64,
    /// Messages sent to peers for jobs that they own.
    passed: AtomicU64,
    /// Heartbeats sent.
    beats: AtomicU64,
    /// Messages refused because they could not be read.
    broken: AtomicU64,
    /// Callers' requests refused as malformed.
    bad_requests: AtomicU64,
}

/// The counters at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counted {
    /// Jobs answered completely.
    pub complete: u64,
    /// Jobs failed of which something may have run.
    pub failed: u64,
    /// Jobs told "not run".
    pub not_run: u64,
    /// Jobs whose outcome this VM could not tell.
    pub unknown: u64,
    /// Tasks sent to minions.
    pub sent: u64,
    /// Tasks sent that a minion turned away or that never left.
    pub turned_away: u64,
    /// Messages sent to peers for jobs that they own.
    pub passed: u64,
    /// Heartbeats sent.
    pub beats: u64,
    /// Messages refused because they could not be read.
    pub broken: u64,
    /// Callers' requests refused as malformed.
    pub bad_requests: u64,
}

impl Counts {
    /// Counts a job's outcome.
    pub fn outcome(&self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Complete(_) => &self.complete,
            Outcome::Failed { ran: Ran::No, .. } => &self.not_run,
            Outcome::Failed { .. } => &self.failed,
            Outcome::Unknown(_) => &self.unknown,
        };
        add(counter);
    }

    /// Counts a task sent.
    pub fn task_sent(&self) {
        add(&self.sent);
    }

    /// Counts a task that a minion turned away.
    pub fn not_started(&self) {
        add(&self.turned_away);
    }

    /// Counts a message about a job to its owner.
    pub fn message_passed(&self) {
        add(&self.passed);
    }

    /// Counts a heartbeat.
    pub fn beat_sent(&self) {
        add(&self.beats);
    }

    /// Counts a message that could not be read.
    pub fn message_broken(&self) {
        add(&self.broken);
    }

    /// Counts a caller's request that was refused as malformed.
    pub fn request_refused(&self) {
        add(&self.bad_requests);
    }

    /// Reads all counters.
    pub fn read(&self) -> Counted {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Counted {
            complete: get(&self.complete),
            failed: get(&self.failed),
            not_run: get(&self.not_run),
            unknown: get(&self.unknown),
            sent: get(&self.sent),
            turned_away: get(&self.turned_away),
            passed: get(&self.passed),
            beats: get(&self.beats),
            broken: get(&self.broken),
            bad_requests: get(&self.bad_requests),
        }
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
