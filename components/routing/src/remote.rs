//! The state of other failure domains, for spill-over.

use kernel::{Domain, HashMap, Millis, Timestamp};

/// First back-off from a domain that refused or lost a task.
const MIN_BACKOFF: Millis = Millis(100);

/// Longest back-off from a domain.
const MAX_BACKOFF: Millis = Millis(5000);

/// Time between two attempts to use a domain that sends no reports.
const RETRY_INTERVAL: Millis = Millis(100);

/// Divisor of the part of a domain's slots that spill-over leaves free. The VMs
/// there don't see spilled tasks, and without this reserve their own tasks
/// would be refused by full minions.
const RESERVE_DIVISOR: u32 = 3;

/// Divisor of the part of the remaining free slots that one VM uses between two
/// reports, because the VMs of several domains may see the same free slots.
const ALLOWANCE_DIVISOR: u32 = 4;

/// The state of one other domain.
#[derive(Debug, Default)]
struct Remote {
    /// The time from which the domain may be tried again.
    backoff_until: Timestamp,
    /// The number of refused and lost tasks since the last answer.
    failures: u32,
    /// The number of tasks that may still be sent there before the next report.
    allowance: u32,
    /// The time of the last report, if there was one.
    last_report: Option<Timestamp>,
}

/// The states of all other domains.
#[derive(Debug, Default)]
pub(crate) struct Remotes {
    /// The states by domain.
    domains: HashMap<Domain, Remote>,
}

impl Remotes {
    /// Records a report of free slots.
    pub(crate) fn record_report(&mut self, domain: &Domain, free: u32, slots: u32, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        remote.allowance = free.saturating_sub(slots / RESERVE_DIVISOR) / ALLOWANCE_DIVISOR;
        remote.last_report = Some(now);
    }

    /// Returns whether a task may go to the domain. A domain that sends reports
    /// is used within its allowance; one that does not is tried at intervals.
    pub(crate) fn accepts(&mut self, domain: &Domain, ttl: Millis, now: Timestamp) -> bool {
        let remote = self.domains.entry(domain.clone()).or_default();
        if now < remote.backoff_until {
            return false;
        }
        let reporting = remote.last_report.is_some_and(|at| now.since(at) < ttl);
        !reporting || remote.allowance > 0
    }

    /// Records that a task is sent to the domain.
    pub(crate) fn record_sent(&mut self, domain: &Domain, ttl: Millis, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        remote.allowance = remote.allowance.saturating_sub(1);
        let reporting = remote.last_report.is_some_and(|at| now.since(at) < ttl);
        if !reporting {
            remote.backoff_until = now.after(RETRY_INTERVAL);
        }
    }

    /// Records that a task got an answer there.
    pub(crate) fn record_answer(&mut self, domain: &Domain) {
        if let Some(remote) = self.domains.get_mut(domain) {
            remote.failures = 0;
        }
    }

    /// Records that a task was refused or lost there, and backs off.
    pub(crate) fn record_failure(&mut self, domain: &Domain, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        let backoff = Millis((MIN_BACKOFF.0 << remote.failures.min(16)).min(MAX_BACKOFF.0));
        remote.failures += 1;
        remote.backoff_until = now.after(backoff);
    }
}
