//! The leased minions of a site on one clock, and the violations that their own
//! state reveals.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kernel::{LeaseTime, MinionId, RunNumber};
use schedule::{
    EndKind, HoldOrder, Listing, MinionInfo, StartOrder, StartReply, StopOrder, TaskName,
};

use crate::leased::LeasedMinion;
use crate::listener::lock;
use crate::work::Work;

/// Interval at which a waiting hold checks for ended runs.
const HOLD_POLL: Duration = Duration::from_millis(2);

/// First time on the fleet's clock in milliseconds. It is above zero so that a
/// lease of zero has lapsed.
const CLOCK_START: u64 = 1_000;

/// A violation of the dispatcher's guarantees that the minions' state reveals.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum MinionViolation {
    /// A task has two runs at once.
    RunsTwice {
        /// The task.
        task: TaskName,
        /// The minion and run number of the first run.
        first: (MinionId, RunNumber),
        /// The minion and run number of the second run.
        second: (MinionId, RunNumber),
    },
    /// A minion runs more than its capacity allows.
    Overfull {
        /// The minion.
        minion: MinionId,
        /// The resources that its runs take.
        used: String,
    },
    /// A start order carries a payload that is not a [`Work`].
    Payload {
        /// The task.
        task: TaskName,
        /// The payload.
        text: String,
    },
}

impl fmt::Display for MinionViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MinionViolation::RunsTwice {
                task,
                first,
                second,
            } => write!(
                f,
                "{task} runs as {} on {} and as {} on {}",
                first.1, first.0, second.1, second.0
            ),
            MinionViolation::Overfull { minion, used } => {
                write!(f, "{minion} uses {used}, more than its capacity")
            }
            MinionViolation::Payload { task, text } => {
                write!(f, "{task} was ordered with the invalid payload {text:?}")
            }
        }
    }
}

/// Returns the violations in the minions' current state.
pub fn find_violations<'a>(
    minions: impl Iterator<Item = &'a LeasedMinion>,
) -> Vec<MinionViolation> {
    let mut violations = Vec::new();
    let mut seen: BTreeMap<TaskName, (MinionId, RunNumber)> = BTreeMap::new();
    for minion in minions {
        let id = &minion.info.id;
        for (task, run) in minion.running() {
            let here = (id.clone(), run);
            if let Some(first) = seen.insert(task.clone(), here.clone()) {
                violations.push(MinionViolation::RunsTwice {
                    task,
                    first,
                    second: here,
                });
            }
        }
        if minion.is_overfull() {
            violations.push(MinionViolation::Overfull {
                minion: id.clone(),
                used: minion.used().to_string(),
            });
        }
    }
    violations
}

/// Error for an order to a minion that the fleet doesn't have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMinion(pub MinionId);

impl fmt::Display for UnknownMinion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "there is no minion {}", self.0)
    }
}

impl std::error::Error for UnknownMinion {}

/// A run that a minion started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStart {
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: RunNumber,
    /// The minion.
    pub minion: MinionId,
    /// The work in the order's payload.
    pub work: Work,
    /// The time of the start in milliseconds on the fleet's clock.
    pub at: u64,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: RunNumber,
    /// The way in which it ended.
    pub kind: EndKind,
    /// The time at which the end was noticed, in milliseconds on the fleet's
    /// clock.
    pub at: u64,
}

/// The minions, and what they have recorded.
#[derive(Debug, Default)]
struct State {
    minions: BTreeMap<MinionId, LeasedMinion>,
    starts: Vec<RunStart>,
    ends: Vec<RunEnd>,
    violations: Vec<MinionViolation>,
}

impl State {
    fn minion(&mut self, id: &MinionId) -> Result<&mut LeasedMinion, UnknownMinion> {
        self.minions
            .get_mut(id)
            .ok_or_else(|| UnknownMinion(id.clone()))
    }

    fn advance(&mut self, now: u64) {
        for minion in self.minions.values_mut() {
            let ends = minion.advance(now);
            self.ends.extend(ends.into_iter().map(|e| RunEnd {
                task: e.task,
                run: e.run,
                kind: e.kind,
                at: now,
            }));
        }
    }
}

/// A cloneable handle to the minions of a site.
#[derive(Debug, Clone)]
pub struct LeasedFleet {
    state: Arc<Mutex<State>>,
    start: Instant,
}

impl LeasedFleet {
    /// Creates a fleet of idle minions.
    pub fn new(infos: impl IntoIterator<Item = MinionInfo>) -> LeasedFleet {
        let minions = infos.into_iter().map(LeasedMinion::new);
        let state = State {
            minions: minions.map(|m| (m.info.id.clone(), m)).collect(),
            ..State::default()
        };
        LeasedFleet {
            state: Arc::new(Mutex::new(state)),
            start: Instant::now(),
        }
    }

    /// Returns the time on the fleet's clock in milliseconds.
    pub fn now(&self) -> u64 {
        CLOCK_START + self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Advances all minions to the current time, and returns their state and the
    /// time.
    fn advance(&self) -> (MutexGuard<'_, State>, u64) {
        let mut state = self.lock();
        let now = self.now();
        state.advance(now);
        (state, now)
    }

    /// Returns each minion's entry in the register.
    pub fn infos(&self) -> Vec<MinionInfo> {
        let state = self.lock();
        state.minions.values().map(|m| m.info.clone()).collect()
    }

    /// Changes a minion. Does nothing if the fleet has no minion of that id.
    pub fn change(&self, id: &MinionId, change: impl FnOnce(&mut LeasedMinion, u64)) {
        let (mut state, now) = self.advance();
        if let Some(minion) = state.minions.get_mut(id) {
            change(minion, now);
        }
    }

    /// Returns the violations seen so far.
    pub fn violations(&self) -> Vec<MinionViolation> {
        self.lock().violations.clone()
    }

    /// Returns all runs that were started.
    pub fn starts(&self) -> Vec<RunStart> {
        self.lock().starts.clone()
    }

    /// Returns all runs that have ended.
    pub fn ends(&self) -> Vec<RunEnd> {
        self.advance().0.ends.clone()
    }

    /// Returns the tasks whose runs ended with their minion, each with the time.
    pub fn lost(&self) -> Vec<(TaskName, u64)> {
        let (state, _) = self.advance();
        let minions = state.minions.values();
        minions.flat_map(|m| m.lost().iter().cloned()).collect()
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        let (state, _) = self.advance();
        state.minions.values().map(|m| m.running().len()).sum()
    }

    /// Returns whether a minion's process is down, so that it answers nothing.
    pub fn is_down(&self, id: &MinionId) -> bool {
        let (state, _) = self.advance();
        state.minions.get(id).is_some_and(LeasedMinion::is_down)
    }

    /// Executes a start order.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no such minion.
    pub fn start(&self, order: &StartOrder) -> Result<StartReply, UnknownMinion> {
        let (mut state, now) = self.advance();
        let Ok(work) = order.payload.parse::<Work>() else {
            state.violations.push(MinionViolation::Payload {
                task: order.task.clone(),
                text: order.payload.to_string(),
            });
            return Ok(StartReply::Malformed);
        };
        let minion = state.minion(&order.minion)?;
        let before = (minion.running().len(), minion.is_down());
        let reply = minion.start(order, work, now);
        let crashed = minion.is_down() && !before.1;
        if crashed || minion.running().len() > before.0 {
            state.starts.push(RunStart {
                task: order.task.clone(),
                run: order.run,
                minion: order.minion.clone(),
                work,
                at: now,
            });
            let violations = find_violations(state.minions.values());
            state.violations.extend(violations);
        }
        Ok(reply)
    }

    /// Executes a stop order and returns the time on the minion's lease clock, or
    /// none if the minion has seen a higher token.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no such minion.
    pub fn stop(&self, order: &StopOrder) -> Result<Option<LeaseTime>, UnknownMinion> {
        let (mut state, now) = self.advance();
        Ok(state.minion(&order.minion)?.stop(order, now))
    }

    /// Answers a hold once a run has ended or the order's wait is over. Returns
    /// none if the minion has seen a higher token.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no such minion.
    pub async fn hold(
        &self,
        id: &MinionId,
        order: &HoldOrder,
    ) -> Result<Option<Listing>, UnknownMinion> {
        let until = Instant::now() + order.wait.duration();
        loop {
            let listing = {
                let (mut state, now) = self.advance();
                state.minion(id)?.hold(order, now)
            };
            match listing {
                Some(listing) if listing.ended.is_empty() && Instant::now() < until => {
                    tokio::time::sleep(HOLD_POLL).await;
                }
                reply => return Ok(reply),
            }
        }
    }
}
