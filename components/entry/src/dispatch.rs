//! Assigns minion slots to tasks: at once when a slot is free, otherwise in the
//! order of the fair queue. Locks are held only within a call, never across an
//! await.

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

/// A task that is queued for a slot.
struct Waiter<P: Policy> {
    /// Receives the slot once one is assigned.
    slot_tx: oneshot::Sender<SlotGuard<P>>,
    /// Cores that the task needs.
    cores: Cores,
    /// Minions that have already refused the task.
    avoid: Vec<MinionId>,
}

/// The queued tasks and the held slots of one service.
struct ServiceQueue<P: Policy> {
    /// Service that the tasks call.
    service: Service,
    /// Queued tasks in fair order.
    tasks: Mutex<Queue<Waiter<P>>>,
    /// Number of queued tasks.
    waiting: AtomicUsize,
    /// Number of slots that this VM holds.
    held: AtomicUsize,
    /// Requests to serve the queue since it was last served.
    requests: AtomicUsize,
}

/// The queues, quotas and minions from which one VM assigns slots.
pub struct Dispatch<P: Policy> {
    /// Monotonic clock.
    clock: SystemClock,
    /// Failure domain of this VM.
    home: Domain,
    /// Minions and the slots in use on them.
    pub fleet: Fleet<P>,
    /// Quotas of teams over all failure domains.
    pub teams: Quotas,
    /// Quotas of teams in this VM's failure domain.
    pub home_teams: Quotas,
    /// Slots that the sheet gives each service in this domain.
    pub services: Quotas,
    /// Run times learned from finished tasks.
    pub times: RunTimes,
    /// Refuses jobs that could not end by their deadline.
    pub admission: Admission,
    /// Limits how often tasks are resent.
    pub retries: RetryBudget,
    /// Limits of the queues.
    limits: LimitsConfig,
    /// Queues by service.
    queues: ArcSwap<HashMap<Service, Arc<ServiceQueue<P>>>>,
    /// Serialises additions to `queues`.
    writer: Mutex<()>,
    /// Number of VMs that share this domain's minions, this one included.
    sharers: AtomicUsize,
}

/// A slot and the quotas held for a task. Dropping the guard frees them and
/// serves the next task in the queue.
pub struct SlotGuard<P: Policy> {
    /// Held slot; `None` once it was given back.
    slot: Option<Slot>,
    /// The team's quota over all domains and in this domain.
    team_quotas: Option<(QuotaGuard, QuotaGuard)>,
    /// The service's quota, if the slot is in this domain.
    service_quota: Option<QuotaGuard>,
    /// Queue to serve after the slot is freed.
    queue: Arc<ServiceQueue<P>>,
    /// Dispatcher that serves the queue.
    dispatch: Arc<Dispatch<P>>,
}

impl<P: Policy> SlotGuard<P> {
    /// Returns the minion, unless the slot was given back.
    pub fn minion(&self) -> Option<&MinionInfo> {
        self.slot.as_ref().map(Slot::minion)
    }

    /// Gives the slot back and records how the task ended.
    pub fn finish(mut self, end: Finish, now: Timestamp) {
        if let Some(slot) = self.slot.take() {
            slot.finish(end, now);
        }
    }
}

impl<P: Policy> Drop for SlotGuard<P> {
    fn drop(&mut self) {
        drop(self.slot.take());
        drop(self.team_quotas.take());
        drop(self.service_quota.take());
        self.queue.held.fetch_sub(1, Ordering::Relaxed);
        self.dispatch.serve(&self.queue);
    }
}

impl<P: Policy> Dispatch<P> {
    /// Creates a dispatcher without minions.
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
            queues: ArcSwap::default(),
            writer: Mutex::default(),
            sharers: AtomicUsize::new(1),
        }
    }

    /// Sets this VM's rank among the VMs that share this domain's minions, and
    /// their number.
    pub fn set_sharers(&self, rank: usize, vms: usize) {
        self.fleet.set_peers(rank, vms);
        self.sharers.store(vms.max(1), Ordering::Relaxed);
    }

    /// Waits until a slot is assigned to a task.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::Overloaded`] when the queue is full.
    pub async fn acquire(
        self: &Arc<Self>,
        run: &Run,
        task: &TaskSpec,
        avoid: &[MinionId],
    ) -> Result<SlotGuard<P>, Reason> {
        let queue = self.queue(&run.spec.service);
        if queue.waiting.load(Ordering::Relaxed) == 0
            && let Some(slot) = self.try_acquire(&queue, &run.spec.team, task.cores, avoid)
        {
            return Ok(slot);
        }
        let (slot_tx, slot_rx) = oneshot::channel();
        let waiter = Waiter {
            slot_tx,
            cores: task.cores,
            avoid: avoid.to_vec(),
        };
        self.enqueue(&queue, run, waiter)?;
        self.serve(&queue);
        slot_rx.await.map_err(|_| Reason::Cancelled)
    }

    /// Removes a job's queued tasks from the queue.
    pub fn cancel(&self, service: &Service, key: &JobKey) {
        let queue = self.queue(service);
        let mut tasks = lock(&queue.tasks);
        let dropped = tasks.cancel(key);
        queue.waiting.store(tasks.len(), Ordering::Relaxed);
        drop(tasks);
        drop(dropped);
    }

    /// Reports to the fleet how many tasks wait for a minion. The fleet uses
    /// the number to request leases and to spill over to other domains, which
    /// does not help tasks that a quota holds back, so those are not counted.
    fn report_waiting(&self) {
        for queue in self.queues.load().values() {
            let count = match queue.waiting.load(Ordering::Relaxed) {
                0 => 0,
                _ => self.startable(queue),
            };
            self.fleet.set_waiting(&queue.service, count);
        }
    }

    /// Returns how many queued tasks lack nothing but a minion.
    fn startable(&self, queue: &ServiceQueue<P>) -> usize {
        let tasks = lock(&queue.tasks);
        let free = |team: &Team| {
            self.teams
                .free_slots(team)
                .min(self.home_teams.free_slots(team))
        };
        let count: usize = tasks.by_team().map(|(t, n)| n.min(free(t))).sum();
        count.min(self.services.free_slots(&as_team(&queue.service)))
    }

    /// Requests, in the next digests, the quotas that queued tasks wait for. It
    /// is called once per digest, as a call per free slot would count a task
    /// many times.
    pub fn request_quotas(&self) {
        let mut wants: HashMap<Team, usize> = HashMap::default();
        for queue in self.busy_queues() {
            let tasks = lock(&queue.tasks);
            for (team, count) in tasks.by_team() {
                *wants.entry(team.clone()).or_default() += count;
            }
            request_quota(&self.services, &as_team(&queue.service), tasks.len());
        }
        for (team, tasks) in &wants {
            request_quota(&self.teams, team, *tasks);
            request_quota(&self.home_teams, team, *tasks);
        }
    }

    /// Returns the queues that are not empty.
    fn busy_queues(&self) -> Vec<Arc<ServiceQueue<P>>> {
        let queues = self.queues.load();
        let waits = |l: &&Arc<ServiceQueue<P>>| l.waiting.load(Ordering::Relaxed) > 0;
        queues.values().filter(waits).cloned().collect()
    }

    /// Serves all queues that are not empty. Slots can become free without
    /// having been given back on this VM, for example through a lease.
    pub fn tick(self: &Arc<Self>) {
        self.report_waiting();
        for queue in self.busy_queues() {
            self.serve(&queue);
        }
    }

    /// Returns, per service, the number of queued tasks and of held slots.
    pub fn load(&self) -> Vec<(Service, usize, usize)> {
        let queues = self.queues.load();
        let load = |l: &Arc<ServiceQueue<P>>| {
            let waiting = l.waiting.load(Ordering::Relaxed);
            (l.service.clone(), waiting, l.held.load(Ordering::Relaxed))
        };
        queues.values().map(load).collect()
    }

    /// Acquires a slot together with the quotas of team and service, or
    /// nothing if one of them is not available.
    fn try_acquire(
        self: &Arc<Self>,
        queue: &Arc<ServiceQueue<P>>,
        team: &Team,
        cores: Cores,
        avoid: &[MinionId],
    ) -> Option<SlotGuard<P>> {
        let team = self.acquire_team(team)?;
        let service = self.services.try_acquire(&as_team(&queue.service)).ok()?;
        let now = self.clock.now();
        let slot = self.fleet.acquire(&queue.service, cores, avoid, now).ok()?;
        Some(self.guard(queue, slot, team, service))
    }

    /// Acquires one slot of a team's quotas.
    fn acquire_team(&self, team: &Team) -> Option<(QuotaGuard, QuotaGuard)> {
        let all = self.teams.try_acquire(team).ok()?;
        let home = self.home_teams.try_acquire(team).ok()?;
        Some((all, home))
    }

    /// Builds the guard of a slot that was acquired for a task.
    fn guard(
        self: &Arc<Self>,
        queue: &Arc<ServiceQueue<P>>,
        slot: Slot,
        team: (QuotaGuard, QuotaGuard),
        service: QuotaGuard,
    ) -> SlotGuard<P> {
        queue.held.fetch_add(1, Ordering::Relaxed);
        // The sheet gives a service slots per domain, so a slot in another
        // domain does not count against this domain's quota.
        let local = slot.minion().domain == self.home;
        SlotGuard {
            slot: Some(slot),
            team_quotas: Some(team),
            service_quota: local.then_some(service),
            queue: queue.clone(),
            dispatch: self.clone(),
        }
    }

    /// Appends a task to its queue.
    fn enqueue(&self, queue: &ServiceQueue<P>, run: &Run, waiter: Waiter<P>) -> Result<(), Reason> {
        let left = run.deadline.saturating_duration_since(Instant::now());
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
        let mut tasks = lock(&queue.tasks);
        tasks.push(entry).map_err(|_| Reason::Overloaded)?;
        queue.waiting.store(tasks.len(), Ordering::Relaxed);
        Ok(())
    }

    /// Assigns free slots to the tasks of a queue. If another thread holds the
    /// lock, that one serves this request too, as it checks `requests` again
    /// after it has released the lock.
    fn serve(self: &Arc<Self>, queue: &Arc<ServiceQueue<P>>) {
        queue.requests.fetch_add(1, Ordering::AcqRel);
        while queue.requests.load(Ordering::Acquire) > 0 {
            let mut tasks = match queue.tasks.try_lock() {
                Ok(tasks) => tasks,
                Err(TryLockError::Poisoned(e)) => e.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
            queue.requests.store(0, Ordering::Release);
            self.assign_slots(queue, &mut tasks);
            queue.waiting.store(tasks.len(), Ordering::Relaxed);
        }
    }

    /// Assigns slots until the queue is empty or no slot or quota is left.
    fn assign_slots(self: &Arc<Self>, queue: &Arc<ServiceQueue<P>>, tasks: &mut Queue<Waiter<P>>) {
        while !tasks.is_empty() {
            let now = self.clock.now();
            let Ok(service) = self.services.try_acquire(&as_team(&queue.service)) else {
                return;
            };
            let Ok(slot) = self.fleet.acquire(&queue.service, Cores(0), &[], now) else {
                return;
            };
            let Some((waiter, team)) = self.next_waiter(tasks, now) else {
                return;
            };
            let Some(slot) = self.fitting_slot(queue, slot, &waiter, now) else {
                continue;
            };
            let guard = self.guard(queue, slot, team, service);
            // If the task was cancelled in the meantime, the guard is dropped
            // here, which requests to serve the queue again.
            let _ = waiter.slot_tx.send(guard);
        }
    }

    /// Removes the next task that still waits, and acquires its team's quotas.
    fn next_waiter(
        &self,
        tasks: &mut Queue<Waiter<P>>,
        now: Timestamp,
    ) -> Option<(Waiter<P>, (QuotaGuard, QuotaGuard))> {
        loop {
            let mut guard = None;
            let waiter = tasks.pop(now, |team| {
                guard = self.acquire_team(team);
                guard.is_some()
            })?;
            if !waiter.slot_tx.is_closed() {
                return Some((waiter, guard?));
            }
        }
    }

    /// Returns the slot if it fits a task, or else another one that does. If
    /// only minions are free that refused the task before, the slot is used
    /// all the same. Without any slot that fits, the waiter is dropped,
    /// which ends its wait as cancelled.
    fn fitting_slot(
        &self,
        queue: &ServiceQueue<P>,
        slot: Slot,
        waiter: &Waiter<P>,
        now: Timestamp,
    ) -> Option<Slot> {
        let minion = slot.minion();
        if minion.cores >= waiter.cores && !waiter.avoid.contains(&minion.id) {
            return Some(slot);
        }
        let other = self
            .fleet
            .acquire(&queue.service, waiter.cores, &waiter.avoid, now);
        other
            .ok()
            .or((minion.cores >= waiter.cores).then_some(slot))
    }

    /// Returns the queue of a service, and creates it on first use.
    fn queue(&self, service: &Service) -> Arc<ServiceQueue<P>> {
        if let Some(queue) = self.queues.load().get(service) {
            return queue.clone();
        }
        let _writer = lock(&self.writer);
        let mut queues = HashMap::clone(&self.queues.load());
        let queue = queues.entry(service.clone()).or_insert_with(|| {
            Arc::new(ServiceQueue {
                service: service.clone(),
                tasks: Mutex::new(Queue::new(self.limits.queue_max)),
                waiting: AtomicUsize::new(0),
                held: AtomicUsize::new(0),
                requests: AtomicUsize::new(0),
            })
        });
        let queue = queue.clone();
        self.queues.store(Arc::new(queues));
        queue
    }
}

/// Returns the team name under which a service's slots are counted, since
/// [`Quotas`] counts by team.
pub fn as_team(service: &Service) -> Team {
    let text = service.as_str();
    // Services and teams allow the same characters in their names.
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a service's name"))
}

/// Requests slots of a quota if none is free on this VM.
fn request_quota(quotas: &Quotas, team: &Team, tasks: usize) {
    if !quotas.has_free_slot(team) {
        quotas.report_waiting(team, tasks);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
