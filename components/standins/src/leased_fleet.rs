//! The leased minions of a site on one clock, and the rules that their own
//! state shows broken.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kernel::{LeaseTime, MinionId, RunNumber};
use schedule::{
    EndKind, HoldOrder, Listing, MinionInfo, Resources, StartOrder, StartReply, StopOrder, TaskName,
};

use crate::leased::LeasedMinion;
use crate::listener::lock;
use crate::work::Work;

/// How often a waiting hold looks for an end.
const LOOK: Duration = Duration::from_millis(2);

/// Where the fleet's clock starts, in milliseconds, so that a lease of zero has
/// lapsed.
const CLOCK_START: u64 = 1_000;

/// A rule that minions have seen broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// A task runs twice at once.
    RunsTwice {
        /// The task.
        task: TaskName,
        /// One of the two.
        first: (MinionId, RunNumber),
        /// The other.
        second: (MinionId, RunNumber),
    },
    /// A minion runs more than it has room for.
    Overfull {
        /// The minion.
        minion: MinionId,
        /// What it runs.
        used: String,
    },
    /// A start carries a payload that nobody submitted.
    Payload {
        /// The task.
        task: TaskName,
        /// The payload.
        text: String,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::RunsTwice {
                task,
                first,
                second,
            } => write!(
                f,
                "{task} runs as {} on {} and as {} on {}",
                first.1, first.0, second.1, second.0
            ),
            Breach::Overfull { minion, used } => write!(f, "{minion} holds {used}"),
            Breach::Payload { task, text } => write!(f, "{task} was told {text:?}"),
        }
    }
}

/// Returns the rules that the minions' present state breaks.
pub fn breaches<'a>(minions: impl Iterator<Item = &'a LeasedMinion>) -> Vec<Breach> {
    let mut broken = Vec::new();
    let mut seen: BTreeMap<TaskName, (MinionId, RunNumber)> = BTreeMap::new();
    for minion in minions {
        let id = &minion.info.id;
        for (task, run) in minion.running() {
            let here = (id.clone(), run);
            if let Some(first) = seen.insert(task.clone(), here.clone()) {
                broken.push(Breach::RunsTwice {
                    task,
                    first,
                    second: here,
                });
            }
        }
        let used: Resources = minion.used();
        if !used.fits(&minion.info.capacity) {
            broken.push(Breach::Overfull {
                minion: id.clone(),
                used: used.to_string(),
            });
        }
    }
    broken
}

/// There is no minion of this id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Absent(pub MinionId);

impl fmt::Display for Absent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no minion {}", self.0)
    }
}

impl std::error::Error for Absent {}

/// A start that a minion took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStart {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
    /// The minion.
    pub minion: MinionId,
    /// What the task was told to do.
    pub work: Work,
    /// When, in milliseconds on the fleet's clock.
    pub at: u64,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// When it was noticed, in milliseconds on the fleet's clock.
    pub at: u64,
}

/// What the fleet has seen.
#[derive(Debug, Default)]
struct State {
    minions: BTreeMap<MinionId, LeasedMinion>,
    starts: Vec<RunStart>,
    ends: Vec<RunEnd>,
    broken: Vec<Breach>,
}

impl State {
    fn minion(&mut self, id: &MinionId) -> Result<&mut LeasedMinion, Absent> {
        self.minions.get_mut(id).ok_or_else(|| Absent(id.clone()))
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
    /// Makes a fleet of idle minions.
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

    /// Returns the fleet's clock in milliseconds.
    pub fn now(&self) -> u64 {
        CLOCK_START + self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Brings all minions to the present and returns their state.
    fn present(&self) -> (MutexGuard<'_, State>, u64) {
        let mut state = self.lock();
        let now = self.now();
        state.advance(now);
        (state, now)
    }

    /// Returns what the register says of each minion.
    pub fn infos(&self) -> Vec<MinionInfo> {
        let state = self.lock();
        state.minions.values().map(|m| m.info.clone()).collect()
    }

    /// Changes a minion; nothing happens if there is none of that id.
    pub fn change(&self, id: &MinionId, change: impl FnOnce(&mut LeasedMinion, u64)) {
        let (mut state, now) = self.present();
        if let Some(minion) = state.minions.get_mut(id) {
            change(minion, now);
        }
    }

    /// Returns the rules that were seen broken.
    pub fn broken(&self) -> Vec<Breach> {
        self.lock().broken.clone()
    }

    /// Returns all starts that were taken.
    pub fn starts(&self) -> Vec<RunStart> {
        self.lock().starts.clone()
    }

    /// Returns all ends of runs so far.
    pub fn ends(&self) -> Vec<RunEnd> {
        self.present().0.ends.clone()
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        let (state, _) = self.present();
        state.minions.values().map(|m| m.running().len()).sum()
    }

    /// Takes an order to start.
    ///
    /// # Errors
    ///
    /// Fails if there is no such minion.
    pub fn start(&self, order: &StartOrder) -> Result<StartReply, Absent> {
        let (mut state, now) = self.present();
        let Ok(work) = order.payload.parse::<Work>() else {
            state.broken.push(Breach::Payload {
                task: order.task.clone(),
                text: order.payload.to_string(),
            });
            return Ok(StartReply::Malformed);
        };
        let minion = state.minion(&order.minion)?;
        let known = minion.running().len();
        let reply = minion.start(order, work, now);
        if minion.running().len() > known {
            state.starts.push(RunStart {
                task: order.task.clone(),
                run: order.run,
                minion: order.minion.clone(),
                work,
                at: now,
            });
            let broken = breaches(state.minions.values());
            state.broken.extend(broken);
        }
        Ok(reply)
    }

    /// Takes an order to stop; none is returned under a lower token.
    ///
    /// # Errors
    ///
    /// Fails if there is no such minion.
    pub fn stop(&self, order: &StopOrder) -> Result<Option<LeaseTime>, Absent> {
        let (mut state, now) = self.present();
        Ok(state.minion(&order.minion)?.stop(order, now))
    }

    /// Answers a hold, once a run ends or the order's wait is over; none is
    /// returned under a lower token.
    ///
    /// # Errors
    ///
    /// Fails if there is no such minion.
    pub async fn hold(&self, id: &MinionId, order: &HoldOrder) -> Result<Option<Listing>, Absent> {
        let until = Instant::now() + order.wait.duration();
        loop {
            let list = {
                let (mut state, now) = self.present();
                state.minion(id)?.hold(order, now)
            };
            match list {
                Some(list) if list.ended.is_empty() && Instant::now() < until => {
                    tokio::time::sleep(LOOK).await;
                }
                told => return Ok(told),
            }
        }
    }
}
