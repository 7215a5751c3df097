//! The queue of tasks that wait for a slot of one service.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

use kernel::{HashMap, JobKey, Team, Timestamp};

use crate::order::{JobOrder, rank};

/// Largest number of turns that a team catches up after its quota held it back,
/// so that it does not block the other teams for long.
const MAX_CATCH_UP: u64 = 16;

/// A task to be queued.
#[derive(Debug, Clone)]
pub struct Waiting<T> {
    /// The team whose quota the slot counts against.
    pub team: Team,
    /// The job of the task, which decides its place in the queue.
    pub job: JobOrder,
    /// The value that is returned when the task leaves the queue.
    pub item: T,
}

/// The result of adding a task to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Enqueued {
    /// The number of tasks in the queue, including this one.
    pub len: usize,
}

/// The reason why a task is not accepted into the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue holds its maximum number of tasks.
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
    /// The key of the job.
    key: JobKey,
    /// The team of the job.
    team: Team,
    /// The time at which the job arrived.
    arrival: Timestamp,
    /// The time at which its caller stops waiting.
    deadline: Timestamp,
    /// The rank of the job within its team; the lowest goes first.
    rank: u64,
    /// The number of the job in the order of queueing, which breaks ties.
    serial: u64,
    /// The waiting tasks, oldest first.
    items: VecDeque<T>,
}

/// The waiting tasks of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// The number of turns used by started tasks, on the scale of
    /// [`Queue::turn`].
    turn: u64,
    /// The number of waiting tasks.
    tasks: usize,
    /// The jobs by rank and serial.
    jobs: BTreeSet<(u64, u64)>,
}

/// A bounded queue that is fair between teams: the team served least goes
/// first, and a team that was idle starts level with the others. Within a team,
/// jobs are ordered by arrival and by the number of tasks left.
#[derive(Debug)]
pub struct Queue<T> {
    /// The largest number of tasks allowed.
    max: usize,
    /// The number of tasks.
    len: usize,
    /// The serial of the next job.
    next_serial: u64,
    /// The highest turn served so far.
    turn: u64,
    /// The jobs by serial.
    jobs: HashMap<u64, Job<T>>,
    /// The serials of jobs by key.
    serials: HashMap<JobKey, u64>,
    /// The queues of teams with waiting tasks.
    team_queues: HashMap<Team, TeamQueue>,
    /// The teams with waiting tasks, ordered by turn.
    turns: BTreeSet<(u64, Team)>,
    /// The serials of jobs, ordered by deadline.
    deadlines: BTreeSet<(Timestamp, u64)>,
}

impl<T> Queue<T> {
    /// Creates a queue for at most `max` tasks.
    pub fn new(max: usize) -> Queue<T> {
        Queue {
            max,
            len: 0,
            next_serial: 0,
            turn: 0,
            jobs: HashMap::default(),
            serials: HashMap::default(),
            team_queues: HashMap::default(),
            turns: BTreeSet::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of teams with waiting tasks.
    pub fn teams(&self) -> usize {
        self.team_queues.len()
    }

    /// Returns the teams with waiting tasks and the number of these tasks.
    pub fn by_team(&self) -> impl Iterator<Item = (&Team, usize)> {
        self.team_queues
            .iter()
            .map(|(team, queue)| (team, queue.tasks))
    }

    /// Returns the number of waiting tasks of a job.
    pub fn len_of(&self, job: &JobKey) -> usize {
        let serial = self.serials.get(job);
        serial.map_or(0, |s| self.jobs[s].items.len())
    }

    /// Adds a task. A task that a minion refused is pushed again with the same
    /// arrival, which puts its job in the same place as before.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Full`] when the queue holds its maximum number of
    /// tasks.
    pub fn push(&mut self, entry: Waiting<T>) -> Result<Enqueued, Refusal> {
        if self.len >= self.max {
            return Err(Refusal::Full);
        }
        let Waiting { team, job, item } = entry;
        match self.serials.get(&job.key) {
            Some(&serial) => self.add_task(serial, item, job.tasks_left),
            None => self.add_job(team, job, item),
        }
        self.len += 1;
        Ok(Enqueued { len: self.len })
    }

    /// Removes and returns the next task of a team that `may_start` one. Tasks
    /// past their deadline are left for [`Queue::expire`].
    pub fn pop(&mut self, now: Timestamp, mut may_start: impl FnMut(&Team) -> bool) -> Option<T> {
        let (serial, turn) = self.find_next(now, &mut may_start)?;
        let job = self.jobs.get_mut(&serial)?;
        let item = job.items.pop_front()?;
        let (team, left) = (job.team.clone(), job.items.len());
        self.len -= 1;
        if let Some(queue) = self.team_queues.get_mut(&team) {
            queue.tasks -= 1;
        }
        self.turn = self.turn.max(turn);
        self.count_start(&team);
        if left == 0 {
            self.remove(serial);
        } else {
            self.rerank(serial, left);
        }
        Some(item)
    }

    /// Removes and returns the tasks of a job.
    pub fn cancel(&mut self, job: &JobKey) -> Vec<T> {
        match self.serials.get(job) {
            Some(&serial) => self.drain(serial),
            None => Vec::new(),
        }
    }

    /// Removes and returns the tasks of all jobs past their deadline.
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

    /// Returns the deadline of the next job to expire.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Returns the serial of the first job of the first team that may start a
    /// task, and the turn of the team.
    fn find_next(
        &self,
        now: Timestamp,
        may_start: &mut impl FnMut(&Team) -> bool,
    ) -> Option<(u64, u64)> {
        for (turn, team) in &self.turns {
            let in_time = |serial: &u64| self.jobs[serial].deadline > now;
            let jobs = self.team_queues[team]
                .jobs
                .iter()
                .map(|(_, serial)| *serial);
            let Some(serial) = jobs.clone().find(in_time) else {
                continue;
            };
            if may_start(team) {
                return Some((serial, *turn));
            }
        }
        None
    }

    /// Adds a task to a job that is already queued.
    fn add_task(&mut self, serial: u64, item: T, left: usize) {
        let Some(job) = self.jobs.get_mut(&serial) else {
            return;
        };
        job.items.push_back(item);
        let left = left.max(job.items.len());
        if let Some(queue) = self.team_queues.get_mut(&job.team) {
            queue.tasks += 1;
        }
        self.rerank(serial, left);
    }

    /// Adds a job with its first task.
    fn add_job(&mut self, team: Team, order: JobOrder, item: T) {
        let serial = self.next_serial;
        self.next_serial += 1;
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
        let queue = self
            .team_queues
            .entry(team.clone())
            .or_insert_with(|| TeamQueue {
                turn,
                tasks: 0,
                jobs: BTreeSet::new(),
            });
        queue.tasks += 1;
        queue.jobs.insert((job.rank, serial));
        self.turns.insert((queue.turn, team));
        self.jobs.insert(serial, job);
    }

    /// Updates the rank of a job that has `left` tasks to start.
    fn rerank(&mut self, serial: u64, left: usize) {
        let Some(job) = self.jobs.get_mut(&serial) else {
            return;
        };
        let Some(queue) = self.team_queues.get_mut(&job.team) else {
            return;
        };
        queue.jobs.remove(&(job.rank, job.serial));
        job.rank = rank(job.arrival, left);
        queue.jobs.insert((job.rank, job.serial));
    }

    /// Counts a started task against its team.
    fn count_start(&mut self, team: &Team) {
        let Some(queue) = self.team_queues.get_mut(team) else {
            return;
        };
        self.turns.remove(&(queue.turn, team.clone()));
        queue.turn = queue.turn.max(self.turn.saturating_sub(MAX_CATCH_UP)) + 1;
        self.turns.insert((queue.turn, team.clone()));
    }

    /// Removes a job and returns its tasks.
    fn drain(&mut self, serial: u64) -> Vec<T> {
        let items = self.remove(serial);
        self.len -= items.len();
        items.into()
    }

    /// Removes a job, and its team if that has no other waiting job.
    fn remove(&mut self, serial: u64) -> VecDeque<T> {
        let Some(job) = self.jobs.remove(&serial) else {
            return VecDeque::new();
        };
        self.deadlines.remove(&(job.deadline, serial));
        self.serials.remove(&job.key);
        if let Some(queue) = self.team_queues.get_mut(&job.team) {
            queue.tasks -= job.items.len();
            queue.jobs.remove(&(job.rank, serial));
            if queue.jobs.is_empty() {
                self.turns.remove(&(queue.turn, job.team.clone()));
                self.team_queues.remove(&job.team);
            }
        }
        job.items
    }
}
