//! A minion that executes start and stop orders under leases and fencing tokens,
//! and rejects orders with a lower token than the highest one seen. It starts
//! every task that it is ordered to, beyond its capacity too, so that tests
//! detect a dispatcher that counts free capacity wrongly.

use std::collections::BTreeMap;

use kernel::{Fence, LeaseTime, Millis, RunNumber};
use schedule::{
    End, EndKind, HoldOrder, Listing, MinionInfo, Resources, StartOrder, StartReply, StopOrder,
    TaskName,
};

use crate::work::{Fate, Work};

/// Time that a stop takes.
const STOP_TIME: Millis = Millis(50);

/// Longest lease that is granted.
const MAX_LEASE: Millis = Millis(1_000);

/// Time for which a crashed minion is down.
const CRASH_TIME: Millis = Millis(3_000);

/// Time for which a shrunk capacity need not be known yet (`bounds.contact-ms` and
/// a heartbeat).
const SHRINK_GRACE: Millis = Millis(4_500);

/// Maximum number of ended runs in one listing.
const MAX_ENDS: usize = 500;

/// A run on the minion.
#[derive(Debug, Clone)]
struct LeasedRun {
    /// The resources that the run takes.
    need: Resources,
    /// The time at which its work is done; `u64::MAX` if it is stalled.
    done_at: u64,
    /// The time at which an ordered stop ends it.
    stop_at: Option<u64>,
    /// Whether the run fails at its end.
    fails: bool,
}

/// A minion as a state machine. It has no clock of its own: each call passes the
/// current time in milliseconds.
#[derive(Debug)]
pub struct LeasedMinion {
    /// The minion's entry in the register.
    pub info: MinionInfo,
    /// Whether runs that start from now on fail at their end.
    pub fail_all: bool,
    /// The factor on the run times of runs that start from now on.
    pub slowness: f64,
    /// The speed of the lease clock; 1 is real time.
    pub clock_rate: f64,
    /// The highest fencing token seen.
    fence: u64,
    /// The end of the lease on the lease clock.
    lease: u64,
    /// The time at which the process started.
    started: u64,
    /// The time at which the process starts again, while it is down.
    down_until: Option<u64>,
    /// The resources that runs may take: the capacity, but more for a while after
    /// it has shrunk and until the runs from before have ended.
    limit: Resources,
    /// The time until which the limit stays above a shrunk capacity.
    limit_until: u64,
    /// Runs that ended with the process, with the time.
    lost: Vec<(TaskName, u64)>,
    running: BTreeMap<(TaskName, RunNumber), LeasedRun>,
    /// The highest run number of each task that ended or was stopped.
    last_ended: BTreeMap<TaskName, RunNumber>,
    /// The ended runs that no hold has acknowledged.
    ended: Vec<End>,
    /// The number of runs that have ended.
    count: u64,
}

impl LeasedMinion {
    /// Creates a minion that runs nothing and has seen no token.
    pub fn new(info: MinionInfo) -> LeasedMinion {
        LeasedMinion {
            limit: info.capacity,
            limit_until: 0,
            lost: Vec::new(),
            info,
            fail_all: false,
            slowness: 1.0,
            clock_rate: 1.0,
            fence: 0,
            lease: 0,
            started: 0,
            down_until: None,
            running: BTreeMap::new(),
            last_ended: BTreeMap::new(),
            ended: Vec::new(),
            count: 0,
        }
    }

    /// Returns the time on its lease clock at `now`.
    pub fn clock(&self, now: u64) -> LeaseTime {
        LeaseTime((now.saturating_sub(self.started) as f64 * self.clock_rate) as u64)
    }

    /// Returns the runs in progress.
    pub fn running(&self) -> Vec<(TaskName, RunNumber)> {
        self.running.keys().cloned().collect()
    }

    /// Returns the used capacity, including that of runs that are being stopped.
    pub fn used(&self) -> Resources {
        let needs = self.running.values().map(|r| &r.need);
        needs.fold(Resources::default(), |sum, need| sum.with(need))
    }

    /// Returns whether runs take more than the capacity that they may count on.
    pub fn is_overfull(&self) -> bool {
        !self.used().fits(&self.limit)
    }

    /// Returns the tasks whose runs ended with the process, each with the time.
    pub fn lost(&self) -> &[(TaskName, u64)] {
        &self.lost
    }

    /// Changes the capacity while the process runs.
    pub fn resize(&mut self, capacity: Resources, now: u64) {
        self.info.capacity = capacity;
        self.limit = self.limit.max(&capacity);
        self.limit_until = now + SHRINK_GRACE.0;
    }

    /// Returns the highest fencing token seen.
    pub fn fence(&self) -> Fence {
        Fence(self.fence)
    }

    /// Restarts the minion's process under the same id: nothing runs and no token
    /// has been seen.
    pub fn restart(&mut self, now: u64) {
        let mut info = self.info.clone();
        info.born += 1;
        let rate = self.clock_rate;
        self.lose_runs(now);
        let lost = std::mem::take(&mut self.lost);
        *self = LeasedMinion::new(info);
        self.lost = lost;
        self.started = now;
        self.clock_rate = rate;
    }

    /// Ends the minion's process. It answers no order until it is back.
    pub fn crash(&mut self, now: u64) {
        self.crash_for(CRASH_TIME, now);
    }

    /// Ends the minion's process, which starts again after `span`.
    pub fn crash_for(&mut self, span: Millis, now: u64) {
        self.lose_runs(now);
        self.ended.clear();
        self.down_until = Some(now + span.0);
    }

    fn lose_runs(&mut self, now: u64) {
        let runs = std::mem::take(&mut self.running);
        self.lost
            .extend(runs.into_keys().map(|(task, _)| (task, now)));
    }

    /// Returns whether the minion's process is down, so that orders get no answer.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Advances the minion to `now` and returns the runs that ended.
    pub fn advance(&mut self, now: u64) -> Vec<End> {
        if self.down_until.is_some_and(|until| now >= until) {
            self.restart(now);
        }
        let lapsed = self.clock(now).0 > self.lease;
        let end_kind = |run: &LeasedRun| {
            let done = now >= run.done_at;
            let stopped = run.stop_at.is_some_and(|at| now >= at);
            match (done, stopped) {
                (true, _) if run.fails => Some(EndKind::Failed),
                (true, _) => Some(EndKind::Done),
                (false, true) => Some(EndKind::Stopped),
                (false, false) => lapsed.then_some(EndKind::Lapsed),
            }
        };
        let ending = self.running.iter();
        let ending = ending.filter_map(|(key, run)| Some((key.clone(), end_kind(run)?)));
        let ending: Vec<_> = ending.collect();
        let first = self.ended.len();
        for ((task, run), kind) in ending {
            self.end(task, run, kind);
        }
        if now >= self.limit_until {
            self.limit = self.info.capacity.max(&self.limit.min(&self.used()));
        }
        self.ended[first..].to_vec()
    }

    fn end(&mut self, task: TaskName, run: RunNumber, kind: EndKind) {
        let key = (task, run);
        self.running.remove(&key);
        self.count += 1;
        let last = self.last_ended.entry(key.0.clone()).or_default();
        *last = (*last).max(run);
        self.ended.push(End {
            number: self.count,
            task: key.0,
            run,
            kind,
        });
    }

    /// Stalls the runs in progress, so that they don't finish by themselves.
    pub fn stall(&mut self) {
        for run in self.running.values_mut() {
            run.done_at = u64::MAX;
        }
    }

    /// Extends the lease, limited to the longest one that is granted.
    fn renew(&mut self, until: LeaseTime, now: u64) {
        let max = self.clock(now).after(MAX_LEASE);
        self.lease = self.lease.max(until.min(max).0);
    }

    /// Executes a start order. One whose task crashes the minion gets no answer.
    pub fn start(&mut self, order: &StartOrder, work: Work, now: u64) -> StartReply {
        if self.is_down() {
            return StartReply::NoAnswer;
        }
        let clock = self.clock(now);
        if order.fence.0 < self.fence {
            return StartReply::Fenced;
        }
        self.fence = order.fence.0;
        let key = (order.task.clone(), order.run);
        if self.running.contains_key(&key) {
            return StartReply::Accepted(clock);
        }
        if clock > order.lease {
            return StartReply::Late(clock);
        }
        self.renew(order.lease, now);
        let last = self.last_ended.get(&order.task);
        if last.is_some_and(|last| order.run <= *last) {
            return StartReply::Old(clock);
        }
        if work.fate == Fate::Crashes {
            self.lost.push((order.task.clone(), now));
            self.crash(now);
            return StartReply::NoAnswer;
        }
        let span = work.span.0 as f64 * self.slowness;
        let run = LeasedRun {
            need: work.need(),
            done_at: match work.fate {
                Fate::Hangs => u64::MAX,
                _ => now + span as u64,
            },
            stop_at: None,
            fails: work.fate == Fate::Fails || self.fail_all,
        };
        self.running.insert(key, run);
        StartReply::Accepted(clock)
    }

    /// Executes a stop order and returns the time on the lease clock, or none if
    /// a higher token has been seen.
    pub fn stop(&mut self, order: &StopOrder, now: u64) -> Option<LeaseTime> {
        if order.fence.0 < self.fence {
            return None;
        }
        self.fence = order.fence.0;
        let key = (order.task.clone(), order.run);
        if let Some(run) = self.running.get_mut(&key) {
            run.stop_at = run.stop_at.or(Some(now + STOP_TIME.0));
        } else {
            let last = self.last_ended.entry(order.task.clone()).or_default();
            *last = (*last).max(order.run);
        }
        Some(self.clock(now))
    }

    /// Renews the lease and returns the runs in progress and the ended runs, or
    /// none if a higher token has been seen.
    pub fn hold(&mut self, order: &HoldOrder, now: u64) -> Option<Listing> {
        if order.fence.0 < self.fence {
            return None;
        }
        self.fence = order.fence.0;
        if let Some(until) = order.lease {
            self.renew(until, now);
        }
        self.ended.retain(|e| e.number > order.seen);
        Some(Listing {
            clock: self.clock(now),
            born: self.info.born,
            running: self.running(),
            ended: self.ended.iter().take(MAX_ENDS).cloned().collect(),
        })
    }
}
