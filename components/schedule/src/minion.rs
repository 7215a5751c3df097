//! State of a minion as its owner keeps it, and the messages exchanged with it.

use std::net::SocketAddr;

use compact_str::CompactString;
use kernel::{Domain, Fence, LeaseTime, Millis, MinionId, RunNumber, Sequence, Service, Timestamp};
use serde::{Deserialize, Serialize};

use crate::action::{Action, LossCause, RunLoss};
use crate::config::ScheduleConfig;
use crate::contest::Contest;
use crate::evidence::MinionKind;
use crate::health::{Health, Pace};
use crate::ids::TaskName;
use crate::resources::Resources;
use crate::run::{Phase, Run};

/// A minion's entry in the register.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MinionInfo {
    /// Id of the minion.
    pub id: MinionId,
    /// Address at which the minion accepts orders.
    pub addr: SocketAddr,
    /// Failure domain of the minion.
    pub domain: Domain,
    /// Service that the minion runs.
    pub service: Service,
    /// Total resources of the minion.
    pub capacity: Resources,
    /// Labels of the minion: its kind and its rack.
    pub labels: Vec<CompactString>,
    /// True once the minion is about to leave.
    pub draining: bool,
    /// Start time of the minion's process, in milliseconds of Unix time. A
    /// later one under the same id is another process, which runs nothing of
    /// the previous one.
    pub born: u64,
    /// The platform's label for the kind of machine; empty if it gives none.
    /// Minions of the same kind and capacity are expected to have the same speed.
    #[serde(default)]
    pub kind: CompactString,
    /// Number of this entry among those of the process. The capacity may shrink
    /// and grow again from one to the next.
    #[serde(default)]
    pub sequence: Sequence,
}

impl MinionInfo {
    /// Returns whether this entry is later than `other`, one of the same minion.
    /// Entries without the start of the process can't be compared, as each process
    /// numbers its own.
    pub fn is_later(&self, other: &MinionInfo) -> bool {
        let numbered = self.born > 0 && self.born == other.born;
        self.born > other.born || numbered && self.sequence > other.sequence
    }

    /// Returns whether the entries say the same of the minion.
    pub fn is_same(&self, other: &MinionInfo) -> bool {
        let renumbered = MinionInfo {
            sequence: other.sequence,
            ..self.clone()
        };
        renumbered == *other
    }
}

/// The way a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed, because of the task or of the minion.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease lapsed, or another member of the task's group ended.
    Lapsed,
}

/// The end of a run. A minion lists it until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Sequence number of the end in the minion's process, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// The way the run ended.
    pub kind: EndKind,
}

/// A minion's answer to a hold: all runs, and all ends not yet acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The minion's clock when it made the list.
    pub clock: LeaseTime,
    /// Start time of the minion's process, as in [`MinionInfo::born`].
    pub born: u64,
    /// Runs that are executing.
    pub running: Vec<(TaskName, RunNumber)>,
    /// Ends that are not acknowledged, oldest first.
    pub ended: Vec<End>,
}

/// Answer to an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The minion has the run.
    Accepted(LeaseTime),
    /// The minion has seen a higher token and has another owner.
    Fenced,
    /// A run of the task with this number or a higher one was stopped or has
    /// ended on the minion.
    Old(LeaseTime),
    /// The order arrived after its lease time.
    Late(LeaseTime),
    /// The minion has too little free capacity.
    Full(LeaseTime),
    /// The minion rejected the order and did nothing.
    Unhealthy,
    /// The minion could not parse the order.
    Malformed,
    /// Another process of the minion answered.
    Reborn,
    /// The order was not sent.
    Unsent,
    /// The order got no answer and may still be carried out.
    NoAnswer,
}

impl StartReply {
    /// Combines the reply to a resent start with the reply to the `earlier`
    /// attempt. If the earlier one got no answer, only a reply that confirms
    /// the run counts: any other leaves open whether the earlier start was
    /// carried out.
    pub fn after(self, earlier: StartReply) -> StartReply {
        match (earlier, self) {
            (StartReply::NoAnswer, StartReply::Accepted(clock)) => StartReply::Accepted(clock),
            (StartReply::NoAnswer, _) => StartReply::NoAnswer,
            (_, reply) => reply,
        }
    }
}

/// An order that renews a minion's lease and asks what it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// Address of the minion.
    pub addr: SocketAddr,
    /// Fencing token of the owner.
    pub fence: Fence,
    /// Sequence number of the last end that the owner has processed, which
    /// acknowledges it and all before it.
    pub seen: u64,
    /// End of the renewed lease; `None` asks for the list without renewing the
    /// lease.
    pub lease: Option<LeaseTime>,
    /// Longest time the minion may wait for a run to end before it answers.
    pub wait: Millis,
}

/// The next step in holding a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextHold {
    /// Send the hold.
    Send(HoldOrder),
    /// Wait this long, because another VM has taken the minion.
    Pause(Millis),
}

/// A process of a minion that runs were sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Process {
    /// Start time of the process, as in [`MinionInfo::born`].
    pub born: u64,
    /// True if the process was about to leave.
    pub draining: bool,
}

impl Process {
    /// Returns the loss of each run that ended with this process of a minion.
    pub fn losses(self, id: &MinionId, lost: &[Run], cause: LossCause) -> Vec<Action> {
        let loss = |run: &Run| RunLoss {
            task: run.task.clone(),
            run: run.number,
            minion: id.clone(),
            born: self.born,
            beside: lost.len() - 1,
            cause,
        };
        lost.iter().map(|run| Action::Lost(loss(run))).collect()
    }
}

/// State of an owner's hold on a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldState {
    /// No hold under the current token has been answered.
    Pending,
    /// The minion answers holds.
    Held,
    /// Several holds in a row went unanswered.
    Silent,
}

/// State of a minion in the scheduler of its owner.
#[derive(Debug)]
pub(crate) struct Minion {
    /// The minion's entry in the register.
    pub info: MinionInfo,
    /// Fencing token that orders to the minion carry.
    pub fence: Fence,
    /// State of the owner's hold on the minion.
    pub hold_state: HoldState,
    /// The newest known value of the minion's clock, and the time at which it
    /// arrived.
    pub clock: Option<(LeaseTime, Timestamp)>,
    /// Sequence number of the last end that was processed.
    pub seen: u64,
    /// Runs that may be on the minion.
    pub runs: Vec<Run>,
    /// The process that the undecided runs were sent to; `None` if no restart is
    /// waiting for the first list of the new process.
    pub former: Option<Process>,
    /// Start time of a process that an entry of the register named and a list has
    /// refuted.
    pub refuted: Option<u64>,
    /// Failures and speed of the minion.
    pub health: Health,
    /// Largest capacity of the minion since its process started.
    pub size: Resources,
    /// Kind of the minion, by its label and size.
    pub kind: MinionKind,
    /// Run times relative to those of other minions of the kind.
    pub pace: Pace,
    /// True from a start refused as [`StartReply::Full`] until the next list:
    /// the minion has less free capacity than computed here.
    pub full: bool,
    /// Time at which the latest hold was sent.
    pub hold_sent: Timestamp,
    /// Time at which the hold was sent that the newest list answers. The process was
    /// alive then, so a later one is younger than that.
    pub listing_asked: Timestamp,
    /// Time at which the newest list arrived.
    pub last_listing: Timestamp,
    /// Number of consecutive unanswered holds.
    pub missed_holds: u32,
    /// Time of the last unanswered hold.
    pub last_missed: Option<Timestamp>,
    /// True if the runs of the silent minion are recorded as lost.
    pub losses_known: bool,
    /// Time at which an order that renews the lease was last sent.
    pub last_renewal: Timestamp,
    /// Losses of the minion to other VMs.
    pub contest: Contest,
}

/// Factor by which a lease may outlast the owner's clock: minions' clocks may
/// be 2% slow, and the order takes time to arrive.
const LEASE_MARGIN: f64 = 1.05;

/// Time added to the lease for the delivery of the order, in milliseconds.
const LEASE_TRAVEL_MS: f64 = 100.0;

/// Returns whether a lease that was last renewed at `since` has lapsed on the minion's
/// clock.
fn has_lapsed(lease: Millis, since: Timestamp, now: Timestamp) -> bool {
    now.since(since).0 as f64 > lease.0 as f64 * LEASE_MARGIN + LEASE_TRAVEL_MS
}

/// Age that a process's clock may show at its start, in milliseconds.
const CLOCK_SLACK_MS: u64 = 100;

impl Minion {
    /// Creates the state of a minion that is still to be held.
    pub fn new(info: MinionInfo, fence: Fence) -> Minion {
        Minion {
            size: info.capacity,
            kind: MinionKind::of(&info.kind, &info.capacity),
            pace: Pace::default(),
            info,
            fence,
            hold_state: HoldState::Pending,
            clock: None,
            seen: 0,
            runs: Vec::new(),
            former: None,
            refuted: None,
            health: Health::default(),
            full: false,
            hold_sent: Timestamp(0),
            listing_asked: Timestamp(0),
            last_listing: Timestamp(0),
            missed_holds: 0,
            last_missed: None,
            losses_known: false,
            last_renewal: Timestamp(0),
            contest: Contest::default(),
        }
    }

    /// Replaces the entry in the register. A minion that returns as another kind
    /// starts from the speed of that kind; one whose capacity shrinks stays of its
    /// kind.
    pub fn set_info(&mut self, info: MinionInfo) {
        self.info = info;
        self.set_size(self.info.capacity);
    }

    /// Records a capacity that the minion has had since its process started.
    pub fn set_size(&mut self, size: Resources) {
        self.size = self.size.max(&size);
        let kind = MinionKind::of(&self.info.kind, &self.size);
        if kind != self.kind {
            self.kind = kind;
            self.pace = Pace::default();
        }
    }

    /// Returns the lowest value that the minion's clock can have at `now`, or
    /// `None` if the minion has not answered yet.
    pub fn clock_at(&self, now: Timestamp) -> Option<LeaseTime> {
        let (clock, at) = self.clock?;
        Some(clock.after(now.since(at)))
    }

    /// Updates the known value of the minion's clock, ignoring answers that are
    /// older.
    pub fn update_clock(&mut self, clock: LeaseTime, now: Timestamp) {
        if self.clock.is_none_or(|(last, _)| clock >= last) {
            self.clock = Some((clock, now));
        }
    }

    /// Learns the clock, room and health from the answer to a start.
    pub fn observe_start(&mut self, reply: StartReply, now: Timestamp) {
        match reply {
            StartReply::Accepted(clock) | StartReply::Old(clock) | StartReply::Late(clock) => {
                self.update_clock(clock, now);
            }
            StartReply::Full(clock) => {
                self.update_clock(clock, now);
                self.full = true;
            }
            StartReply::Unhealthy => self.health.record_failure(),
            _ => {}
        }
    }

    /// Returns the free capacity, or zero while the minion has a run of unknown
    /// size.
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

    /// Returns whether the minion may get new work at `now`.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        let probed = self.health.probing && !self.runs.is_empty();
        self.hold_state == HoldState::Held
            && !self.info.draining
            && !self.full
            && !self.hosts_suspect()
            && !probed
            && !self.health.is_ejected(now)
    }

    /// Returns whether the minion is kept for a suspect, the only run on it.
    pub fn hosts_suspect(&self) -> bool {
        self.runs.iter().any(|r| r.alone)
    }

    /// Returns a run of the minion.
    pub fn run_mut(&mut self, task: &TaskName, number: RunNumber) -> Option<&mut Run> {
        self.runs
            .iter_mut()
            .find(|r| r.number == number && r.task == *task)
    }

    /// Removes a run and returns it.
    pub fn remove(&mut self, task: &TaskName, number: RunNumber) -> Option<Run> {
        let at = self
            .runs
            .iter()
            .position(|r| r.number == number && r.task == *task)?;
        Some(self.runs.swap_remove(at))
    }

    /// Returns whether a run whose start was answered at `clock` is shown to be the
    /// known process's: one that has started since its last list can't be as old.
    pub fn is_attributed(&self, clock: LeaseTime, now: Timestamp) -> bool {
        clock.0 > now.since(self.listing_asked).0 + CLOCK_SLACK_MS
    }

    /// Returns whether the minion has gone without a renewal for so long that its
    /// lease has lapsed, and none of the runs of its known process can still execute.
    pub fn lease_lapsed(&self, now: Timestamp, cfg: &ScheduleConfig) -> bool {
        self.hold_state != HoldState::Held && has_lapsed(cfg.lease, self.last_renewal, now)
    }

    /// Returns the runs that can no longer execute, as their leases have lapsed.
    ///
    /// A process unknown to the owner takes the lease time of an order, which is on its
    /// predecessor's clock, for one on its own, and grants its longest lease. See
    /// docs/incidents/lease-of-new-process.md.
    pub fn lapsed_runs(&self, now: Timestamp, cfg: &ScheduleConfig) -> impl Iterator<Item = &Run> {
        let lapsed = self.lease_lapsed(now, cfg);
        let longest = cfg.max_lease.max(cfg.lease);
        self.runs.iter().filter(move |run| {
            let since = self.last_renewal.max(run.last_contact);
            lapsed && (run.attributed || has_lapsed(longest, since, now))
        })
    }

    /// Returns the minion's present process.
    pub fn process(&self) -> Process {
        Process {
            born: self.info.born,
            draining: self.info.draining,
        }
    }

    /// Compares the known runs with a new list. Returns runs that are over
    /// without a reported end, and adds listed runs of other owners.
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
                run.attributed = true;
                run.confirmed = run.confirmed.max(Some(list.clock));
                kept.push(run);
            } else if run.is_over(list.clock, self.hold_sent) {
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

    /// Adds a run that another owner started, so that its capacity counts as
    /// taken until it is over.
    pub fn adopt(&mut self, task: TaskName, number: RunNumber, now: Timestamp) {
        self.runs.push(Run {
            task,
            number,
            job: None,
            need: None,
            phase: Phase::Running,
            attributed: true,
            born: self.info.born,
            sent: now,
            baseline: Millis(0),
            typical: Millis(0),
            expected: Millis(0),
            alone: false,
            confirmed: None,
            last_contact: now,
            start_limit: LeaseTime(0),
            stop_sent: None,
            stop_acked: None,
        });
    }
}
