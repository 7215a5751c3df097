//! Hands out slots: at once when one is free, else in the order of the fair
//! queue. No lock outlives a call.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};

use arc_swap::ArcSwap;
use jobs::{Reason, TaskSpec};
use kernel::{
    Clock, Cores, Domain, HashMap, JobKey, Millis, MinionId, Service, SystemClock, Team, Timestamp,
};
use limits::{
    Admission, JobOrder, LimitsConfig, Queue, QuotaGuard, Quotas, RetryBudget, RunTimes, Waiting,
};
use routing::{Finish, Fleet, MinionInfo, Policy, Slot};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::run::Run;

mod admit;

/// A task that waits for a slot.
struct Waiter<P: Policy> {
    /// Gets the slot.
    tell: oneshot::Sender<Held<P>>,
    /// The cores that the task needs.
    cores: Cores,
    /// Minions that turned the task away.
    avoid: Vec<MinionId>,
}

/// The tasks of one service that wait.
struct Line<P: Policy> {
    /// The service.
    service: Service,
    /// The tasks in fair order.
    queue: Mutex<Queue<Waiter<P>>>,
    /// How many tasks wait.
    waiting: AtomicUsize,
    /// How many slots this VM holds.
    held: AtomicUsize,
    /// How often the line was to be served since somebody last looked.
    due: AtomicUsize,
}

/// What one VM decides about slots.
pub struct Dispatch<P: Policy> {
    /// The clock.
    clock: SystemClock,
    /// This VM's failure domain.
    home: Domain,
    /// The minions.
    pub fleet: Fleet<P>,
    /// The quotas of teams.
    pub teams: Quotas,
    /// The quotas of teams in this VM's failure domain.
    pub home_teams: Quotas,
    /// The slots that the sheet gives each service in this domain.
    pub services: Quotas,
    /// Learned run times.
    pub times: RunTimes,
    /// Early refusal.
    pub admission: Admission,
    /// Bounds how often tasks are sent again.
    pub retries: RetryBudget,
    /// Bounds of the queues.
    limits: LimitsConfig,
    /// The lines by service.
    lines: ArcSwap<HashMap<Service, Arc<Line<P>>>>,
    /// Held while a line is added.
    writer: Mutex<()>,
    /// The VMs that share this domain's minions.
    sharers: AtomicUsize,
}

/// A slot held for a task. Dropping it frees the slot and serves the next task
/// in line.
pub struct Held<P: Policy> {
    /// The slot, until it is given back.
    slot: Option<Slot>,
    /// What the team holds everywhere and in this domain.
    team: Option<(QuotaGuard, QuotaGuard)>,
    /// What the service holds.
    service: Option<QuotaGuard>,
    /// The line to serve afterwards.
    line: Arc<Line<P>>,
    /// The dispatch that serves it.
    dispatch: Arc<Dispatch<P>>,
}

impl<P: Policy> Held<P> {
    /// Returns the minion, unless the slot was given back.
    pub fn minion(&self) -> Option<&MinionInfo> {
        self.slot.as_ref().map(Slot::minion)
    }

    /// Gives the slot back, telling how the task ended.
    pub fn finish(mut self, end: Finish, now: Timestamp) {
        if let Some(slot) = self.slot.take() {
            slot.finish(end, now);
        }
    }
}

impl<P: Policy> Drop for Held<P> {
    fn drop(&mut self) {
        drop(self.slot.take());
        drop(self.team.take());
        drop(self.service.take());
        self.line.held.fetch_sub(1, Ordering::Relaxed);
        self.dispatch.serve(&self.line);
    }
}

impl<P: Policy> Dispatch<P> {
    /// Makes a dispatch without minions.
    pub fn new(home: Domain, fleet: Fleet<P>, limits: LimitsConfig, clock: SystemClock) -> Self {
        Dispatch {
            clock,
            home,
            fleet,
            teams: Quotas::new(limits.peer_ttl),
            home_teams: Quotas::new(limits.peer_ttl),
            services: Quotas::new(limits.peer_ttl),
            times: RunTimes::new(),
            admission: Admission::new(limits.clone()),
            retries: RetryBudget::new(limits.retry_percent),
            limits,
            lines: ArcSwap::default(),
            writer: Mutex::default(),
            sharers: AtomicUsize::new(1),
        }
    }

    /// Notes how many VMs share this domain's minions.
    pub fn share_with(&self, rank: usize, vms: usize) {
        self.fleet.set_peers(rank, vms);
        self.sharers.store(vms.max(1), Ordering::Relaxed);
    }

    /// Waits for a slot for a task.
    ///
    /// # Errors
    ///
    /// Tells that the queue is full.
    pub async fn slot(
        self: &Arc<Self>,
        run: &Run,
        task: &TaskSpec,
        avoid: &[MinionId],
    ) -> Result<Held<P>, Reason> {
        let line = self.line(&run.spec.service);
        if line.waiting.load(Ordering::Relaxed) == 0
            && let Some(held) = self.take(&line, &run.spec.team, task.cores, avoid)
        {
            return Ok(held);
        }
        let (tell, told) = oneshot::channel();
        let waiter = Waiter {
            tell,
            cores: task.cores,
            avoid: avoid.to_vec(),
        };
        self.join(&line, run, waiter)?;
        self.serve(&line);
        told.await.map_err(|_| Reason::Cancelled)
    }

    /// Takes a job's waiting tasks out of the queue.
    pub fn cancel(&self, service: &Service, key: &JobKey) {
        let line = self.line(service);
        let mut queue = lock(&line.queue);
        let dropped = queue.cancel(key);
        line.waiting.store(queue.len(), Ordering::Relaxed);
        drop(queue);
        drop(dropped);
    }

    /// Tells the fleet how many tasks wait for a minion, which decides about
    /// leases and other domains. A task that a quota holds back needs neither.
    fn tell_waiting(&self) {
        for line in self.lines.load().values() {
            let tasks = match line.waiting.load(Ordering::Relaxed) {
                0 => 0,
                _ => self.startable(line),
            };
            self.fleet.set_waiting(&line.service, tasks);
        }
    }

    /// Counts the waiting tasks that only lack a minion.
    fn startable(&self, line: &Line<P>) -> usize {
        let queue = lock(&line.queue);
        let free = |team: &Team| {
            self.teams
                .free_slots(team)
                .min(self.home_teams.free_slots(team))
        };
        let tasks: usize = queue.by_team().map(|(t, n)| n.min(free(t))).sum();
        tasks.min(self.services.free_slots(&as_team(&line.service)))
    }

    /// Notes for the next digests which quotas tasks wait for. Once a digest
    /// is enough: a look for each free slot would count a task many times.
    pub fn tell_wants(&self) {
        let mut wants: HashMap<Team, usize> = HashMap::default();
        for line in self.waiting_lines() {
            let queue = lock(&line.queue);
            for (team, tasks) in queue.by_team() {
                *wants.entry(team.clone()).or_default() += tasks;
            }
            want(&self.services, &as_team(&line.service), queue.len());
        }
        for (team, tasks) in &wants {
            want(&self.teams, team, *tasks);
            want(&self.home_teams, team, *tasks);
        }
    }

    /// Returns the lines in which tasks wait.
    fn waiting_lines(&self) -> Vec<Arc<Line<P>>> {
        let lines = self.lines.load();
        let waits = |l: &&Arc<Line<P>>| l.waiting.load(Ordering::Relaxed) > 0;
        lines.values().filter(waits).cloned().collect()
    }

    /// Serves the lines in which tasks wait, as slots may have come free that
    /// nobody gave back here.
    pub fn tick(self: &Arc<Self>) {
        self.tell_waiting();
        for line in self.waiting_lines() {
            self.serve(&line);
        }
    }

    /// Returns for each service how many tasks wait and how many slots are
    /// held.
    pub fn load(&self) -> Vec<(Service, usize, usize)> {
        let lines = self.lines.load();
        let load = |l: &Arc<Line<P>>| {
            let waiting = l.waiting.load(Ordering::Relaxed);
            (l.service.clone(), waiting, l.held.load(Ordering::Relaxed))
        };
        lines.values().map(load).collect()
    }

    /// Takes a slot and what team and service may hold, if all are to be had.
    fn take(
        self: &Arc<Self>,
        line: &Arc<Line<P>>,
        team: &Team,
        cores: Cores,
        avoid: &[MinionId],
    ) -> Option<Held<P>> {
        let team = self.team(team)?;
        let service = self.services.try_acquire(&as_team(&line.service)).ok()?;
        let now = self.clock.now();
        let slot = self.fleet.acquire(&line.service, cores, avoid, now).ok()?;
        Some(self.hold(line, slot, team, service))
    }

    /// Takes what a team may hold.
    fn team(&self, team: &Team) -> Option<(QuotaGuard, QuotaGuard)> {
        let all = self.teams.try_acquire(team).ok()?;
        let home = self.home_teams.try_acquire(team).ok()?;
        Some((all, home))
    }

    fn hold(
        self: &Arc<Self>,
        line: &Arc<Line<P>>,
        slot: Slot,
        team: (QuotaGuard, QuotaGuard),
        service: QuotaGuard,
    ) -> Held<P> {
        line.held.fetch_add(1, Ordering::Relaxed);
        // The sheet counts slots where they are.
        let local = slot.minion().domain == self.home;
        Held {
            slot: Some(slot),
            team: Some(team),
            service: local.then_some(service),
            line: line.clone(),
            dispatch: self.clone(),
        }
    }

    fn join(&self, line: &Line<P>, run: &Run, waiter: Waiter<P>) -> Result<(), Reason> {
        let left = run.until.saturating_duration_since(Instant::now());
        let now = self.clock.now();
        let entry = Waiting {
            team: run.spec.team.clone(),
            job: JobOrder {
                key: run.spec.key.clone(),
                arrival: run.arrival,
                tasks_left: run.spec.tasks.len(),
                deadline: now.after(Millis(left.as_millis() as u64)),
            },
            item: waiter,
        };
        let mut queue = lock(&line.queue);
        queue.push(entry).map_err(|_| Reason::Overloaded)?;
        line.waiting.store(queue.len(), Ordering::Relaxed);
        Ok(())
    }

    /// Gives free slots to the tasks in line. Whoever finds the line locked
    /// leaves the work to the one who holds it.
    fn serve(self: &Arc<Self>, line: &Arc<Line<P>>) {
        line.due.fetch_add(1, Ordering::AcqRel);
        while line.due.load(Ordering::Acquire) > 0 {
            let mut queue = match line.queue.try_lock() {
                Ok(queue) => queue,
                Err(TryLockError::Poisoned(e)) => e.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
            line.due.store(0, Ordering::Release);
            self.drain(line, &mut queue);
            line.waiting.store(queue.len(), Ordering::Relaxed);
        }
    }

    fn drain(self: &Arc<Self>, line: &Arc<Line<P>>, queue: &mut Queue<Waiter<P>>) {
        while !queue.is_empty() {
            let now = self.clock.now();
            let Ok(service) = self.services.try_acquire(&as_team(&line.service)) else {
                return;
            };
            let Ok(slot) = self.fleet.acquire(&line.service, Cores(0), &[], now) else {
                return;
            };
            let Some((waiter, team)) = self.next(queue, now) else {
                return;
            };
            let Some(slot) = self.suit(line, slot, &waiter, now) else {
                continue;
            };
            let held = self.hold(line, slot, team, service);
            // A task that gave up meanwhile drops the slot, which makes the
            // line due again.
            let _ = waiter.tell.send(held);
        }
    }

    /// Takes the next task in line that still waits.
    fn next(
        &self,
        queue: &mut Queue<Waiter<P>>,
        now: Timestamp,
    ) -> Option<(Waiter<P>, (QuotaGuard, QuotaGuard))> {
        loop {
            let mut guard = None;
            let waiter = queue.pop(now, |team| {
                guard = self.team(team);
                guard.is_some()
            })?;
            if !waiter.tell.is_closed() {
                return Some((waiter, guard?));
            }
        }
    }

    /// Makes sure that a slot suits a task, or finds it another. A task for
    /// which there is none tries again by itself.
    fn suit(&self, line: &Line<P>, slot: Slot, waiter: &Waiter<P>, now: Timestamp) -> Option<Slot> {
        let minion = slot.minion();
        if minion.cores >= waiter.cores && !waiter.avoid.contains(&minion.id) {
            return Some(slot);
        }
        let other = self
            .fleet
            .acquire(&line.service, waiter.cores, &waiter.avoid, now);
        other
            .ok()
            .or((minion.cores >= waiter.cores).then_some(slot))
    }

    fn line(&self, service: &Service) -> Arc<Line<P>> {
        if let Some(line) = self.lines.load().get(service) {
            return line.clone();
        }
        let _writer = lock(&self.writer);
        let mut lines = HashMap::clone(&self.lines.load());
        let line = lines.entry(service.clone()).or_insert_with(|| {
            Arc::new(Line {
                service: service.clone(),
                queue: Mutex::new(Queue::new(self.limits.queue_max)),
                waiting: AtomicUsize::new(0),
                held: AtomicUsize::new(0),
                due: AtomicUsize::new(0),
            })
        });
        let line = line.clone();
        self.lines.store(Arc::new(lines));
        line
    }
}

/// Names a service's slots like a team's, as both are counted alike.
pub fn as_team(service: &Service) -> Team {
    let text = service.as_str();
    // A service's name is a team's name, as both take the same characters.
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a service's name"))
}

/// Asks for slots of a quota that is used up here.
fn want(quotas: &Quotas, team: &Team, tasks: usize) {
    if !quotas.has_free_slot(team) {
        quotas.report_waiting(team, tasks);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
