//! An open-loop experiment on the decision code: several fleets share minions
//! of 8 slots, on one event heap and without a network. All policies meet the
//! same jobs. Run it with
//! `cargo run --release -p routing --example policy -- SEED [REFUSALS]`, where
//! REFUSALS is the budget of refusals for each thousand tasks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, VmId};
use limits::{Admission, Demand, JobOrder, LimitsConfig, Queue, RunTimes, Waiting};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{
    Balanced, Digest, Finish, Fleet, LeastOwn, MinionInfo, Policy, Random, RoutingConfig, Slot,
    Split,
};

const MINIONS: usize = 50;
const SLOTS: u32 = 8;
/// One way between a VM and a minion or another VM, in microseconds.
const HOP: u64 = 250;
/// There and back between a caller and a VM, in microseconds.
const CALLER: u64 = 2000;
const HEARTBEAT: u64 = 100_000;
/// How often a VM whose tasks wait tries again without an event.
const TICK: u64 = 20_000;
/// A failing minion answers after this time, in microseconds.
const FAIL_TIME: u64 = 5000;
const SECOND: u64 = 1_000_000;
const WARM_UP: u64 = 5 * SECOND;
const MAX_TRIES: u32 = 3;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    FailsAll,
    Slow(u64),
    Flaps,
}

#[derive(Clone, Copy)]
struct Scenario {
    vms: usize,
    load: f64,
    seconds: u64,
    deadline: u64,
    fault: Fault,
    admission: bool,
    burst: bool,
    refusals: u32,
}

const BASE: Scenario = Scenario {
    vms: 3,
    load: 0.7,
    seconds: 60,
    deadline: 30 * SECOND,
    fault: Fault::None,
    admission: false,
    burst: false,
    refusals: 1,
};

struct Job {
    at: u64,
    vm: usize,
    team: usize,
    runs: Vec<u64>,
    declared: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submit(usize),
    Reach(usize),
    End(usize),
    Answer(usize, bool),
    Refused(usize),
    Freed(usize),
    Tick(usize),
    Beat(usize),
    Hear(usize, usize, usize),
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

#[derive(Default)]
struct Totals {
    ratios: Vec<f64>,
    waits: Vec<u64>,
    tasks: u64,
    wasted: u64,
    good: u64,
    lost: u64,
    late: u64,
    refused: u64,
    digests: u64,
    answered: Vec<u64>,
}

fn jobs(sc: &Scenario, seed: u64) -> Vec<Job> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let runs = LogNormal::new((200_000f64).ln(), 0.6).unwrap();
    let draw = |rng: &mut Xoshiro256PlusPlus| runs.sample(rng).clamp(50e3, 1e6) as u64;
    let mean = (0..100_000).map(|_| draw(&mut rng)).sum::<u64>() as f64 / 1e5;
    let tasks = 139.0 / 140f64.ln();
    let rate = sc.load * MINIONS as f64 * f64::from(SLOTS) / mean / tasks;
    let mut all = Vec::new();
    let mut at = 0.0;
    while at < (sc.seconds * SECOND) as f64 {
        let burst = sc.burst && (20e6..22e6).contains(&at);
        at += Exp::new(if burst { rate * 10.0 } else { rate })
            .unwrap()
            .sample(&mut rng);
        let count = 140f64.powf(rng.random::<f64>()).round() as usize;
        let runs: Vec<_> = (0..count).map(|_| draw(&mut rng)).collect();
        let wrong = |&r: &u64| (r as f64 * 10f64.powf(rng.random_range(-1.0..1.0))) as u64;
        let declared = runs.iter().map(wrong).collect();
        let (vm, team) = (rng.random_range(0..sc.vms), rng.random_range(0..10));
        all.push(Job {
            at: at as u64,
            vm,
            team,
            runs,
            declared,
        });
    }
    all
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
    /// The tasks of each job, and how many have not answered.
    open: Vec<(Vec<usize>, usize)>,
    digests: Vec<Digest>,
    times: RunTimes,
    admission: Admission,
    totals: Totals,
}

fn service() -> Service {
    "quote".parse().unwrap()
}

fn fleet<P: Policy>(policy: P, vm: usize, sc: &Scenario) -> Fleet<P> {
    let home: Domain = "a".parse().unwrap();
    let cfg = RoutingConfig {
        seed: vm as u64,
        refusals: sc.refusals,
        ..RoutingConfig::default()
    };
    let fleet = Fleet::new(home.clone(), cfg, policy);
    let minion = |i: usize| MinionInfo {
        id: format!("a/m-{i:03}").parse().unwrap(),
        domain: home.clone(),
        addr: ([127, 0, 0, 1], 1000 + i as u16).into(),
        services: vec![service()],
        slots: Slots(SLOTS),
        cores: Cores(30),
        leaving: false,
    };
    fleet.update(&(0..MINIONS).map(minion).collect::<Vec<_>>());
    fleet.set_peers(vm, sc.vms);
    fleet
}

impl<P: Policy> World<'_, P> {
    fn at(&mut self, delay: u64, event: Event) {
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
            self.at(HEARTBEAT * vm as u64 / self.sc.vms as u64, Event::Beat(vm));
        }
        let end = (self.sc.seconds + 40) * SECOND;
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let broken: u64 = self.vms.iter().map(|vm| vm.fleet.broken()).sum();
        assert_eq!(broken, 0, "slots were given back twice");
        self.totals
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Submit(job) => self.submit(job),
            Event::Reach(task) => self.reach(task),
            Event::End(task) => self.end(task),
            Event::Answer(task, good) => self.answer(task, good),
            Event::Refused(task) => self.refused(task),
            Event::Freed(minion) => self.busy[minion] -= 1,
            Event::Tick(vm) => {
                self.vms[vm].ticking = false;
                self.expire(vm);
                self.dispatch(vm);
            }
            Event::Beat(vm) => self.beat(vm),
            Event::Hear(from, to, digest) => {
                let id: VmId = format!("a/vm-{from}").parse().unwrap();
                let now = self.time();
                self.vms[to].fleet.absorb(&id, &self.digests[digest], now);
                self.dispatch(to);
                self.hurry(to);
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
            mean: self.times.mean(&service()),
            long: self.times.quantile(&service(), &team, 0.95, Some(declared)),
            left: kernel::Millis(self.sc.deadline / 1000),
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
        let told = self.vms[self.jobs[job].vm].queue.push(entry);
        told.expect("the queue is large enough");
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
            self.at(TICK, Event::Tick(vm));
        }
        if waiting > 0 {
            self.hurry(vm);
        }
    }

    fn send(&mut self, task: usize, slot: Slot) {
        let minion = slot.minion().id.as_str()[4..].parse().unwrap();
        let now = self.now;
        let t = &mut self.tasks[task];
        (t.minion, t.sent, t.slot) = (minion, now, Some(slot));
        self.at(HOP, Event::Reach(task));
    }

    fn bad(&self, minion: usize) -> bool {
        match self.sc.fault {
            Fault::FailsAll => minion == 7 && self.now > 2 * WARM_UP,
            Fault::Flaps => minion == 7 && self.now / (2 * SECOND) % 2 == 1,
            _ => false,
        }
    }

    fn reach(&mut self, task: usize) {
        let minion = self.tasks[task].minion;
        if self.tasks[task].slot.is_none() {
            return;
        }
        if self.busy[minion] >= SLOTS {
            self.at(HOP, Event::Refused(task));
            return;
        }
        self.busy[minion] += 1;
        self.tasks[task].running = true;
        let run = match self.sc.fault {
            Fault::Slow(factor) if minion == 7 && self.now > 2 * WARM_UP => {
                self.tasks[task].run * factor
            }
            _ if self.bad(minion) => FAIL_TIME,
            _ => self.tasks[task].run,
        };
        self.at(run, Event::End(task));
    }

    fn end(&mut self, task: usize) {
        if !self.tasks[task].running {
            return;
        }
        self.tasks[task].running = false;
        let minion = self.tasks[task].minion;
        self.busy[minion] -= 1;
        let good = !self.bad(minion);
        self.at(HOP, Event::Answer(task, good));
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
            self.drop_job(job);
        } else {
            let run = self.now - self.tasks[task].sent - 2 * HOP;
            slot.finish(Finish::Answered { run }, now);
            let team = self.team(job);
            self.times
                .record(&service(), &team, kernel::Millis(run / 1000));
            self.open[job].1 -= 1;
            if self.open[job].1 == 0 {
                self.done(job);
            }
        }
        self.dispatch(self.jobs[job].vm);
    }

    fn done(&mut self, job: usize) {
        let spec = &self.jobs[job];
        let response = self.now - spec.at + CALLER;
        let ideal = spec.runs.iter().max().unwrap() + CALLER;
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

    /// Drops a failed job: what waits is dropped, what runs is cancelled.
    fn drop_job(&mut self, job: usize) {
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
                self.at(HOP, Event::Freed(minion));
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
            self.drop_job(job);
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
        let again = match avoid.len() as u32 <= MAX_TRIES {
            true => self.vms[vm]
                .fleet
                .acquire(&service(), Cores(1), &avoid, now)
                .ok(),
            false => None,
        };
        match again {
            Some(slot) => self.send(task, slot),
            None => {
                self.tasks[task].avoid.clear();
                self.push(task);
                self.dispatch(vm);
            }
        }
    }

    /// Sends a digest ahead of the heartbeat if the fleet asks for it.
    fn hurry(&mut self, vm: usize) {
        if P::OUTLIERS && self.vms[vm].fleet.urgent(self.time()) {
            self.tell(vm);
        }
    }

    fn beat(&mut self, vm: usize) {
        self.tell(vm);
        self.at(HEARTBEAT, Event::Beat(vm));
    }

    fn tell(&mut self, vm: usize) {
        self.totals.digests += 1;
        let now = self.time();
        self.digests.push(self.vms[vm].fleet.digest(now));
        let digest = self.digests.len() - 1;
        for to in (0..self.sc.vms).filter(|&to| to != vm) {
            self.at(2 * HOP, Event::Hear(vm, to, digest));
        }
    }
}

fn run<P: Policy>(make: fn() -> P, sc: &Scenario, jobs: &[Job]) -> Totals {
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

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn row(name: &str, sc: &Scenario, t: &Totals) {
    println!(
        "| {:3.0}% | {} | {name} | {:.3} | {:.2} | {:.4} | {} | {} | {} | {} | {:.0} |",
        sc.load * 100.0,
        sc.vms,
        quantile(&t.ratios, 0.5),
        quantile(&t.ratios, 0.99),
        t.wasted as f64 / t.tasks as f64,
        t.lost,
        t.late,
        t.refused,
        t.good / (sc.seconds - WARM_UP / SECOND),
        t.digests as f64 / (sc.seconds + 40) as f64 / sc.vms as f64,
    );
}

fn compare(title: &str, sc: &Scenario, seed: u64) {
    let jobs = jobs(sc, seed);
    println!("\n{title}\n");
    println!(
        "| load | VMs | policy | p50 | p99 | wasted/task | lost | late | refused | good tasks/s | digests/s a VM |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    row(Random::NAME, sc, &run(|| Random, sc, &jobs));
    row(LeastOwn::NAME, sc, &run(|| LeastOwn, sc, &jobs));
    row(Split::NAME, sc, &run(|| Split, sc, &jobs));
    row(Balanced::NAME, sc, &run(|| Balanced, sc, &jobs));
}

fn main() {
    let seed = std::env::args().nth(1).map_or(1, |s| s.parse().unwrap());
    let refusals = std::env::args().nth(2).map_or(1, |s| s.parse().unwrap());
    let base = Scenario { refusals, ..BASE };
    let quick = std::env::args().nth(3).is_some();
    println!("seed {seed}; response over ideal of jobs, 50 minions of 8 slots");
    for vms in [1, 3, 8] {
        for load in [0.5, 0.7, 0.9, 1.2] {
            compare("No faults.", &Scenario { vms, load, ..base }, seed);
        }
    }
    if quick {
        return;
    }
    let faults = [
        ("One minion of 50 fails everything fast.", Fault::FailsAll),
        ("One minion of 50 is 20 times slower.", Fault::Slow(20)),
        ("One minion of 50 flaps every 2 s.", Fault::Flaps),
    ];
    for (title, fault) in faults {
        compare(title, &Scenario { fault, ..base }, seed);
    }
    let tight = Scenario {
        deadline: 3 * SECOND,
        ..base
    };
    for admission in [false, true] {
        for load in [1.0, 2.0] {
            let sc = Scenario {
                load,
                admission,
                ..tight
            };
            compare(&format!("Deadline 3 s, admission {admission}."), &sc, seed);
        }
    }
    for admission in [false, true] {
        let sc = Scenario {
            burst: true,
            load: 0.5,
            admission,
            ..tight
        };
        compare(
            &format!("Burst of 10 times for 2 s, admission {admission}."),
            &sc,
            seed,
        );
    }
}
