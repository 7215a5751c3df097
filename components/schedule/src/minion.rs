//! A minion under its owner: who it is, what runs on it, what it may take.

use std::net::SocketAddr;

use compact_str::CompactString;
use kernel::{Domain, Fence, LeaseTime, Millis, MinionId, RunNumber, Service, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::ScheduleConfig;
use crate::contest::Contest;
use crate::health::Health;
use crate::ids::TaskName;
use crate::resources::Resources;
use crate::run::{Phase, Run};

/// What the register says of a minion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MinionInfo {
    /// Its id.
    pub id: MinionId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The service that it runs.
    pub service: Service,
    /// Its whole room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<CompactString>,
    /// True once it will leave.
    pub draining: bool,
    /// When its process started, in milliseconds of Unix time. A later start
    /// under the same id is another minion.
    pub born: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the minion's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed, or another member of its group ended.
    Lapsed,
}

/// The end of a run, as a minion lists it until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Its number in the minion's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
}

/// What a minion answers to a hold: all that runs, and the ends not yet
/// acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The minion's clock when it made the list.
    pub clock: LeaseTime,
    /// When the minion's process started.
    pub born: u64,
    /// The runs.
    pub running: Vec<(TaskName, RunNumber)>,
    /// The ends, oldest first.
    pub ended: Vec<End>,
}

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Accepted(LeaseTime),
    /// A higher token was seen; the minion has another owner.
    Fenced,
    /// A run at least as high was stopped or ended there.
    Old(LeaseTime),
    /// The order came after its lease time.
    Late(LeaseTime),
    /// It would not fit.
    Full(LeaseTime),
    /// The minion turned it away and did nothing.
    Unhealthy,
    /// The minion can't read the order.
    Malformed,
    /// Another life of the minion answered.
    Reborn,
    /// No byte was sent.
    Unsent,
    /// No answer came; it may be carried out yet.
    NoAnswer,
}

impl StartReply {
    /// Returns what is known of a start that was sent again because `earlier`
    /// got no answer: only that the run is there. Whatever else the second got,
    /// the first may have been carried out.
    pub fn after(self, earlier: StartReply) -> StartReply {
        match (earlier, self) {
            (StartReply::NoAnswer, StartReply::Accepted(clock)) => StartReply::Accepted(clock),
            (StartReply::NoAnswer, _) => StartReply::NoAnswer,
            (_, reply) => reply,
        }
    }
}

/// A hold to send: it renews the lease and asks what runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// Where to.
    pub addr: SocketAddr,
    /// The owner's token.
    pub fence: Fence,
    /// The last end that was taken note of.
    pub seen: u64,
    /// Until when the lease should hold; none only looks.
    pub lease: Option<LeaseTime>,
    /// How long the answer may wait for an end.
    pub wait: Millis,
}

/// What to do next to hold a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextHold {
    /// Send this.
    Send(HoldOrder),
    /// Leave it to the VM that has taken it, for so long.
    Pause(Millis),
}

/// Whether a minion obeys this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldState {
    /// No hold was answered yet.
    Pending,
    /// It answered our latest holds.
    Held,
    /// Holds go unanswered.
    Silent,
}

/// A minion under its owner.
#[derive(Debug)]
pub(crate) struct Minion {
    /// What the register says.
    pub info: MinionInfo,
    /// Our token there.
    pub fence: Fence,
    /// Whether it obeys.
    pub hold_state: HoldState,
    /// The clock of its newest list, and when that came.
    pub clock: Option<(LeaseTime, Timestamp)>,
    /// The last end that was taken note of.
    pub seen: u64,
    /// The runs that may be there.
    pub runs: Vec<Run>,
    /// What works on it and how well.
    pub health: Health,
    /// True while it refused a start for want of room that we thought there
    /// was, until its next list.
    pub full: bool,
    /// When its newest list came.
    pub last_listing: Timestamp,
    /// Holds unanswered in a row.
    pub missed_holds: u32,
    /// When a hold last went unanswered.
    pub last_missed: Option<Timestamp>,
    /// When an order that renews the lease was last sent.
    pub last_renewal: Timestamp,
    /// How often another VM has taken it from us.
    pub contest: Contest,
}

/// How much longer a lease may last than its owner's clock says: minions'
/// clocks may be 2% slow, and the order needs its way.
const LEASE_MARGIN: f64 = 1.05;

/// Added to the former for the way of the order, in milliseconds.
const LEASE_TRAVEL_MS: f64 = 100.0;

impl Minion {
    /// Makes the state of a minion that is to be taken.
    pub fn new(info: MinionInfo, fence: Fence) -> Minion {
        Minion {
            info,
            fence,
            hold_state: HoldState::Pending,
            clock: None,
            seen: 0,
            runs: Vec::new(),
            health: Health::default(),
            full: false,
            last_listing: Timestamp(0),
            missed_holds: 0,
            last_missed: None,
            last_renewal: Timestamp(0),
            contest: Contest::default(),
        }
    }

    /// Returns the earliest that the minion's clock can show at `now`.
    pub fn clock_at(&self, now: Timestamp) -> Option<LeaseTime> {
        let (clock, at) = self.clock?;
        Some(clock.after(now.since(at)))
    }

    /// Notes the minion's clock.
    pub fn update_clock(&mut self, clock: LeaseTime, now: Timestamp) {
        if self.clock.is_none_or(|(last, _)| clock >= last) {
            self.clock = Some((clock, now));
        }
    }

    /// Returns the free room, or nothing while a run of unknown size is there.
    pub fn free_capacity(&self) -> Resources {
        let mut used = Resources::default();
        for run in &self.runs {
            match &run.need {
                Some(need) => used = used.with(need),
                None => return Resources::default(),
            }
        }
        self.info.capacity.without(&used)
    }

    /// Tells whether it may get new work at `now`.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        let probed = self.health.probing && !self.runs.is_empty();
        self.hold_state == HoldState::Held
            && !self.info.draining
            && !self.full
            && !probed
            && !self.health.is_ejected(now)
    }

    /// Finds a run.
    pub fn run_mut(&mut self, task: &TaskName, number: RunNumber) -> Option<&mut Run> {
        self.runs
            .iter_mut()
            .find(|r| r.number == number && r.task == *task)
    }

    /// Takes a run out of the table.
    pub fn remove(&mut self, task: &TaskName, number: RunNumber) -> Option<Run> {
        let at = self
            .runs
            .iter()
            .position(|r| r.number == number && r.task == *task)?;
        Some(self.runs.swap_remove(at))
    }

    /// Tells whether the minion is silent for so long that nothing it was told
    /// to run can still run.
    pub fn lease_lapsed(&self, now: Timestamp, cfg: &ScheduleConfig) -> bool {
        let lease = cfg.lease.0 as f64 * LEASE_MARGIN + LEASE_TRAVEL_MS;
        self.hold_state != HoldState::Held && now.since(self.last_renewal).0 as f64 > lease
    }

    /// Compares the runs with the minion's newest list. Returns those that are
    /// over without an end, and adopts those of other owners.
    pub fn reconcile(&mut self, list: &Listing, now: Timestamp) -> Vec<Run> {
        let listed = |r: &Run| {
            let same =
                |(task, number): &(TaskName, RunNumber)| *task == r.task && *number == r.number;
            list.running.iter().any(same)
        };
        let mut gone = Vec::new();
        let mut kept = Vec::with_capacity(self.runs.len());
        for mut run in std::mem::take(&mut self.runs) {
            if listed(&run) {
                run.phase = Phase::Running;
                run.confirmed = run.confirmed.max(Some(list.clock));
                kept.push(run);
            } else if run.is_over(list.clock) {
                gone.push(run);
            } else {
                kept.push(run);
            }
        }
        self.runs = kept;
        for (task, number) in &list.running {
            if self.run_mut(task, *number).is_none() {
                self.adopt(task.clone(), *number, now);
            }
        }
        gone
    }

    /// Adds a run that another owner started, so that it keeps its room until
    /// it is over.
    pub fn adopt(&mut self, task: TaskName, number: RunNumber, now: Timestamp) {
        self.runs.push(Run {
            task,
            number,
            job: None,
            need: None,
            phase: Phase::Running,
            sent: now,
            baseline: Millis(0),
            expected: Millis(0),
            confirmed: None,
            start_limit: LeaseTime(0),
            stop_sent: None,
            stop_acked: None,
        });
    }
}
