//! The simulation of VMs and minions on one event heap.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::{Cores, MinionId, Slots, Timestamp, VmId};
use limits::{Admission, Demand, JobOrder, LimitsConfig, Queue, RunTimes, Waiting};
use routing::{Digest, Finish, Fleet, Policy, Slot};

use crate::jobs::{Fault, Job, MINIONS, SECOND, SLOTS, Scenario, WARM_UP};
use crate::setup::{Totals, fleet, service};

/// One-way latency between a VM and a minion or another VM, in microseconds.
const LATENCY: u64 = 250;
/// Round trip between a caller and a VM, in microseconds.
const CALLER_TRIP: u64 = 2000;
const HEARTBEAT: u64 = 100_000;
/// Time after which a VM with waiting tasks tries again without an event, in
/// microseconds.
const TICK: u64 = 20_000;
/// Time after which a failing minion answers, in microseconds.
const FAIL_TIME: u64 = 5000;
const MAX_RETRIES: u32 = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submit(usize),
    Arrive(usize),
    End(usize),
    Answer(usize, bool),
    Refused(usize),
    Freed(usize),
    Tick(usize),
    Heartbeat(usize),
    Receive(usize, usize, usize),
}

struct Task {
    job: usize,
    run: u64,
    minion: usize,
    sent: u64,
    slot: Option<Slot>,
    avoid: Vec<MinionId>,
    running: bool,
}

struct Vm<P: Policy> {
    fleet: Fleet<P>,
    queue: Queue<usize>,
    ticking: bool,
}

struct World<'a, P: Policy> {
    sc: Scenario,
    jobs: &'a [Job],
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    now: u64,
    vms: Vec<Vm<P>>,
    busy: Vec<u32>,
    tasks: Vec<Task>,
    /// The tasks of each job, and how many of them have no answer yet.
    open: Vec<(Vec<usize>, usize)>,
    digests: Vec<Digest>,
    times: RunTimes,
    admission: Admission,
    totals: Totals,
}

impl<P: Policy> World<'_, P> {
    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.heap
            .push(Reverse((self.now + delay, self.serial, event)));
    }

    fn time(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn run(mut self) -> Totals {
        for (i, job) in self.jobs.iter().enumerate() {
            self.heap.push(Reverse((job.at, 0, Event::Submit(i))));
        }
        for vm in 0..self.sc.vms {
            self.schedule(
                HEARTBEAT * vm as u64 / self.sc.vms as u64,
                Event::Heartbeat(vm),
            );
        }
        let end = (self.sc.seconds + 40) * SECOND;
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let violations: u64 = self.vms.iter().map(|vm| vm.fleet.violations()).sum();
        assert_eq!(violations, 0, "slots were given back twice");
        self.totals
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Submit(job) => self.submit(job),
            Event::Arrive(task) => self.arrive(task),
            Event::End(task) => self.end(task),
            Event::Answer(task, good) => self.answer(task, good),
            Event::Refused(task) => self.refused(task),
            Event::Freed(minion) => self.busy[minion] -= 1,
            Event::Tick(vm) => {
                self.vms[vm].ticking = false;
                self.expire(vm);
                self.dispatch(vm);
            }
            Event::Heartbeat(vm) => self.heartbeat(vm),
            Event::Receive(from, to, digest) => {
                let id: VmId = format!("a/vm-{from}").parse().unwrap();
                let now = self.time();
                self.vms[to]
                    .fleet
                    .apply_digest(&id, &self.digests[digest], now);
                self.dispatch(to);
                self.send_urgent(to);
            }
        }
    }

    fn team(&self, job: usize) -> kernel::Team {
        format!("team-{}", self.jobs[job].team).parse().unwrap()
    }

    fn submit(&mut self, job: usize) {
        let (spec, team) = (&self.jobs[job], self.team(job));
        let vm = spec.vm;
        let slots = MINIONS as u32 * SLOTS / self.sc.vms as u32;
        let declared = kernel::Millis(spec.declared.iter().max().unwrap() / 1000);
        let demand = Demand {
            queued: self.vms[vm].queue.len(),
            tasks: spec.runs.len(),
            slots: Slots(slots),
            mean_run: self.times.mean(&service()),
            longest_run: self.times.quantile(&service(), &team, 0.95, Some(declared)),
            time_left: kernel::Millis(self.sc.deadline / 1000),
        };
        if self.sc.admission && self.admission.admit(&demand).is_err() {
            self.totals.refused += 1;
            return;
        }
        for &run in &spec.runs {
            let task = self.tasks.len();
            self.tasks.push(Task {
                job,
                run,
                minion: 0,
                sent: 0,
                slot: None,
                avoid: Vec::new(),
                running: false,
            });
            self.open[job].0.push(task);
            self.open[job].1 += 1;
        }
        for task in self.open[job].0.clone() {
            self.push(task);
        }
        self.dispatch(vm);
    }

    fn push(&mut self, task: usize) {
        let job = self.tasks[task].job;
        let at = self.jobs[job].at;
        let order = JobOrder {
            key: format!("j{job}").parse().unwrap(),
            arrival: Timestamp(at),
            tasks_left: self.jobs[job].runs.len(),
            deadline: Timestamp(at + self.sc.deadline),
        };
        let team = self.team(job);
        let entry = Waiting {
            team,
            job: order,
            item: task,
        };
        let pushed = self.vms[self.jobs[job].vm].queue.push(entry);
        pushed.expect("the queue has space for all tasks");
    }

    fn dispatch(&mut self, vm: usize) {
        while !self.vms[vm].queue.is_empty() {
            let now = self.time();
            let Ok(slot) = self.vms[vm].fleet.acquire(&service(), Cores(1), &[], now) else {
                break;
            };
            match self.vms[vm].queue.pop(now, |_| true) {
                Some(task) => self.send(task, slot),
                None => break,
            }
        }
        let waiting = self.vms[vm].queue.len();
        self.vms[vm].fleet.set_waiting(&service(), waiting);
        if !self.vms[vm].queue.is_empty() && !self.vms[vm].ticking {
            self.vms[vm].ticking = true;
            self.schedule(TICK, Event::Tick(vm));
        }
        if waiting > 0 {
            self.send_urgent(vm);
        }
    }

    fn send(&mut self, task: usize, slot: Slot) {
        let minion = slot.minion().id.as_str()[4..].parse().unwrap();
        let now = self.now;
        let t = &mut self.tasks[task];
        (t.minion, t.sent, t.slot) = (minion, now, Some(slot));
        self.schedule(LATENCY, Event::Arrive(task));
    }

    fn is_failing(&self, minion: usize) -> bool {
        match self.sc.fault {
            Fault::FailsAll => minion == 7 && self.now > 2 * WARM_UP,
            Fault::Flaps => minion == 7 && self.now / (2 * SECOND) % 2 == 1,
            _ => false,
        }
    }

    fn arrive(&mut self, task: usize) {
        let minion = self.tasks[task].minion;
        if self.tasks[task].slot.is_none() {
            return;
        }
        if self.busy[minion] >= SLOTS {
            self.schedule(LATENCY, Event::Refused(task));
            return;
        }
        self.busy[minion] += 1;
        self.tasks[task].running = true;
        let run = match self.sc.fault {
            Fault::Slow(factor) if minion == 7 && self.now > 2 * WARM_UP => {
                self.tasks[task].run * factor
            }
            _ if self.is_failing(minion) => FAIL_TIME,
            _ => self.tasks[task].run,
        };
        self.schedule(run, Event::End(task));
    }

    fn end(&mut self, task: usize) {
        if !self.tasks[task].running {
            return;
        }
        self.tasks[task].running = false;
        let minion = self.tasks[task].minion;
        self.busy[minion] -= 1;
        let good = !self.is_failing(minion);
        self.schedule(LATENCY, Event::Answer(task, good));
    }

    fn answer(&mut self, task: usize, good: bool) {
        let now = self.time();
        let Some(slot) = self.tasks[task].slot.take() else {
            return;
        };
        let job = self.tasks[task].job;
        if !good {
            slot.finish(Finish::TaskFailed, now);
            self.totals.lost += 1;
            self.fail_job(job);
        } else {
            let run = self.now - self.tasks[task].sent - 2 * LATENCY;
            slot.finish(Finish::Answered { run }, now);
            let team = self.team(job);
            self.times
                .record(&service(), &team, kernel::Millis(run / 1000));
            self.open[job].1 -= 1;
            if self.open[job].1 == 0 {
                self.complete(job);
            }
        }
        self.dispatch(self.jobs[job].vm);
    }

    fn complete(&mut self, job: usize) {
        let spec = &self.jobs[job];
        let response = self.now - spec.at + CALLER_TRIP;
        let ideal = spec.runs.iter().max().unwrap() + CALLER_TRIP;
        if response > self.sc.deadline {
            self.totals.late += 1;
            return;
        }
        if spec.at > WARM_UP {
            self.totals.ratios.push(response as f64 / ideal as f64);
            self.totals.waits.push(response - ideal);
            self.totals.good += spec.runs.len() as u64;
        }
        self.totals.answered.push(self.now);
    }

    /// Drops a failed job: removes its waiting tasks from the queue and cancels
    /// the running ones.
    fn fail_job(&mut self, job: usize) {
        let now = self.time();
        let key = format!("j{job}").parse().unwrap();
        self.vms[self.jobs[job].vm].queue.cancel(&key);
        for task in self.open[job].0.clone() {
            let Some(slot) = self.tasks[task].slot.take() else {
                continue;
            };
            slot.finish(Finish::Cancelled, now);
            self.totals.wasted += 1;
            if std::mem::take(&mut self.tasks[task].running) {
                let minion = self.tasks[task].minion;
                self.schedule(LATENCY, Event::Freed(minion));
            }
        }
    }

    fn expire(&mut self, vm: usize) {
        let now = self.time();
        let dropped = self.vms[vm].queue.expire(now);
        let mut late: Vec<_> = dropped.iter().map(|&t| self.tasks[t].job).collect();
        late.dedup();
        for job in late {
            self.totals.late += 1;
            self.fail_job(job);
        }
    }

    fn refused(&mut self, task: usize) {
        let now = self.time();
        let Some(slot) = self.tasks[task].slot.take() else {
            return;
        };
        self.totals.wasted += 2;
        let id = slot.minion().id.clone();
        slot.finish(Finish::NotStarted, now);
        let vm = self.jobs[self.tasks[task].job].vm;
        self.tasks[task].avoid.push(id);
        let avoid = self.tasks[task].avoid.clone();
        let fleet = &self.vms[vm].fleet;
        let may_retry = avoid.len() as u32 <= MAX_RETRIES;
        let retry = may_retry.then(|| fleet.acquire(&service(), Cores(1), &avoid, now));
        match retry {
            Some(Ok(slot)) => self.send(task, slot),
            _ => {
                self.tasks[task].avoid.clear();
                self.push(task);
                self.dispatch(vm);
            }
        }
    }

    /// Sends a digest ahead of the heartbeat if the fleet needs one.
    fn send_urgent(&mut self, vm: usize) {
        if P::OUTLIERS && self.vms[vm].fleet.urgent(self.time()) {
            self.send_digest(vm);
        }
    }

    fn heartbeat(&mut self, vm: usize) {
        self.send_digest(vm);
        self.schedule(HEARTBEAT, Event::Heartbeat(vm));
    }

    fn send_digest(&mut self, vm: usize) {
        self.totals.digests += 1;
        let now = self.time();
        self.digests.push(self.vms[vm].fleet.digest(now));
        let digest = self.digests.len() - 1;
        for to in (0..self.sc.vms).filter(|&to| to != vm) {
            self.schedule(2 * LATENCY, Event::Receive(vm, to, digest));
        }
    }
}

/// Runs one policy on the jobs of a scenario.
pub fn run<P: Policy>(make: fn() -> P, sc: &Scenario, jobs: &[Job]) -> Totals {
    let vm = |i| Vm {
        fleet: fleet(make(), i, sc),
        queue: Queue::new(10_000_000),
        ticking: false,
    };
    let world = World {
        sc: *sc,
        jobs,
        heap: BinaryHeap::new(),
        serial: 0,
        now: 0,
        vms: (0..sc.vms).map(vm).collect(),
        busy: vec![0; MINIONS],
        tasks: Vec::new(),
        open: jobs.iter().map(|_| (Vec::new(), 0)).collect(),
        digests: Vec::new(),
        times: RunTimes::new(),
        admission: Admission::new(LimitsConfig::default()),
        totals: Totals::default(),
    };
    let mut totals = world.run();
    totals.tasks = jobs.iter().map(|j| j.runs.len() as u64).sum();
    totals.ratios.sort_by(f64::total_cmp);
    totals.waits.sort();
    totals
}
