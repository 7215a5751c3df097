//! What is known of other failure domains, for spill-over.

use kernel::{Domain, HashMap, Millis, Timestamp};

/// The first back-off from a domain that refused or lost a task.
const HOLD: Millis = Millis(100);

/// The longest back-off from a domain.
const HOLD_MAX: Millis = Millis(5000);

/// How often a domain that reports nothing is tried.
const BLIND: Millis = Millis(100);

/// A domain with less than one in so many slots free takes no spill-over. Its
/// own VMs don't see spilled tasks, and would meet them on full minions.
const FREE_PART: u32 = 3;

/// The part of the room beyond that which one VM uses between two reports, as
/// a divisor, because VMs of several domains may see the same room.
const ROOM_PART: u32 = 4;

/// One other domain.
#[derive(Debug, Default)]
struct Remote {
    /// When it may be tried again.
    until: Timestamp,
    /// Refusals and losses since the last answer.
    fails: u32,
    /// The tasks that may still be sent there before the next report.
    room: u32,
    /// When it last reported.
    heard: Option<Timestamp>,
}

/// All other domains.
#[derive(Debug, Default)]
pub(crate) struct Remotes {
    /// By domain.
    domains: HashMap<Domain, Remote>,
}

impl Remotes {
    /// Notes a report of free slots.
    pub(crate) fn heard(&mut self, domain: &Domain, free: u32, slots: u32, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        remote.room = free.saturating_sub(slots / FREE_PART) / ROOM_PART;
        remote.heard = Some(now);
    }

    /// Tells whether a task may go to the domain. One that reports is used
    /// while it has room; one that doesn't is tried now and then.
    pub(crate) fn open(&mut self, domain: &Domain, ttl: Millis, now: Timestamp) -> bool {
        let remote = self.domains.entry(domain.clone()).or_default();
        if now < remote.until {
            return false;
        }
        let fresh = remote.heard.is_some_and(|at| now.since(at) < ttl);
        !fresh || remote.room > 0
    }

    /// Notes that a task goes to the domain.
    pub(crate) fn sent(&mut self, domain: &Domain, ttl: Millis, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        remote.room = remote.room.saturating_sub(1);
        let fresh = remote.heard.is_some_and(|at| now.since(at) < ttl);
        if !fresh {
            remote.until = now.after(BLIND);
        }
    }

    /// Notes that a task got an answer there.
    pub(crate) fn answered(&mut self, domain: &Domain) {
        if let Some(remote) = self.domains.get_mut(domain) {
            remote.fails = 0;
        }
    }

    /// Notes that a task was refused or lost there.
    pub(crate) fn failed(&mut self, domain: &Domain, now: Timestamp) {
        let remote = self.domains.entry(domain.clone()).or_default();
        let hold = Millis((HOLD.0 << remote.fails.min(16)).min(HOLD_MAX.0));
        remote.fails += 1;
        remote.until = now.after(hold);
    }
}
