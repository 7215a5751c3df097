//! The tasks that wait for a slot of one service.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use kernel::{HashMap, JobKey, Team, Timestamp};

use crate::order::{JobOrder, rank};

/// How many turns a team may catch up after its quota held it back, so that
/// it does not keep the others out for long.
const CREDIT: u64 = 16;

/// A task that waits.
#[derive(Debug, Clone)]
pub struct Waiting<T> {
    /// The team that the slot counts for.
    pub team: Team,
    /// The job's place.
    pub job: JobOrder,
    /// What the caller gets back when it is the task's turn.
    pub item: T,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Tasks in the queue, this one included.
    pub len: usize,
}

/// Why a task can't wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue holds as many tasks as it may.
    Full,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue is full")
    }
}

impl std::error::Error for Refusal {}

/// A job with waiting tasks.
#[derive(Debug)]
struct Job<T> {
    /// Its key.
    key: JobKey,
    /// Its team.
    team: Team,
    /// When it arrived.
    arrival: Timestamp,
    /// When its caller stops waiting.
    deadline: Timestamp,
    /// The job's rank in its team.
    rank: u64,
    /// The order of the job's arrival in the queue, which breaks ties.
    serial: u64,
    /// Its tasks, oldest first.
    items: VecDeque<T>,
}

/// A team with waiting tasks, or with a turn taken lately.
#[derive(Debug, Default)]
struct Line {
    /// Tasks started, on the scale of [`Queue::turn`].
    turn: u64,
    /// Waiting tasks.
    tasks: usize,
    /// Its jobs by rank and serial.
    jobs: BTreeSet<(u64, u64)>,
}

/// A bounded queue that is fair between teams: the team served least goes
/// first, and a team that comes back from idling starts level with the
/// others. Within a team jobs go by arrival and by the tasks they have left.
#[derive(Debug)]
pub struct Queue<T> {
    /// The most tasks.
    max: usize,
    /// The number of tasks.
    len: usize,
    /// The next job's serial.
    next: u64,
    /// The highest turn served.
    turn: u64,
    /// Jobs by serial.
    jobs: HashMap<u64, Job<T>>,
    /// Serials by key.
    serials: HashMap<JobKey, u64>,
    /// Teams with waiting tasks.
    lines: HashMap<Team, Line>,
    /// Teams with waiting tasks, by turn.
    turns: BTreeSet<(u64, Team)>,
    /// Jobs by deadline.
    deadlines: BTreeSet<(Timestamp, u64)>,
}

impl<T> Queue<T> {
    /// Makes a queue for at most `max` tasks.
    pub fn new(max: usize) -> Queue<T> {
        Queue {
            max,
            len: 0,
            next: 0,
            turn: 0,
            jobs: HashMap::default(),
            serials: HashMap::default(),
            lines: HashMap::default(),
            turns: BTreeSet::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Counts the tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Counts the teams that wait.
    pub fn teams(&self) -> usize {
        self.lines.len()
    }

    /// Returns the teams that wait, with the number of their tasks.
    pub fn by_team(&self) -> impl Iterator<Item = (&Team, usize)> {
        self.lines.iter().map(|(team, line)| (team, line.tasks))
    }

    /// Counts the tasks of a job.
    pub fn len_of(&self, job: &JobKey) -> usize {
        let serial = self.serials.get(job);
        serial.map_or(0, |s| self.jobs[s].items.len())
    }

    /// Adds a task. A task that was refused by a minion is pushed again with
    /// the same arrival and comes to its old place.
    ///
    /// # Errors
    ///
    /// [`Refusal::Full`] when the queue holds as many tasks as it may.
    pub fn push(&mut self, entry: Waiting<T>) -> Result<Place, Refusal> {
        if self.len >= self.max {
            return Err(Refusal::Full);
        }
        let Waiting { team, job, item } = entry;
        match self.serials.get(&job.key) {
            Some(&serial) => self.join(serial, item, job.tasks_left),
            None => self.open(team, job, item),
        }
        self.len += 1;
        Ok(Place { len: self.len })
    }

    /// Takes the next task of a team that `may` start one. Tasks whose
    /// deadline has passed stay for [`Queue::expire`].
    pub fn pop(&mut self, now: Timestamp, mut may: impl FnMut(&Team) -> bool) -> Option<T> {
        let (serial, turn) = self.first(now, &mut may)?;
        let job = self.jobs.get_mut(&serial)?;
        let item = job.items.pop_front()?;
        let (team, left) = (job.team.clone(), job.items.len());
        self.len -= 1;
        if let Some(line) = self.lines.get_mut(&team) {
            line.tasks -= 1;
        }
        self.turn = self.turn.max(turn);
        self.advance(&team);
        if left == 0 {
            self.remove(serial);
        } else {
            self.rerank(serial, left);
        }
        Some(item)
    }

    /// Drops a job's tasks and returns them.
    pub fn cancel(&mut self, job: &JobKey) -> Vec<T> {
        match self.serials.get(job) {
            Some(&serial) => self.drain(serial),
            None => Vec::new(),
        }
    }

    /// Drops the tasks of all jobs whose deadline has passed and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        let mut dropped = Vec::new();
        while let Some(&(deadline, serial)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            dropped.extend(self.drain(serial));
        }
        dropped
    }

    /// Returns when the next job expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Finds the first job of the first team that may start a task, and the
    /// team's turn.
    fn first(&self, now: Timestamp, may: &mut impl FnMut(&Team) -> bool) -> Option<(u64, u64)> {
        for (turn, team) in &self.turns {
            let live = |serial: &u64| self.jobs[serial].deadline > now;
            let jobs = self.lines[team].jobs.iter().map(|(_, serial)| *serial);
            let Some(serial) = jobs.clone().find(live) else {
                continue;
            };
            if may(team) {
                return Some((serial, *turn));
            }
        }
        None
    }

    /// Adds a task to a job that waits already.
    fn join(&mut self, serial: u64, item: T, left: usize) {
        let Some(job) = self.jobs.get_mut(&serial) else {
            return;
        };
        job.items.push_back(item);
        let left = left.max(job.items.len());
        if let Some(line) = self.lines.get_mut(&job.team) {
            line.tasks += 1;
        }
        self.rerank(serial, left);
    }

    /// Adds a job with its first task.
    fn open(&mut self, team: Team, order: JobOrder, item: T) {
        let serial = self.next;
        self.next += 1;
        let job = Job {
            key: order.key.clone(),
            team: team.clone(),
            arrival: order.arrival,
            deadline: order.deadline,
            rank: rank(order.arrival, order.tasks_left),
            serial,
            items: VecDeque::from([item]),
        };
        self.deadlines.insert((job.deadline, serial));
        self.serials.insert(order.key, serial);
        let turn = self.turn;
        let line = self.lines.entry(team.clone()).or_insert_with(|| Line {
            turn,
            tasks: 0,
            jobs: BTreeSet::new(),
        });
        line.tasks += 1;
        line.jobs.insert((job.rank, serial));
        self.turns.insert((line.turn, team));
        self.jobs.insert(serial, job);
    }

    /// Puts a job in the place that `left` tasks to start give it.
    fn rerank(&mut self, serial: u64, left: usize) {
        let Some(job) = self.jobs.get_mut(&serial) else {
            return;
        };
        let Some(line) = self.lines.get_mut(&job.team) else {
            return;
        };
        line.jobs.remove(&(job.rank, job.serial));
        job.rank = rank(job.arrival, left);
        line.jobs.insert((job.rank, job.serial));
    }

    /// Counts a started task against its team.
    fn advance(&mut self, team: &Team) {
        let Some(line) = self.lines.get_mut(team) else {
            return;
        };
        self.turns.remove(&(line.turn, team.clone()));
        line.turn = line.turn.max(self.turn.saturating_sub(CREDIT)) + 1;
        self.turns.insert((line.turn, team.clone()));
    }

    /// Removes a job and returns its tasks.
    fn drain(&mut self, serial: u64) -> Vec<T> {
        let items = self.remove(serial);
        self.len -= items.len();
        items.into()
    }

    /// Removes a job, and its team when no other job of it waits.
    fn remove(&mut self, serial: u64) -> VecDeque<T> {
        let Some(job) = self.jobs.remove(&serial) else {
            return VecDeque::new();
        };
        self.deadlines.remove(&(job.deadline, serial));
        self.serials.remove(&job.key);
        if let Some(line) = self.lines.get_mut(&job.team) {
            line.tasks -= job.items.len();
            line.jobs.remove(&(job.rank, serial));
            if line.jobs.is_empty() {
                self.turns.remove(&(line.turn, job.team.clone()));
                self.lines.remove(&job.team);
            }
        }
        job.items
    }
}
