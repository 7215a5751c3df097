//! Sends a load to a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::ValueEnum;
use compact_str::{CompactString, format_compact};
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use kernel::Millis;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep_until};

use crate::error::{AskError, CommandError};
use crate::fleet::{Fleet, request};
use crate::load::{Arrivals, Plan, Planned, Report, Tally};
use crate::view::{Answer, Tickets};

/// Where the jobs' keys come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Keys {
    /// Tickets, fetched from the VM that gets the job.
    Ticket,
    /// Keys made up here, which the VM must claim in the log.
    Bare,
}

/// The most tickets fetched at once.
const TICKET_BATCH: usize = 1000;

/// How much longer than the job's deadline its answer is waited for.
const GRACE: Duration = Duration::from_secs(5);

/// The time between two progress lines.
const PROGRESS: Duration = Duration::from_secs(1);

/// What one job's task tells the tally.
enum Told {
    /// It was sent this long after its intended start.
    Sent(usize, Duration),
    /// It ended.
    Ended(Ending),
}

/// How one job ended.
struct Ending {
    /// How many tasks it has.
    tasks: usize,
    /// From its intended start to the answer.
    response: Duration,
    /// The longest run time of its tasks.
    ideal: Duration,
    /// What the caller was told.
    answer: Result<Answer, AskError>,
}

/// What all jobs of a load share.
struct Sending {
    /// The fleet.
    fleet: Fleet,
    /// How long each answer is waited for.
    wait: Duration,
    /// Where results go.
    tell: mpsc::UnboundedSender<Told>,
}

/// Runs a load and returns what became of it. `progress` gets a line a second.
///
/// # Errors
///
/// Fails when tickets can't be fetched; whatever happens to single jobs is in
/// the report.
pub async fn run(
    fleet: &Fleet,
    plan: Plan,
    keys: Keys,
    progress: impl FnMut(&Report),
) -> Result<Report, CommandError> {
    let wait = plan.deadline.duration() + GRACE;
    let jobs: Vec<Planned> = Arrivals::new(plan).collect();
    let keys = Arc::new(all_keys(fleet, keys, jobs.len()).await?);
    let (tell, told) = mpsc::unbounded_channel();
    let sending = Arc::new(Sending {
        fleet: fleet.clone(),
        wait,
        tell,
    });
    let start = Instant::now();
    tokio::spawn(send_all(sending, jobs, keys, start));
    Ok(gather(told, start, progress).await)
}

/// Sends every job at its time, whatever became of those before.
async fn send_all(
    sending: Arc<Sending>,
    jobs: Vec<Planned>,
    keys: Arc<Vec<CompactString>>,
    start: Instant,
) {
    for job in jobs {
        let due = start + job.at;
        sleep_until(due).await;
        let key = keys[job.serial as usize].clone();
        let sending = Arc::clone(&sending);
        tokio::spawn(async move { send_one(&sending, job, &key, due).await });
    }
}

async fn send_one(sending: &Sending, job: Planned, key: &str, due: Instant) {
    let _ = sending.tell.send(Told::Sent(job.tasks, due.elapsed()));
    let addr = vm_of(&sending.fleet, job.serial as usize);
    let answer = submit(&sending.fleet, addr, key, job.body, sending.wait).await;
    let ending = Ending {
        tasks: job.tasks,
        response: due.elapsed(),
        ideal: job.ideal,
        answer,
    };
    let _ = sending.tell.send(Told::Ended(ending));
}

/// Returns the VM that gets the job of a number, each in turn.
fn vm_of(fleet: &Fleet, serial: usize) -> SocketAddr {
    fleet.vms()[serial % fleet.vms().len()]
}

/// Submits a job and reads what its caller is told.
///
/// # Errors
///
/// Fails when no answer comes or it can't be read.
pub async fn submit(
    fleet: &Fleet,
    addr: SocketAddr,
    key: &str,
    body: Bytes,
    wait: Duration,
) -> Result<Answer, AskError> {
    let mut req = request(Method::POST, "/v1/jobs", body);
    if let Ok(key) = HeaderValue::from_str(key) {
        req.headers_mut().insert(entry::KEY_HEADER, key);
    }
    let reply = fleet.send(addr, req, wait).await?;
    serde_json::from_slice(&reply.body).map_err(|e| match reply.status {
        StatusCode::OK => AskError::Json(e),
        other => AskError::Status(other),
    })
}

async fn gather(
    mut told: mpsc::UnboundedReceiver<Told>,
    start: Instant,
    mut progress: impl FnMut(&Report),
) -> Report {
    let mut tally = Tally::new();
    let mut ticks = interval(PROGRESS);
    ticks.tick().await;
    loop {
        tokio::select! {
            _ = ticks.tick() => progress(&tally.report(start.elapsed())),
            told = told.recv() => match told {
                Some(Told::Sent(tasks, lag)) => tally.sent(tasks, lag),
                Some(Told::Ended(ending)) => end(&mut tally, &ending),
                None => return tally.report(start.elapsed()),
            },
        }
    }
}

fn end(tally: &mut Tally, ending: &Ending) {
    match &ending.answer {
        Ok(answer) => {
            if answer.is_complete() {
                tally.complete(ending.response, ending.ideal);
            }
            tally.answer(answer, ending.tasks);
        }
        Err(_) => tally.unanswered(),
    }
}

/// Makes up or fetches a key for every job before the load starts, since
/// fetching is not what is measured.
/// Makes up or fetches the keys of so many jobs, in the order in which the VMs
/// get them.
///
/// # Errors
///
/// Fails when tickets can't be fetched.
pub async fn all_keys(
    fleet: &Fleet,
    keys: Keys,
    count: usize,
) -> Result<Vec<CompactString>, CommandError> {
    if keys == Keys::Bare {
        let run = kernel::Clock::wall(&kernel::SystemClock::new());
        return Ok((0..count).map(|i| bare_key(run, i)).collect());
    }
    let vms = fleet.vms();
    let each = count.div_ceil(vms.len());
    let mut all = vec![CompactString::default(); each * vms.len()];
    for (i, vm) in vms.iter().enumerate() {
        let tickets = fetch(fleet, *vm, each).await?;
        for (j, ticket) in tickets.into_iter().enumerate() {
            all[j * vms.len() + i] = ticket;
        }
    }
    Ok(all)
}

fn bare_key(run: Millis, serial: usize) -> CompactString {
    format_compact!("load-{:x}-{serial}", run.0)
}

/// Fetches tickets from one VM.
///
/// # Errors
///
/// Fails when the VM gives none.
pub async fn fetch(
    fleet: &Fleet,
    vm: SocketAddr,
    count: usize,
) -> Result<Vec<CompactString>, CommandError> {
    let mut all = Vec::with_capacity(count);
    while all.len() < count {
        let batch = TICKET_BATCH.min(count - all.len());
        let path = format!("/v1/tickets?count={batch}");
        let req = request(Method::POST, &path, Bytes::new());
        let failed = |e| CommandError::Ask(vm, e);
        let reply = fleet.send(vm, req, GRACE).await.map_err(failed)?;
        if reply.status != StatusCode::OK {
            return Err(failed(AskError::Status(reply.status)));
        }
        let tickets: Tickets =
            serde_json::from_slice(&reply.body).map_err(|e| failed(AskError::Json(e)))?;
        all.extend(tickets.tickets);
    }
    Ok(all)
}
