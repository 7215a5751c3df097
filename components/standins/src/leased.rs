//! A minion that is told what to run, under leases and fencing tokens, and
//! obeys the highest token that it has seen. It starts whatever it is told to,
//! so that a dispatcher that counts its room wrongly shows.

use std::collections::BTreeMap;

use kernel::{Fence, LeaseTime, Millis, RunNumber};
use schedule::{
    End, EndKind, HoldOrder, Listing, MinionInfo, Resources, StartOrder, StartReply, StopOrder,
    TaskName,
};

use crate::work::Work;

/// How long a stop takes.
const STOP_TIME: Millis = Millis(50);

/// The longest lease that is granted.
const LEASE_MOST: Millis = Millis(1_000);

/// The most ends in one list.
const ENDS_MOST: usize = 500;

/// A run on the minion.
#[derive(Debug, Clone)]
struct LeasedRun {
    /// The room that it takes.
    need: Resources,
    /// When its work is done; never while tasks stand still.
    ends: u64,
    /// When a stop will have ended it.
    stops: Option<u64>,
    /// Whether it fails at its end.
    fails: bool,
}

/// A minion as a state machine: it does nothing by itself, and is told the time
/// in milliseconds with each call.
#[derive(Debug)]
pub struct LeasedMinion {
    /// What the register says of it.
    pub info: MinionInfo,
    /// Whether every run fails at its end.
    pub fail_all: bool,
    /// The factor on the run times of what starts from now on.
    pub slowness: f64,
    /// How fast its lease clock runs.
    pub clock_rate: f64,
    fence: u64,
    lease: u64,
    started: u64,
    running: BTreeMap<(TaskName, RunNumber), LeasedRun>,
    over: BTreeMap<TaskName, RunNumber>,
    ended: Vec<End>,
    count: u64,
}

impl LeasedMinion {
    /// Makes a minion that runs nothing and has seen no token.
    pub fn new(info: MinionInfo) -> LeasedMinion {
        LeasedMinion {
            info,
            fail_all: false,
            slowness: 1.0,
            clock_rate: 1.0,
            fence: 0,
            lease: 0,
            started: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            count: 0,
        }
    }

    /// Returns its lease clock at `now`.
    pub fn clock(&self, now: u64) -> LeaseTime {
        LeaseTime((now.saturating_sub(self.started) as f64 * self.clock_rate) as u64)
    }

    /// Returns what runs.
    pub fn running(&self) -> Vec<(TaskName, RunNumber)> {
        self.running.keys().cloned().collect()
    }

    /// Returns the room that is taken; what is being stopped counts.
    pub fn used(&self) -> Resources {
        let needs = self.running.values().map(|r| &r.need);
        needs.fold(Resources::default(), |sum, need| sum.with(need))
    }

    /// Returns the highest token seen.
    pub fn fence(&self) -> Fence {
        Fence(self.fence)
    }

    /// Starts anew under its id: nothing runs and no token was seen.
    pub fn reborn(&mut self, now: u64) {
        let mut info = self.info.clone();
        info.born += 1;
        let rate = self.clock_rate;
        *self = LeasedMinion::new(info);
        self.started = now;
        self.clock_rate = rate;
    }

    /// Lets time pass, and returns the ends that this brought.
    pub fn advance(&mut self, now: u64) -> Vec<End> {
        let lapsed = self.clock(now).0 > self.lease;
        let due = |run: &LeasedRun| {
            let done = now >= run.ends;
            let stopped = run.stops.is_some_and(|at| now >= at);
            match (done, stopped) {
                (true, _) if run.fails => Some(EndKind::Failed),
                (true, _) => Some(EndKind::Done),
                (false, true) => Some(EndKind::Stopped),
                (false, false) => lapsed.then_some(EndKind::Lapsed),
            }
        };
        let over = self.running.iter();
        let over = over.filter_map(|(key, run)| Some((key.clone(), due(run)?)));
        let over: Vec<_> = over.collect();
        let first = self.ended.len();
        for ((task, run), kind) in over {
            self.end(task, run, kind);
        }
        self.ended[first..].to_vec()
    }

    fn end(&mut self, task: TaskName, run: RunNumber, kind: EndKind) {
        let key = (task, run);
        self.running.remove(&key);
        self.count += 1;
        let last = self.over.entry(key.0.clone()).or_default();
        *last = (*last).max(run);
        self.ended.push(End {
            number: self.count,
            task: key.0,
            run,
            kind,
        });
    }

    /// Lets what runs now stand still.
    pub fn stall(&mut self) {
        for run in self.running.values_mut() {
            run.ends = u64::MAX;
        }
    }

    fn renew(&mut self, until: LeaseTime, now: u64) {
        let most = self.clock(now).after(LEASE_MOST);
        self.lease = self.lease.max(until.min(most).0);
    }

    /// Takes an order to start.
    pub fn start(&mut self, order: &StartOrder, work: Work, now: u64) -> StartReply {
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
        let last = self.over.get(&order.task);
        if last.is_some_and(|last| order.run <= *last) {
            return StartReply::Old(clock);
        }
        let span = work.span.0 as f64 * self.slowness;
        let run = LeasedRun {
            need: work.need(),
            ends: now + span as u64,
            stops: None,
            fails: work.fails || self.fail_all,
        };
        self.running.insert(key, run);
        StartReply::Accepted(clock)
    }

    /// Takes an order to stop; none is returned under a lower token.
    pub fn stop(&mut self, order: &StopOrder, now: u64) -> Option<LeaseTime> {
        if order.fence.0 < self.fence {
            return None;
        }
        self.fence = order.fence.0;
        let key = (order.task.clone(), order.run);
        if let Some(run) = self.running.get_mut(&key) {
            run.stops = run.stops.or(Some(now + STOP_TIME.0));
        } else {
            let last = self.over.entry(order.task.clone()).or_default();
            *last = (*last).max(order.run);
        }
        Some(self.clock(now))
    }

    /// Renews the lease and lists what runs and has ended; none is returned
    /// under a lower token.
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
            ended: self.ended.iter().take(ENDS_MOST).cloned().collect(),
        })
    }
}
