//! Runs one task: waits for a slot and sends the task to the slot's minion. The
//! task is resent only if it provably did not start.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use jobs::{Reason, TaskAnswer, TaskSpec};
use kernel::{Millis, MinionId};
use routing::{Finish, MinionInfo, Policy};
use timeline::{EventKind, Note};
use tokio::time::Instant;
use wire::{CallError, Connect, Reply, SendObserver};

use crate::core::Core;
use crate::run::Run;
use metrics::{Count, Metrics, Timing};

/// First pause after a minion refused a task while the retry budget is used up.
/// It doubles with each further pause.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Longest pause before a task is resent.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Quantile of the learned run times that counts as a long run time.
const LONG_QUANTILE: f64 = 0.95;

/// Multiple of the long run time after which a task's connection is suspected.
const OVERDUE_FACTOR: u32 = 2;

/// Shortest time after which a task's connection is suspected.
const MIN_OVERDUE: Duration = Duration::from_millis(100);

/// Maximum number of minions remembered as having refused a task.
const MAX_AVOIDED: usize = 8;

/// Result of sending a task to a minion.
enum SendResult {
    /// The task ran and the minion returned its answer.
    Answered(Bytes),
    /// The minion reported that the task failed.
    Failed,
    /// The task provably did not start.
    NotStarted,
    /// No answer arrived, and the task may have run.
    Lost,
}

/// Runs the task at an index of its job, and returns the index with the result.
pub async fn run_task<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Arc<Run>,
    index: usize,
) -> (usize, Result<TaskAnswer, Reason>) {
    let task = &run.spec.tasks[index];
    let result = task_answer(core, run, index).await;
    let answer = result.map(|body| TaskAnswer {
        id: task.id.clone(),
        body,
    });
    (index, answer)
}

/// Sends a task to one minion after another until it is answered, fails, or may
/// have run without an answer.
async fn task_answer<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Arc<Run>,
    index: usize,
) -> Result<Bytes, Reason> {
    let task = &run.spec.tasks[index];
    let mut avoid: Vec<MinionId> = Vec::new();
    let mut pause = RETRY_PAUSE;
    core.dispatch.retries.record_attempt();
    loop {
        let slot = core.dispatch.acquire(run, task, &avoid).await?;
        let Some(minion) = slot.minion().cloned() else {
            return Err(Reason::NoMinion);
        };
        let started = core.now();
        if run.is_sent(index) {
            core.violations.double_start();
            return Err(lost_reason(run, task));
        }
        if !avoid.is_empty() {
            note(core, run, task, &minion, EventKind::TaskResent);
        }
        note(core, run, task, &minion, EventKind::TaskSent);
        match send(core, run, index, &minion).await {
            SendResult::Answered(body) => {
                let run_time = core.now().micros_since(started);
                core.notes
                    .metrics
                    .time(Timing::TaskRun, Duration::from_micros(run_time));
                let learned = Millis(run_time / 1000);
                let times = &core.dispatch.times;
                times.record(&run.spec.service, &run.spec.team, learned);
                slot.finish(Finish::Answered { run: run_time }, core.now());
                note(core, run, task, &minion, EventKind::TaskAnswered);
                return Ok(body);
            }
            SendResult::Failed => {
                slot.finish(Finish::TaskFailed, core.now());
                note(core, run, task, &minion, EventKind::TaskFailed);
                return Err(Reason::TaskFailed(task.id.clone()));
            }
            SendResult::Lost => {
                slot.finish(Finish::Lost, core.now());
                core.minions.close_idle(minion.addr);
                note(core, run, task, &minion, EventKind::TaskLost);
                return Err(lost_reason(run, task));
            }
            SendResult::NotStarted => {
                run.clear_sent(index);
                slot.finish(Finish::NotStarted, core.now());
                note(core, run, task, &minion, EventKind::TaskNotStarted);
            }
        }
        if avoid.len() == MAX_AVOIDED {
            avoid.remove(0);
        }
        avoid.push(minion.id);
        if !core.dispatch.retries.try_retry() {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}

/// Returns the reason for a task that was sent and got no answer. After the
/// deadline the connection is not to blame.
fn lost_reason(run: &Run, task: &TaskSpec) -> Reason {
    match Instant::now() >= run.deadline {
        true => Reason::Deadline,
        false => Reason::ConnectionLost(task.id.clone()),
    }
}

/// Records an event of a task at a minion on the time line.
fn note<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    task: &TaskSpec,
    minion: &MinionInfo,
    kind: EventKind,
) {
    let note = Note::new(kind).job(&run.spec.key).task(&task.id);
    core.note(note.minion(&minion.id));
}

/// A task sent to a minion. If it is dropped before its answer arrives, its
/// connection is closed and the task is counted as cancelled.
struct InFlight<'a> {
    /// Counts the cancellation; `None` once the answer has arrived.
    metrics: Option<&'a Metrics>,
}

impl InFlight<'_> {
    fn complete(mut self) {
        self.metrics = None;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(metrics) = self.metrics {
            metrics.add(Count::WasteCancel, 1);
        }
    }
}

/// Marks a task as perhaps started while a connection has its request. A task
/// that still waits for its connection to open has provably not started.
struct Exposure<'a> {
    /// Job of the task.
    run: &'a Run,
    /// Index of the task in its job.
    index: usize,
}

impl SendObserver for Exposure<'_> {
    fn sending(&self) {
        self.run.mark_sent(self.index);
    }

    fn unsent(&self) {
        self.run.clear_sent(self.index);
    }
}

async fn send<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    index: usize,
    minion: &MinionInfo,
) -> SendResult {
    let task = &run.spec.tasks[index];
    let left = run.deadline.saturating_duration_since(Instant::now());
    let Some(req) = request(core, run, task, left) else {
        return SendResult::NotStarted;
    };
    let in_flight = InFlight {
        metrics: Some(&core.notes.metrics),
    };
    let exposure = Exposure { run, index };
    let call = core
        .minions
        .call_observed(minion.addr, req, left, &exposure);
    let answer = await_answer(core, run, task, minion, call).await;
    in_flight.complete();
    classify(answer)
}

/// Waits for a minion's answer. A task that takes far longer than usual may be
/// on a connection that has gone silent, so the idle connections to that minion
/// are dropped. The call itself goes on, as the task may well be running.
async fn await_answer<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    task: &TaskSpec,
    minion: &MinionInfo,
    call: impl Future<Output = Result<Reply, CallError>>,
) -> Result<Reply, CallError> {
    let (service, team) = (&run.spec.service, &run.spec.team);
    let times = &core.dispatch.times;
    let usual = times.quantile(service, team, LONG_QUANTILE, task.declared);
    let overdue = MIN_OVERDUE.max(usual.duration() * OVERDUE_FACTOR);
    let mut call = std::pin::pin!(call);
    match tokio::time::timeout(overdue, call.as_mut()).await {
        Ok(answer) => answer,
        Err(_) => {
            core.minions.close_idle(minion.addr);
            call.await
        }
    }
}

fn request<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    task: &TaskSpec,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let text = |s: &str| HeaderValue::from_str(s).ok();
    Request::post(wire::TASK_PATH)
        .header("host", "minion")
        .header("content-type", "application/json")
        .header(wire::JOB_HEADER, text(&run.spec.key.to_string())?)
        .header(wire::TASK_HEADER, text(task.id.as_str())?)
        .header(wire::SERVICE_HEADER, text(run.spec.service.as_str())?)
        .header(
            wire::INCARNATION_HEADER,
            text(&core.me.incarnation.to_string())?,
        )
        .header(wire::DEADLINE_HEADER, left.as_millis() as u64)
        .body(Full::new(task.payload.clone()))
        .ok()
}

/// Classifies a minion's answer. A task provably did not start only if it was
/// never sent or if the minion says so.
fn classify(answer: Result<Reply, CallError>) -> SendResult {
    match answer {
        Ok(reply) if reply.status == StatusCode::OK => SendResult::Answered(reply.body),
        Ok(reply) if did_not_start(&reply) => SendResult::NotStarted,
        Ok(_) => SendResult::Failed,
        Err(e) if e.maybe_sent() => SendResult::Lost,
        Err(_) => SendResult::NotStarted,
    }
}

fn did_not_start(reply: &Reply) -> bool {
    let started = reply.headers.get(wire::STARTED_HEADER);
    reply.status == StatusCode::SERVICE_UNAVAILABLE && started.is_some_and(|v| v == "no")
}
