//! Costs of jobs through one real VM: processor time and memory, and the processor
//! time of the time line.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::KEY_HEADER;
use kernel::{Cores, Millis};
use logstore::MinionRow;
use standins::{Ledger, MinionConfig, MinionStandin};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::testbed::{Plan, Testbed, VM_THREADS, job};
use crate::usage::{cpu, resident};

/// Number of minions in the domain.
const MINIONS: usize = 60;

/// Number of tasks that are kept in flight.
const IN_FLIGHT: usize = 280;

/// Run time of each task.
const RUN_TIME: Millis = Millis(20);

/// Time that jobs run before they are counted.
const WARM_UP: Duration = Duration::from_millis(800);

/// Time over which jobs are counted.
const MEASURE_TIME: Duration = Duration::from_secs(2);

/// Number of rounds over all sizes. The round with the least processor time counts.
const ROUNDS: usize = 4;

/// Number of tasks in each job while the time line is measured.
const TASKS: usize = 20;

/// Number of events that a VM's time line holds by default.
const EVENTS: usize = 1 << 14;

/// Timeout for tasks to be in flight.
const FLIGHT_TIMEOUT: Duration = Duration::from_secs(4);

/// Measures memory first, then processor time.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = Vec::new();
    let (wide, _wide) = memory("tasks in flight, 20 a job", 20)?;
    figures.extend(wide);
    let (narrow, _narrow) = memory("tasks in flight, 1 a job", 1)?;
    figures.extend(narrow);
    // The testbed is kept, because the processor time of threads that have ended
    // is missing from later sums.
    let (jobs, _testbed) = cost_by_tasks()?;
    figures.extend(jobs);
    figures.extend(cost_by_events()?);
    Ok(figures)
}

/// Measures the processor time of the VM's threads against the tasks in a job.
fn cost_by_tasks() -> Result<(Vec<Figure>, LoadedVm), SlopeError> {
    let testbed = LoadedVm::start(EVENTS)?;
    let mut series = Series::new("tasks in a job");
    let sizes = [1, 10, 50, 140];
    let mut best = [f64::INFINITY; 4];
    for _ in 0..ROUNDS {
        for (best, &tasks) in best.iter_mut().zip(&sizes) {
            *best = best.min(testbed.cost(tasks));
        }
    }
    for (best, &tasks) in best.iter().zip(&sizes) {
        series.add(tasks, &[("processor time of a job", "us", *best)]);
    }
    Ok((series.finish(), testbed))
}

/// Measures processor time against the number of events that the time line holds;
/// 0 switches it off.
fn cost_by_events() -> Result<Vec<Figure>, SlopeError> {
    let sizes = [0, 1 << 10, 1 << 13, 1 << 16];
    let mut best = [f64::INFINITY; 4];
    let testbeds: Result<Vec<_>, _> = sizes.iter().map(|&n| LoadedVm::start(n)).collect();
    let testbeds = testbeds?;
    for _ in 0..2 * ROUNDS {
        for (best, testbed) in best.iter_mut().zip(&testbeds) {
            *best = best.min(testbed.cost(TASKS) / TASKS as f64);
        }
    }
    let mut series = Series::new("events in the ring, 20 tasks a job");
    for (best, &events) in best.iter().zip(&sizes) {
        series.add(events, &[("processor time of a task", "us", *best)]);
    }
    Ok(series.finish())
}

/// A VM with minions that execute tasks.
struct LoadedVm {
    /// The testbed with the VM.
    testbed: Arc<Testbed>,
    /// The minions, which run until this is dropped.
    _minions: Vec<MinionStandin>,
}

impl LoadedVm {
    fn start(events: usize) -> Result<LoadedVm, SlopeError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let ledger = Ledger::default();
        let home = fixtures::domain(0);
        let mut minions = Vec::new();
        for n in 0..MINIONS {
            let config = MinionConfig {
                id: fixtures::minion(&home, n),
                domain: home.clone(),
                services: vec![fixtures::service()],
                slots: fixtures::SLOTS,
                cores: Cores(30),
            };
            minions.push(runtime.block_on(MinionStandin::start(config, ledger.clone()))?);
        }
        // The minions' runtime must run until the program ends.
        std::mem::forget(runtime);
        let rows = minions.iter().map(MinionStandin::row).collect();
        Ok(LoadedVm {
            testbed: Arc::new(start_testbed(rows, events)?),
            _minions: minions,
        })
    }

    /// Returns the processor time of a job in microseconds.
    fn cost(&self, tasks: usize) -> f64 {
        let callers = (IN_FLIGHT / tasks).max(2);
        let done = Arc::new(AtomicUsize::new(0));
        let end = Instant::now() + WARM_UP + MEASURE_TIME;
        let body = Bytes::from(job(tasks, RUN_TIME));
        for _ in 0..callers {
            let (testbed, done, body) = (self.testbed.clone(), done.clone(), body.clone());
            self.testbed.caller_runtime.spawn(async move {
                let mut tickets = Vec::new();
                while Instant::now() < end {
                    if tickets.is_empty() {
                        tickets = testbed.tickets(200).await;
                    }
                    let key = tickets.pop().unwrap_or_default();
                    let completed = testbed.submit(&key, &body).await;
                    done.fetch_add(usize::from(completed), Ordering::Relaxed);
                }
            });
        }
        thread::sleep(WARM_UP);
        let (jobs, used) = (done.load(Ordering::Relaxed), cpu(VM_THREADS));
        thread::sleep(MEASURE_TIME);
        let jobs = done.load(Ordering::Relaxed) - jobs;
        let used = cpu(VM_THREADS) - used;
        // Lets callers finish their last jobs before the next round.
        thread::sleep(Duration::from_millis(200));
        used * 1e6 / jobs.max(1) as f64
    }
}

fn start_testbed(minions: Vec<MinionRow>, events: usize) -> Result<Testbed, SlopeError> {
    Testbed::start(&Plan {
        vms: 1,
        domains: 1,
        minions,
        teams: 1,
        events,
    })
}

/// Measures the memory of the process against the tasks in flight. Callers and
/// minions are bare sockets, which take hardly any of this process's memory.
fn memory(per: &'static str, tasks: usize) -> Result<(Vec<Figure>, Testbed), SlopeError> {
    let (addr, open) = silent_listener()?;
    let mut rows = fixtures::minion_rows(MINIONS, 1);
    rows.iter_mut().for_each(|row| row.addr = addr);
    let testbed = start_testbed(rows, EVENTS)?;
    thread::sleep(Duration::from_secs(1));
    let before = resident();
    let body = job(tasks, RUN_TIME);
    let tickets = testbed.caller_runtime.block_on(testbed.tickets(500));
    let mut tickets = tickets.iter();
    let mut callers = Vec::new();
    let mut series = Series::new(per);
    for wanted in [100, 200, 300, 400] {
        while callers.len() * tasks < wanted {
            let key = tickets.next().map_or("", String::as_str);
            callers.push(submit(testbed.vms[0].callers(), key, &body)?);
        }
        let end = Instant::now() + FLIGHT_TIMEOUT;
        while open.load(Ordering::Relaxed) < wanted && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        let in_flight = open.load(Ordering::Relaxed);
        series.add(in_flight, &[("memory in flight", "B", resident() - before)]);
    }
    Ok((series.finish(), testbed))
}

/// Opens a port that accepts connections and never answers them. Returns its
/// address and the number of accepted connections.
fn silent_listener() -> Result<(SocketAddr, Arc<AtomicUsize>), SlopeError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming() {
            held.push(stream);
            count.store(held.len(), Ordering::Relaxed);
        }
    });
    Ok((addr, open))
}

/// Submits a job over a bare socket without waiting for the answer.
fn submit(addr: SocketAddr, key: &str, body: &str) -> Result<TcpStream, SlopeError> {
    let mut stream = TcpStream::connect(addr)?;
    let length = body.len();
    write!(
        stream,
        "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\n{KEY_HEADER}: {key}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )?;
    Ok(stream)
}
