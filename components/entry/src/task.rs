//! Runs one task: waits for a slot, sends the task once, and sends it again
//! only when it provably did not start.

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
use wire::{CallError, Connect, Reply};

use crate::core::Core;
use crate::run::Run;
use metrics::{Count, Metrics, Timing};

/// The first pause after a minion turned a task away while the retry budget is
/// used up; it doubles each time.
const PAUSE: Duration = Duration::from_millis(2);

/// The longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(100);

/// The quantile of run times that counts as long.
const LONG: f64 = 0.95;

/// How many long run times a task may take before its connection is suspected.
const OVERDUE_FACTOR: u32 = 2;

/// The least time before a connection is suspected.
const OVERDUE_MIN: Duration = Duration::from_millis(100);

/// The minions remembered as having turned a task away.
const AVOID: usize = 8;

/// How sending a task ended.
enum Sent {
    /// The minion answered.
    Answered(Bytes),
    /// The minion answered that the task failed.
    Failed,
    /// The task provably did not start.
    NotStarted,
    /// The task may have run.
    Lost,
}

/// Runs the task at a position of its job, and answers that position with it.
pub async fn run_task<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Arc<Run>,
    at: usize,
) -> (usize, Result<TaskAnswer, Reason>) {
    let task = &run.spec.tasks[at];
    let result = answer_of(core, run, at).await;
    let answer = result.map(|body| TaskAnswer {
        id: task.id.clone(),
        body,
    });
    (at, answer)
}

async fn answer_of<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Arc<Run>,
    at: usize,
) -> Result<Bytes, Reason> {
    let task = &run.spec.tasks[at];
    let mut avoid: Vec<MinionId> = Vec::new();
    let mut pause = PAUSE;
    core.dispatch.retries.record_attempt();
    loop {
        let held = core.dispatch.slot(run, task, &avoid).await?;
        let Some(minion) = held.minion().cloned() else {
            return Err(Reason::NoMinion);
        };
        let started = core.now();
        if run.expose_task(at) {
            core.faults.double_start();
            return Err(lost(run, task));
        }
        if !avoid.is_empty() {
            note(core, run, task, &minion, EventKind::TaskResent);
        }
        note(core, run, task, &minion, EventKind::TaskSent);
        match send(core, run, task, &minion).await {
            Sent::Answered(body) => {
                let run_time = core.now().micros_since(started);
                core.notes
                    .metrics
                    .time(Timing::TaskRun, Duration::from_micros(run_time));
                let learned = Millis(run_time / 1000);
                let times = &core.dispatch.times;
                times.record(&run.spec.service, &run.spec.team, learned);
                held.finish(Finish::Answered { run: run_time }, core.now());
                note(core, run, task, &minion, EventKind::TaskAnswered);
                return Ok(body);
            }
            Sent::Failed => {
                held.finish(Finish::TaskFailed, core.now());
                note(core, run, task, &minion, EventKind::TaskFailed);
                return Err(Reason::TaskFailed(task.id.clone()));
            }
            Sent::Lost => {
                held.finish(Finish::Lost, core.now());
                core.minions.close_idle(minion.addr);
                note(core, run, task, &minion, EventKind::TaskLost);
                return Err(lost(run, task));
            }
            Sent::NotStarted => {
                run.clear_task(at);
                held.finish(Finish::NotStarted, core.now());
                note(core, run, task, &minion, EventKind::TaskNotStarted);
            }
        }
        if avoid.len() == AVOID {
            avoid.remove(0);
        }
        avoid.push(minion.id);
        if !core.dispatch.retries.try_retry() {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }
}

/// Tells why a task that was sent got no answer. No answer by the deadline says
/// nothing of the connection.
fn lost(run: &Run, task: &TaskSpec) -> Reason {
    match Instant::now() >= run.until {
        true => Reason::Deadline,
        false => Reason::ConnectionLost(task.id.clone()),
    }
}

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

/// A task at a minion. Dropped before its answer it counts as cancelled, since
/// its connection is closed then.
struct Flight<'a> {
    /// Where it is counted, until the answer has come.
    metrics: Option<&'a Metrics>,
}

impl Flight<'_> {
    fn land(mut self) {
        self.metrics = None;
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if let Some(metrics) = self.metrics {
            metrics.add(Count::WasteCancel, 1);
        }
    }
}

async fn send<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    task: &TaskSpec,
    minion: &MinionInfo,
) -> Sent {
    let left = run.until.saturating_duration_since(Instant::now());
    let Some(req) = request(core, run, task, left) else {
        return Sent::NotStarted;
    };
    let flight = Flight {
        metrics: Some(&core.notes.metrics),
    };
    let call = core.minions.call(minion.addr, req, left);
    let answer = watch(core, run, task, minion, call).await;
    flight.land();
    judge(answer)
}

/// Waits for an answer. A task that takes far longer than usual may be on a
/// connection that has gone silent, so the idle ones beside it are not used
/// any more. The task itself is waited for, as it may well be running.
async fn watch<C: Connect, P: Policy>(
    core: &Core<C, P>,
    run: &Run,
    task: &TaskSpec,
    minion: &MinionInfo,
    call: impl Future<Output = Result<Reply, CallError>>,
) -> Result<Reply, CallError> {
    let (service, team) = (&run.spec.service, &run.spec.team);
    let times = &core.dispatch.times;
    let usual = times.quantile(service, team, LONG, task.declared);
    let overdue = OVERDUE_MIN.max(usual.duration() * OVERDUE_FACTOR);
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

/// Only a connection that never carried the task, or the minion's own word,
/// proves that the task did not start.
fn judge(answer: Result<Reply, CallError>) -> Sent {
    match answer {
        Ok(reply) if reply.status == StatusCode::OK => Sent::Answered(reply.body),
        Ok(reply) if never_started(&reply) => Sent::NotStarted,
        Ok(_) => Sent::Failed,
        Err(e) if e.maybe_sent() => Sent::Lost,
        Err(_) => Sent::NotStarted,
    }
}

fn never_started(reply: &Reply) -> bool {
    let said = reply.headers.get(wire::STARTED_HEADER);
    reply.status == StatusCode::SERVICE_UNAVAILABLE && said.is_some_and(|v| v == "no")
}
