//! The scheduler: jobs and minions under one owner.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use kernel::{HashMap, Millis, MinionId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::admission::{Admission, Backlog, HOPELESS_RETRY, decide};
use crate::config::ScheduleConfig;
use crate::ids::{Fence, JobId, LeaseTime, RunNumber, TaskName};
use crate::job::{Job, JobSpec, Outcome, Step, Summary, TaskState};
use crate::minion::{EndKind, Grip, Minion, MinionInfo};
use crate::order::{late, rank};
use crate::place::Rooms;
use crate::run::{Phase, Run};

/// How much longer a job's slowest task takes than its estimate, as tasks of a
/// job differ.
const SLOWEST_TASK: f64 = 1.15;

/// The weight of the newest run in a queue's learned run time.
const LEARN_WEIGHT: f64 = 0.02;

/// How many blocked jobs keep a minion free for themselves; more would idle
/// room that others can use.
const RESERVATIONS: usize = 2;

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The minion.
    pub minion: MinionId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The owner's token.
    pub fence: Fence,
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
    /// What the task is told.
    pub payload: Arc<str>,
    /// The minion's clock after which it must not start the run, and until
    /// which it keeps its runs.
    pub lease: LeaseTime,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// The minion.
    pub minion: MinionId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The owner's token.
    pub fence: Fence,
    /// The task.
    pub task: TaskName,
    /// Which of its starts.
    pub run: RunNumber,
}

/// What the owner has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a start; report its answer with [`Scheduler::started`].
    Start(StartOrder),
    /// Send a stop; report its answer with [`Scheduler::stopped`].
    Stop(StopOrder),
    /// Tell the job's caller how it ended.
    Settle(JobId, Outcome, Summary),
    /// A minion gets no work for the given time.
    Ejected(MinionId, Millis),
    /// A run ended by itself without a result, for logs.
    Failed(MinionId, TaskName, RunNumber, EndKind),
    /// A run lasts too long and is stopped, for logs.
    Hung(MinionId, TaskName, RunNumber),
}

/// How busy a shard is, as told to all entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Minions that may take work.
    pub minions: u32,
    /// Their cores.
    pub cores: f64,
    /// Cores that are free.
    pub free: f64,
    /// Core milliseconds of tasks that wait.
    pub waiting: f64,
}

impl Load {
    /// Returns how long the waiting tasks need.
    pub fn wait(&self) -> Millis {
        Millis((self.waiting / self.cores.max(1.0)) as u64)
    }
}

/// The run numbers given out for a job that has ended.
#[derive(Debug, Clone, Copy)]
struct Past {
    /// The highest.
    last: RunNumber,
    /// When the job ended.
    ended: Timestamp,
}

/// Decides what runs on a shard's minions.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: ScheduleConfig,
    pub(crate) minions: HashMap<MinionId, Minion>,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Jobs with waiting tasks.
    pub(crate) queue: Vec<JobId>,
    past: HashMap<JobId, Past>,
    /// Actual over estimated run time, by queue.
    ratios: HashMap<CompactString, f64>,
    pub(crate) actions: Vec<Action>,
    /// True while the shard is being handed over: nothing is decided.
    pub(crate) frozen: bool,
}

impl Scheduler {
    /// Makes a scheduler without minions.
    pub fn new(cfg: ScheduleConfig) -> Scheduler {
        Scheduler {
            cfg,
            minions: HashMap::default(),
            jobs: HashMap::default(),
            queue: Vec::new(),
            past: HashMap::default(),
            ratios: HashMap::default(),
            actions: Vec::new(),
            frozen: false,
        }
    }

    /// Returns what is to be carried out since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Adds a minion that is to be taken under `fence`, or notes what has
    /// changed of one. Returns true if it is new, or newly started.
    pub fn register(&mut self, info: MinionInfo, fence: Fence) -> bool {
        if let Some(minion) = self.minions.get_mut(&info.id) {
            if info.born <= minion.info.born {
                // A list may be older than what the minion said itself.
                if info.born == minion.info.born {
                    minion.info = info;
                }
                return false;
            }
            self.new_life(&info.id);
            if let Some(minion) = self.minions.get_mut(&info.id) {
                minion.info = info;
                minion.fence = fence;
            }
            return true;
        }
        let minion = Minion::new(info, fence);
        self.minions.insert(minion.info.id.clone(), minion);
        true
    }

    /// Takes note that a minion is no longer registered. It is forgotten once
    /// nothing can run there.
    pub fn withdraw(&mut self, id: &MinionId) -> bool {
        let Some(minion) = self.minions.get_mut(id) else {
            return true;
        };
        minion.info.draining = true;
        if minion.runs.is_empty() {
            self.minions.remove(id);
            return true;
        }
        false
    }

    /// Returns the ids of all minions here.
    pub fn minion_ids(&self) -> Vec<MinionId> {
        self.minions.keys().cloned().collect()
    }

    /// Tells whether the job is here.
    pub fn knows(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns how many jobs have not started a task.
    pub fn pending(&self) -> usize {
        self.jobs.values().filter(|j| !j.started).count()
    }

    /// Returns how many jobs are here.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Tells how busy the shard is.
    pub fn load(&self, now: Timestamp) -> Load {
        let mut load = Load::default();
        for minion in self.minions.values().filter(|m| m.open(now)) {
            load.minions += 1;
            load.cores += f64::from(minion.info.capacity.cpu.0) / 1000.0;
            load.free += f64::from(minion.room().cpu.0) / 1000.0;
        }
        let queued = self.queue.iter().filter_map(|id| self.jobs.get(id));
        load.waiting = queued.map(|job| self.waiting_work(job)).sum();
        load
    }

    /// Takes or refuses a job that has arrived. One of the same id that is here
    /// is stopped first: its caller has given it up.
    pub fn submit(&mut self, now: Timestamp, spec: JobSpec) -> Admission {
        self.close(&spec.id, now);
        if !self.holds(&spec) {
            return Admission::Refused {
                retry: HOPELESS_RETRY,
            };
        }
        let expected = self.expected(&spec);
        let last = self.past.get(&spec.id).map_or(RunNumber(0), |p| p.last);
        let job = Job::new(spec, last, now, expected);
        let mine = rank(&job, now);
        let load = self.load(now);
        let ahead = self.queue.iter().filter_map(|id| self.jobs.get(id));
        let ahead = ahead.filter(|j| rank(j, now) <= mine);
        let ahead: f64 = ahead.map(|j| self.waiting_work(j)).sum();
        let backlog = Backlog {
            ahead: (ahead + self.waiting_work(&job) - load.free * expected.0 as f64).max(0.0),
            cores: load.cores,
            expected,
        };
        let admission = decide(&job.spec, backlog, &self.cfg);
        if admission == Admission::Taken {
            let id = job.spec.id.clone();
            self.queue.push(id.clone());
            self.jobs.insert(id, job);
            self.place(now);
        }
        admission
    }

    /// Tells whether minions here could hold each task if they were empty.
    fn holds(&self, spec: &JobSpec) -> bool {
        let fits = |step: &Step| {
            self.minions.values().any(|m| {
                let label = step.label.as_ref();
                m.info.service == spec.service
                    && step.need.fits(&m.info.capacity)
                    && label.is_none_or(|l| m.info.labels.contains(l))
            })
        };
        spec.steps.iter().all(fits)
    }

    /// Ends a job whose caller is gone; its runs are stopped, and nobody is
    /// told.
    pub fn cancel(&mut self, id: &JobId, now: Timestamp) {
        self.close(id, now);
        self.place(now);
    }

    /// Decides nothing more, so that what is exported stays true.
    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Ends all jobs, because this VM no longer owns the shard. Nothing is
    /// stopped: the next owner does that.
    pub fn abandon(&mut self, now: Timestamp) {
        for (id, job) in std::mem::take(&mut self.jobs) {
            let outcome = match job.started {
                true => Outcome::Lost,
                false => Outcome::Refused {
                    retry: self.cfg.lease,
                },
            };
            let summary = job.summary(now);
            self.actions.push(Action::Settle(id, outcome, summary));
        }
        self.queue.clear();
        self.minions.clear();
    }

    /// Does what time asks for. To be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        if self.frozen {
            return;
        }
        self.expire(now);
        self.judge_runs(now);
        self.eject(now);
        let memory = self.cfg.memory;
        self.past.retain(|_, p| now.since(p.ended) < memory);
        self.place(now);
    }

    /// Ends jobs that can't be answered in time any more.
    fn expire(&mut self, now: Timestamp) {
        let slack = self.cfg.reply_slack;
        let part = self.cfg.refuse_part;
        let held = |m: &Minion| m.grip == Grip::Held && !m.info.draining;
        let served = self.minions.values().any(held);
        let mut over = Vec::new();
        for (id, job) in &self.jobs {
            if now.after(slack) >= job.deadline {
                over.push((id.clone(), self.gone(job)));
                continue;
            }
            let waited = now.micros_since(job.arrived);
            let patient = (waited as f64) < part * job.spec.objective.micros() as f64;
            if !job.started && (!served || !patient && late(job, now)) {
                over.push((id.clone(), self.gone(job)));
            }
        }
        for (id, outcome) in over {
            self.settle(&id, outcome, now);
        }
    }

    fn gone(&self, job: &Job) -> Outcome {
        if job.started {
            return Outcome::Expired;
        }
        let load = self.queue.iter().filter_map(|id| self.jobs.get(id));
        let work: f64 = load.map(|j| self.waiting_work(j)).sum();
        let minions = self.minions.values().filter(|m| m.grip == Grip::Held);
        let cores: f64 = minions.map(|m| f64::from(m.info.capacity.cpu.0)).sum();
        Outcome::Refused {
            retry: Millis((work * 1000.0 / cores.max(1000.0)) as u64),
        }
    }

    /// Looks for runs that hang, stops that got lost, and runs of silent
    /// minions whose leases have lapsed.
    fn judge_runs(&mut self, now: Timestamp) {
        let cfg = self.cfg.clone();
        let mut stops = Vec::new();
        let mut over = Vec::new();
        for minion in self.minions.values_mut() {
            let lapsed = minion.lapsed(now, &cfg);
            for run in &mut minion.runs {
                if lapsed {
                    over.push((minion.info.id.clone(), run.task.clone(), run.number));
                    continue;
                }
                let limit = run.expected.0 as f64 * cfg.hang_factor + cfg.hang_slack.0 as f64;
                // Its end may wait on a hold whose answer got lost, so only a
                // list that still has the run shows that it hangs.
                let shown = minion.listed.since(run.sent);
                let hangs = run.of.is_some() && shown.0 as f64 > limit;
                if hangs && run.stopping.is_none() {
                    minion.health.failed();
                    let hung = Action::Hung(minion.info.id.clone(), run.task.clone(), run.number);
                    self.actions.push(hung);
                    stops.push((minion.info.id.clone(), run.task.clone(), run.number));
                }
                let again = run
                    .stopping
                    .is_some_and(|at| now.since(at) >= cfg.stop_retry);
                if again {
                    stops.push((minion.info.id.clone(), run.task.clone(), run.number));
                }
            }
        }
        for (id, task, number) in stops {
            self.stop(&id, &task, number, now);
        }
        for (id, task, number) in over {
            let run = self
                .minions
                .get_mut(&id)
                .and_then(|m| m.remove(&task, number));
            if let Some(run) = run {
                self.requeue(&run);
            }
        }
    }

    /// Leaves out minions that fail or crawl, but never most of them.
    fn eject(&mut self, now: Timestamp) {
        let held = self.minions.values().filter(|m| m.grip == Grip::Held);
        let held: Vec<_> = held
            .map(|m| (m.health.out(now), m.health.slowness))
            .collect();
        let usual = held.iter().map(|(_, s)| s).sum::<f64>() / held.len().max(1) as f64;
        let most = (held.len() as f64 * self.cfg.eject_share) as usize;
        let mut out = held.iter().filter(|(out, _)| *out).count();
        for minion in self.minions.values_mut() {
            if out >= most || minion.health.out(now) {
                continue;
            }
            if minion.health.bad(usual, &self.cfg) {
                let span = minion.health.eject(now, &self.cfg);
                let id = minion.info.id.clone();
                self.actions.push(Action::Ejected(id, span));
                out += 1;
            }
        }
    }

    /// Starts what fits, in the order of the jobs.
    pub(crate) fn place(&mut self, now: Timestamp) {
        self.queue
            .retain(|id| self.jobs.get(id).is_some_and(Job::waits));
        if self.queue.is_empty() || self.frozen {
            return;
        }
        let jobs = &self.jobs;
        self.queue
            .sort_by_cached_key(|id| jobs.get(id).map(|j| rank(j, now)));
        let mut rooms = Rooms::new(&self.minions, now);
        let mut starts = Vec::new();
        let mut blocked = 0;
        for id in &self.queue {
            if rooms.is_empty() {
                break;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            // Runs of an earlier submission must be over first.
            if self.leftover(job) {
                continue;
            }
            let tightness = job.tightness(now);
            for index in job.runnable() {
                let step = &job.spec.steps[usize::from(job.tasks[index].step)];
                match rooms.take(step, &job.spec.service, tightness) {
                    Some(minion) => starts.push((id.clone(), index, minion)),
                    None => {
                        if blocked < RESERVATIONS {
                            rooms.reserve(step, &job.spec.service);
                        }
                        blocked += 1;
                        break;
                    }
                }
            }
        }
        for (id, index, minion) in starts {
            self.start(&id, index, &minion, now);
        }
    }

    /// Tells whether runs of an earlier submission of the job may go on.
    fn leftover(&self, job: &Job) -> bool {
        if job.started {
            return false;
        }
        let id = &job.spec.id;
        let runs = self.minions.values().flat_map(|m| &m.runs);
        runs.filter(|r| r.of.is_none() || r.stopping.is_some())
            .any(|r| r.task.job().as_ref() == Some(id))
    }

    fn start(&mut self, id: &JobId, index: usize, on: &MinionId, now: Timestamp) {
        let (usual, expected) = self.run_time(id, index, on);
        let (Some(job), Some(minion)) = (self.jobs.get_mut(id), self.minions.get_mut(on)) else {
            return;
        };
        let Some(clock) = minion.clock_at(now) else {
            return;
        };
        let lease = clock.after(self.cfg.lease.0);
        let task = &mut job.tasks[index];
        task.state = TaskState::Placed;
        task.run = RunNumber(task.run.0 + 1);
        job.started = true;
        job.last_start = now;
        minion.leased = now;
        minion.runs.push(Run {
            task: task.name.clone(),
            number: task.run,
            of: Some((id.clone(), index)),
            need: Some(job.spec.steps[usize::from(task.step)].need),
            phase: Phase::Starting,
            sent: now,
            usual,
            expected,
            accepted: None,
            latest: lease,
            stopping: None,
            stopped: None,
        });
        self.actions.push(Action::Start(StartOrder {
            minion: on.clone(),
            addr: minion.info.addr,
            fence: minion.fence,
            task: task.name.clone(),
            run: task.run,
            payload: job.spec.payload.clone(),
            lease,
        }));
    }

    /// Orders a run to stop. Its room stays taken until a list shows it gone.
    pub(crate) fn stop(&mut self, on: &MinionId, task: &TaskName, run: RunNumber, now: Timestamp) {
        let Some(minion) = self.minions.get_mut(on) else {
            return;
        };
        let order = StopOrder {
            minion: on.clone(),
            addr: minion.info.addr,
            fence: minion.fence,
            task: task.clone(),
            run,
        };
        if let Some(run) = minion.run_mut(task, run) {
            run.stopping = Some(now);
            self.actions.push(Action::Stop(order));
        }
    }

    /// Ends a job towards its caller and stops its runs.
    pub(crate) fn settle(&mut self, id: &JobId, outcome: Outcome, now: Timestamp) {
        if let Some(summary) = self.close(id, now) {
            self.actions
                .push(Action::Settle(id.clone(), outcome, summary));
        }
    }

    /// Forgets a job and stops its runs.
    fn close(&mut self, id: &JobId, now: Timestamp) -> Option<Summary> {
        let job = self.jobs.remove(id)?;
        let past = Past {
            last: job.last_run(),
            ended: now,
        };
        self.past.insert(id.clone(), past);
        let mut stops = Vec::new();
        for (minion, state) in &self.minions {
            let runs = state.runs.iter().filter(|r| r.stopping.is_none());
            let runs = runs.filter(|r| r.of.as_ref().is_some_and(|(job, _)| job == id));
            stops.extend(runs.map(|r| (minion.clone(), r.task.clone(), r.number)));
        }
        for (minion, task, number) in stops {
            self.stop(&minion, &task, number, now);
        }
        Some(job.summary(now))
    }

    /// Remembers a run of another owner, so that a job that is sent again here
    /// counts its runs on from there.
    pub(crate) fn remember(&mut self, task: &TaskName, number: RunNumber, now: Timestamp) {
        let Some(job) = task.job() else {
            return;
        };
        let past = self.past.entry(job).or_insert(Past {
            last: number,
            ended: now,
        });
        past.last = past.last.max(number);
        past.ended = now;
    }

    /// Lets the task of a run that is over without a result wait again.
    pub(crate) fn requeue(&mut self, run: &Run) {
        let Some((id, index)) = &run.of else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = &mut job.tasks[*index];
        if task.run != run.number || task.state != TaskState::Placed {
            return;
        }
        task.state = TaskState::Waiting;
        if !self.queue.contains(id) {
            self.queue.push(id.clone());
        }
    }

    /// Forgets what is known of a minion whose process is gone, with its runs.
    /// A start on its way may still reach the new process; the first list under
    /// the new token settles that.
    pub(crate) fn new_life(&mut self, id: &MinionId) {
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        let mut fresh = Minion::new(minion.info.clone(), minion.fence);
        fresh.leased = minion.leased;
        let runs = std::mem::take(&mut minion.runs);
        let (gone, sent) = runs.into_iter().partition(|r| r.phase == Phase::Running);
        fresh.runs = sent;
        for run in &mut fresh.runs {
            run.phase = Phase::Unsure;
            run.latest = LeaseTime(0);
            run.stopped = None;
        }
        *minion = fresh;
        let gone: Vec<Run> = gone;
        for run in &gone {
            self.requeue(run);
        }
    }

    /// Learns from a run that took `ratio` times its estimate on a minion of
    /// the given slowness.
    pub(crate) fn learn(&mut self, queue: &CompactString, ratio: f64) {
        let mean = self.ratios.entry(queue.clone()).or_insert(1.0);
        *mean += LEARN_WEIGHT * (ratio.clamp(0.2, 5.0) - *mean);
    }

    pub(crate) fn ratio(&self, queue: &CompactString) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Returns how long the job takes once all its tasks can start.
    pub(crate) fn expected(&self, spec: &JobSpec) -> Millis {
        let path = spec.critical_path().0 as f64;
        Millis((path * self.ratio(&spec.queue) * SLOWEST_TASK) as u64)
    }

    /// Returns how long a task takes on a usual minion and on this one.
    fn run_time(&self, id: &JobId, index: usize, on: &MinionId) -> (Millis, Millis) {
        let (Some(job), Some(minion)) = (self.jobs.get(id), self.minions.get(on)) else {
            return (Millis(0), Millis(0));
        };
        let step = &job.spec.steps[usize::from(job.tasks[index].step)];
        let time = step.estimate.0 as f64 * self.ratio(&job.spec.queue);
        let here = time * minion.health.pace.clamp(0.5, 3.0);
        (Millis(time as u64), Millis(here as u64))
    }

    /// Returns the core milliseconds of a job's tasks that wait.
    fn waiting_work(&self, job: &Job) -> f64 {
        let ratio = self.ratio(&job.spec.queue);
        let waiting = job.tasks.iter().filter(|t| t.state == TaskState::Waiting);
        let work = waiting.map(|t| {
            let step = &job.spec.steps[usize::from(t.step)];
            f64::from(step.need.cpu.0) / 1000.0 * step.estimate.0 as f64
        });
        work.sum::<f64>() * ratio
    }
}
