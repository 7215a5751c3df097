//! Jobs through one real VM: processor time, memory, and what the time line
//! takes of both.

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
use crate::bed::{Bed, Plan, THREADS, job};
use crate::figure::{Figure, Series};
use crate::named;
use crate::usage::{cpu, resident};

/// Minions in the domain.
const MINIONS: usize = 60;

/// The tasks that are kept in flight.
const FLYING: usize = 280;

/// The run time of each task.
const RUN: Millis = Millis(20);

/// How long jobs run before they are counted.
const WARM: Duration = Duration::from_millis(800);

/// How long jobs are counted.
const SPAN: Duration = Duration::from_secs(2);

/// Rounds in turn, of which the one with the least processor time counts.
const ROUNDS: usize = 4;

/// The tasks of a job while the time line is measured.
const TASKS: usize = 20;

/// The events that a VM remembers by default.
const EVENTS: usize = 1 << 14;

/// The longest wait for tasks to be in flight.
const FLIGHT_WAIT: Duration = Duration::from_secs(4);

/// Measures memory first, then processor time.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = Vec::new();
    let (wide, _wide) = memory("tasks in flight, 20 a job", 20)?;
    figures.extend(wide);
    let (narrow, _narrow) = memory("tasks in flight, 1 a job", 1)?;
    figures.extend(narrow);
    // The bed stays, as threads that end would take their time with them.
    let (jobs, _bed) = by_tasks()?;
    figures.extend(jobs);
    figures.extend(by_ring()?);
    Ok(figures)
}

/// Processor time of the VM's threads against the tasks of a job.
fn by_tasks() -> Result<(Vec<Figure>, Working), SlopeError> {
    let bed = Working::start(EVENTS)?;
    let mut series = Series::new("tasks in a job");
    let sizes = [1, 10, 50, 140];
    let mut best = [f64::INFINITY; 4];
    for _ in 0..ROUNDS {
        for (best, &tasks) in best.iter_mut().zip(&sizes) {
            *best = best.min(bed.cost(tasks));
        }
    }
    for (best, &tasks) in best.iter().zip(&sizes) {
        series.add(tasks, &[("processor time of a job", "us", *best)]);
    }
    Ok((series.finish(), bed))
}

/// Processor time against the events that the time line holds; 0 is off.
fn by_ring() -> Result<Vec<Figure>, SlopeError> {
    let sizes = [0, 1 << 10, 1 << 13, 1 << 16];
    let mut best = [f64::INFINITY; 4];
    let beds: Result<Vec<_>, _> = sizes.iter().map(|&n| Working::start(n)).collect();
    let beds = beds?;
    for _ in 0..2 * ROUNDS {
        for (best, bed) in best.iter_mut().zip(&beds) {
            *best = best.min(bed.cost(TASKS) / TASKS as f64);
        }
    }
    let mut series = Series::new("events in the ring, 20 tasks a job");
    for (best, &events) in best.iter().zip(&sizes) {
        series.add(events, &[("processor time of a task", "us", *best)]);
    }
    Ok(series.finish())
}

/// A VM with minions that answer.
struct Working {
    /// The VM.
    bed: Arc<Bed>,
    /// The minions, which live as long as this.
    _minions: Vec<MinionStandin>,
}

impl Working {
    fn start(events: usize) -> Result<Working, SlopeError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let ledger = Ledger::default();
        let home = named::domain(0);
        let mut minions = Vec::new();
        for n in 0..MINIONS {
            let config = MinionConfig {
                id: named::minion(&home, n),
                domain: home.clone(),
                services: vec![named::service()],
                slots: named::SLOTS,
                cores: Cores(30),
            };
            minions.push(runtime.block_on(MinionStandin::start(config, ledger.clone()))?);
        }
        // The minions run on for as long as the program.
        std::mem::forget(runtime);
        let rows = minions.iter().map(MinionStandin::row).collect();
        Ok(Working {
            bed: Arc::new(bed(rows, events)?),
            _minions: minions,
        })
    }

    /// Returns the microseconds of processor time of a job.
    fn cost(&self, tasks: usize) -> f64 {
        let callers = (FLYING / tasks).max(2);
        let done = Arc::new(AtomicUsize::new(0));
        let end = Instant::now() + WARM + SPAN;
        let body = Bytes::from(job(tasks, RUN));
        for _ in 0..callers {
            let (bed, done, body) = (self.bed.clone(), done.clone(), body.clone());
            self.bed.outside.spawn(async move {
                let mut tickets = Vec::new();
                while Instant::now() < end {
                    if tickets.is_empty() {
                        tickets = bed.tickets(200).await;
                    }
                    let key = tickets.pop().unwrap_or_default();
                    let good = bed.submit(&key, &body).await;
                    done.fetch_add(usize::from(good), Ordering::Relaxed);
                }
            });
        }
        thread::sleep(WARM);
        let (jobs, used) = (done.load(Ordering::Relaxed), cpu(THREADS));
        thread::sleep(SPAN);
        let jobs = done.load(Ordering::Relaxed) - jobs;
        let used = cpu(THREADS) - used;
        // Callers finish what they began before the next round.
        thread::sleep(Duration::from_millis(200));
        used * 1e6 / jobs.max(1) as f64
    }
}

fn bed(minions: Vec<MinionRow>, events: usize) -> Result<Bed, SlopeError> {
    Bed::start(&Plan {
        vms: 1,
        domains: 1,
        minions,
        teams: 1,
        events,
    })
}

/// Memory of the process against tasks in flight. Callers and minions are bare
/// sockets, which take hardly any memory of this process.
fn memory(per: &'static str, tasks: usize) -> Result<(Vec<Figure>, Bed), SlopeError> {
    let (addr, open) = silent()?;
    let mut rows = named::minion_rows(MINIONS, 1);
    rows.iter_mut().for_each(|row| row.addr = addr);
    let bed = bed(rows, EVENTS)?;
    thread::sleep(Duration::from_secs(1));
    let before = resident();
    let body = job(tasks, RUN);
    let tickets = bed.outside.block_on(bed.tickets(500));
    let mut tickets = tickets.iter();
    let mut callers = Vec::new();
    let mut series = Series::new(per);
    for wanted in [100, 200, 300, 400] {
        while callers.len() * tasks < wanted {
            let key = tickets.next().map_or("", String::as_str);
            callers.push(call(bed.vms[0].callers(), key, &body)?);
        }
        let end = Instant::now() + FLIGHT_WAIT;
        while open.load(Ordering::Relaxed) < wanted && Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
        let flying = open.load(Ordering::Relaxed);
        series.add(flying, &[("memory in flight", "B", resident() - before)]);
    }
    Ok((series.finish(), bed))
}

/// Opens a port whose connections are taken and never answered, and counts
/// them.
fn silent() -> Result<(SocketAddr, Arc<AtomicUsize>), SlopeError> {
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

/// Submits a job over a bare socket and does not wait for the answer.
fn call(addr: SocketAddr, key: &str, body: &str) -> Result<TcpStream, SlopeError> {
    let mut stream = TcpStream::connect(addr)?;
    let length = body.len();
    write!(
        stream,
        "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\n{KEY_HEADER}: {key}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )?;
    Ok(stream)
}
