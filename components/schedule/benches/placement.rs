//! Measures a placement round on 350 minions with 1,000 waiting jobs: on a fleet
//! whose kinds of minions do not differ in speed, and on one whose kinds do.

use std::hint::black_box;

use criterion::Criterion;
use kernel::{Fence, LeaseTime, Mebibytes, MilliCores, Millis, RunNumber, Timestamp};
use schedule::{
    Action, End, EndKind, EvidenceReport, Gpus, JobSpec, Listing, MinionInfo, PairReport,
    Resources, ScheduleConfig, Scheduler, Step,
};

const MINIONS: u32 = 350;
const JOBS: u64 = 1_000;

fn info(number: u32) -> MinionInfo {
    let (kind, cores) = if number.is_multiple_of(3) {
        ("b", 24)
    } else {
        ("a", 16)
    };
    MinionInfo {
        id: format!("m-{number:03}").parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "suva-a".parse().unwrap(),
        service: "quotes".parse().unwrap(),
        capacity: resources(cores),
        labels: vec![kind.into()],
        draining: false,
        born: 1,
        sequence: kernel::Sequence(0),
        kind: kind.into(),
    }
}

fn resources(cores: u32) -> Resources {
    Resources {
        cpu: MilliCores(cores * 1_000),
        memory: Mebibytes(64 * cores),
        gpus: Gpus(0),
    }
}

fn job(number: u64) -> JobSpec {
    let queue = ["wide", "long", "small"][number as usize % 3];
    JobSpec {
        id: format!("{number:016x}").parse().unwrap(),
        queue: queue.into(),
        service: "quotes".parse().unwrap(),
        payload: "work".into(),
        steps: vec![Step {
            count: 4,
            need: resources(8),
            estimate: Millis(400),
            after: Vec::new(),
            label: None,
            rack: None,
            spread: None,
        }],
        priority: 0,
        attempts: 3,
        objective: Millis(600_000),
        timeout: Millis(600_000),
    }
}

/// Returns run times by which kind `b` is 2.4 times as fast as kind `a`.
fn speeds() -> EvidenceReport {
    let pair = |kind: &MinionInfo, queue: &str, bucket: usize, mean: f32| {
        let mut counts = vec![0; 16];
        counts[bucket] = 255;
        PairReport {
            kind: schedule::MinionKind::of(&kind.kind, &kind.capacity),
            queue: queue.into(),
            runs: 500.0,
            mean,
            counts,
        }
    };
    let mut pairs = Vec::new();
    for queue in ["wide", "long", "small"] {
        pairs.push(pair(&info(1), queue, 7, 0.36));
        pairs.push(pair(&info(0), queue, 4, -0.53));
    }
    EvidenceReport { pairs }
}

fn listing(clock: u64, ended: Vec<End>, running: Vec<(schedule::TaskName, RunNumber)>) -> Listing {
    Listing {
        clock: LeaseTime(clock),
        born: 1,
        running,
        ended,
    }
}

/// Returns an owner whose minions are all full, with so many jobs in the queue,
/// and the starts that it has ordered.
fn full_owner(uneven: bool) -> (Scheduler, Vec<schedule::StartOrder>) {
    let now = Timestamp(1_000_000);
    let mut owner = Scheduler::new(ScheduleConfig::default());
    for number in 0..MINIONS {
        let info = info(number);
        let id = info.id.clone();
        owner.register(info, Fence(1));
        owner.hold(&id, now);
        owner.listed(&id, Fence(1), listing(1_000, Vec::new(), Vec::new()), now);
    }
    if uneven {
        owner.learn_report(&speeds(), now);
    }
    for number in 0..JOBS + 205 {
        owner.submit(now, job(number + 1));
    }
    let starts = owner.take_actions().into_iter().filter_map(|a| match a {
        Action::Start(order) => Some(order),
        _ => None,
    });
    (owner, starts.collect())
}

fn bench(criterion: &mut Criterion, name: &str, uneven: bool) {
    let (_, starts) = full_owner(uneven);
    println!("{name}: {} starts", starts.len());
    // One run ends; the round fills its room again.
    criterion.bench_function(&format!("one end, {name}"), |bencher| {
        let (mut owner, starts) = full_owner(uneven);
        let mut running = starts;
        let mut clock = 1_000;
        let mut number = 0;
        bencher.iter_custom(|count| {
            let mut spent = std::time::Duration::ZERO;
            for _ in 0..count {
                clock += 1;
                number += 1;
                if running.is_empty() || owner.pending() < 100 {
                    (owner, running) = full_owner(uneven);
                    clock = 1_001;
                    number = 1;
                }
                let order = running.swap_remove(number as usize % running.len());
                let now = Timestamp(clock * 1_000);
                let others = running.iter().filter(|o| o.minion == order.minion);
                let others: Vec<_> = others.map(|o| (o.task.clone(), o.run)).collect();
                let end = End {
                    number,
                    task: order.task.clone(),
                    run: order.run,
                    kind: EndKind::Done,
                };
                let list = listing(clock, vec![end], others);
                let begin = std::time::Instant::now();
                black_box(owner.listed(&order.minion, Fence(1), list, now));
                spent += begin.elapsed();
                running.extend(owner.take_actions().into_iter().filter_map(|a| match a {
                    Action::Start(order) => Some(order),
                    _ => None,
                }));
            }
            spent
        });
    });
    // All minions are idle, and one round places some 800 tasks.
    criterion.bench_function(&format!("fill, {name}"), |bencher| {
        bencher.iter_custom(|count| {
            let mut spent = std::time::Duration::ZERO;
            for _ in 0..count {
                let (owner, _) = full_owner(uneven);
                let now = Timestamp(1_000_000);
                let state = owner.export(now);
                let mut next = Scheduler::new(ScheduleConfig::default());
                next.import(now, without_runs(state), || Fence(2));
                for number in 0..MINIONS {
                    let id = info(number).id;
                    next.freeze(false);
                    next.hold(&id, now);
                }
                spent += fill(&mut next, now);
            }
            spent
        });
    });
}

/// Returns the state as if nothing had been started.
fn without_runs(mut state: schedule::Transfer) -> schedule::Transfer {
    for minion in &mut state.minions {
        minion.runs.clear();
    }
    for job in &mut state.jobs {
        job.started = false;
        for task in &mut job.tasks {
            task.placed = false;
        }
    }
    state
}

/// Returns the time in which an owner places tasks on minions as it gets hold of
/// them.
fn fill(owner: &mut Scheduler, now: Timestamp) -> std::time::Duration {
    let mut spent = std::time::Duration::ZERO;
    for number in 0..MINIONS {
        let id = info(number).id;
        let list = listing(1_000, Vec::new(), Vec::new());
        let begin = std::time::Instant::now();
        black_box(owner.listed(&id, Fence(2), list, now));
        spent += begin.elapsed();
    }
    spent
}

fn main() {
    let mut criterion = Criterion::default().sample_size(10).configure_from_args();
    bench(&mut criterion, "equal speeds", false);
    bench(&mut criterion, "different speeds", true);
    criterion.final_summary();
}
