//! The stand-in caller. It submits jobs over HTTP, resubmits them under the same
//! key when answers are lost, and checks that each answer is complete and belongs
//! to its job.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::Full;
use hyper::{Method, Request};
use kernel::{Millis, VmId};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use standins::{Net, TaskReply};
use wire::{Client, PoolLimits};

use crate::backends::{Backend, Backends};
use crate::submissions::{End, SubmissionLog};
use crate::trace::{Answer, Submit, Task};

/// Time after the deadline for which a caller waits for the answer to one attempt.
const ATTEMPT_GRACE: Duration = Duration::from_secs(1);

/// Time after the deadline for which a caller goes on resubmitting.
const RETRY_GRACE: Duration = Duration::from_secs(6);

/// Shortest timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest pause before the next attempt.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause before the next attempt, whatever the VM asks for.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of all requests except submissions.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The kind of an outcome, as VMs name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum OutcomeKind {
    Complete,
    Failed,
    Refused,
    Running,
    Unknown,
}

/// The body of a VM's response about a job.
#[derive(Debug, Deserialize)]
struct OutcomeBody {
    outcome: OutcomeKind,
    #[serde(default)]
    answers: Vec<AnswerBody>,
    #[serde(default)]
    ran: CompactString,
    #[serde(default)]
    reason: CompactString,
    retry_after_ms: Option<u64>,
}

/// The answer of one task in an [`OutcomeBody`].
#[derive(Debug, Deserialize)]
struct AnswerBody {
    id: CompactString,
    answer: serde_json::Value,
}

/// The body of a VM's response to a request for tickets.
#[derive(Debug, Deserialize)]
struct TicketsBody {
    tickets: Vec<CompactString>,
}

/// The caller's next step after an attempt.
enum NextStep {
    /// The caller has the final answer.
    Done(Answer),
    /// The caller tries again after the pause. The answer, if any, counts if no
    /// later attempt gets one.
    Retry(Duration, Option<Answer>),
}

/// A stand-in for all callers. Clones share the same state.
#[derive(Clone)]
pub struct Caller {
    /// HTTP client for all requests.
    client: Client<Net>,
    /// VMs to which requests are sent.
    backends: Backends,
    /// Log of all submissions and answers.
    submissions: SubmissionLog,
}

impl Caller {
    /// Creates a caller.
    pub fn new(net: Net, backends: Backends, submissions: SubmissionLog) -> Caller {
        Caller {
            client: Client::new(net, PoolLimits::default()),
            backends,
            submissions,
        }
    }

    /// Requests a ticket from `via`, or from the next VM if that fails.
    pub async fn ticket(&self, via: &VmId) -> Option<CompactString> {
        let path = "/v1/tickets?count=1";
        let body: TicketsBody = self.request_any(Method::POST, path, via).await?;
        body.tickets.into_iter().next()
    }

    /// Cancels a job through `via`, or through the next VM if that fails.
    pub async fn cancel(&self, key: &str, via: &VmId) {
        let path = format_compact!("/v1/jobs/{key}");
        let _: Option<OutcomeBody> = self.request_any(Method::DELETE, &path, via).await;
    }

    /// Requests the outcome of a job that no caller waits for.
    pub async fn job_answer(&self, key: &str, via: &VmId) -> Option<Answer> {
        let path = format_compact!("/v1/jobs/{key}");
        let body: OutcomeBody = self.request_any(Method::GET, &path, via).await?;
        body.answer()
    }

    async fn request_any<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        via: &VmId,
    ) -> Option<T> {
        for backend in self.backends.ordered_from(via) {
            let req = request(method.clone(), path, Bytes::new())?;
            let reply = self.client.call(backend.addr, req, REQUEST_TIMEOUT).await;
            let body = reply.ok().map(|r| serde_json::from_slice(&r.body));
            if let Some(Ok(body)) = body {
                return Some(body);
            }
        }
        None
    }

    /// Submits a job and retries until there is a final answer or the time is up.
    /// Dropping the future drops the connection.
    pub async fn submit(&self, n: usize, submit: &Submit, key: &str) {
        self.submissions.update(n, |s| s.key = key.into());
        let begin = Instant::now();
        let deadline = Duration::from_millis(submit.deadline_ms);
        let mut fallback = None;
        let mut attempts = 0;
        while begin.elapsed() < deadline + RETRY_GRACE {
            let backends = self.backends.ordered_from(&submit.via);
            let Some(backend) = backends.get(attempts % backends.len().max(1)) else {
                break;
            };
            let remaining = (deadline + ATTEMPT_GRACE).saturating_sub(begin.elapsed());
            let timeout = remaining.max(MIN_ATTEMPT_TIMEOUT);
            match self.attempt(n, backend, submit, key, timeout).await {
                NextStep::Done(answer) => return self.submissions.set_answer(n, answer),
                NextStep::Retry(pause, answer) => {
                    fallback = answer.or(fallback);
                    tokio::time::sleep(pause).await;
                }
            }
            attempts += 1;
        }
        if let Some(answer) = fallback {
            self.submissions.set_answer(n, answer);
        }
    }

    async fn attempt(
        &self,
        n: usize,
        backend: &Backend,
        submit: &Submit,
        key: &str,
        timeout: Duration,
    ) -> NextStep {
        let Some(req) = job_request(submit, key) else {
            return NextStep::Retry(MIN_PAUSE, None);
        };
        self.submissions.start_attempt(n, &backend.vm);
        let reply = match self.client.call(backend.addr, req, timeout).await {
            Ok(reply) => reply,
            Err(e) => {
                let end = match e.maybe_sent() {
                    true => End::Lost,
                    false => End::Refused,
                };
                self.submissions.end_attempt(n, end);
                return NextStep::Retry(MIN_PAUSE, None);
            }
        };
        let Ok(body) = serde_json::from_slice::<OutcomeBody>(&reply.body) else {
            self.submissions.end_attempt(n, End::Lost);
            return NextStep::Retry(MIN_PAUSE, None);
        };
        self.handle_outcome(n, submit, key, &body)
    }

    fn handle_outcome(&self, n: usize, submit: &Submit, key: &str, body: &OutcomeBody) -> NextStep {
        let reason = body.reason.clone();
        let Some(answer) = body.answer() else {
            self.submissions.end_attempt(n, End::Unknown(reason));
            return match body.retry_after_ms {
                Some(ms) => NextStep::Retry(retry_pause(ms), Some(Answer::Failed)),
                // Without a retry time the VM will never know the outcome, so the job
                // may have run.
                None => NextStep::Done(Answer::Failed),
            };
        };
        self.submissions.end_attempt(n, End::Told(answer, reason));
        if answer == Answer::Complete {
            self.check_answers(n, submit, key, &body.answers);
        }
        match body.can_run_elsewhere() {
            true => NextStep::Retry(MIN_PAUSE, Some(answer)),
            false => NextStep::Done(answer),
        }
    }

    fn check_answers(&self, n: usize, submit: &Submit, key: &str, answers: &[AnswerBody]) {
        let partial = answers.len() < submit.tasks.len();
        let matches_task = |(i, a): (usize, &AnswerBody)| a.is_of(key, i);
        let wrong =
            answers.len() > submit.tasks.len() || !answers.iter().enumerate().all(matches_task);
        self.submissions.update(n, |s| {
            s.partial = partial;
            s.wrong = wrong;
        });
    }
}

impl OutcomeBody {
    /// Returns the answer; `None` if the VM doesn't know the outcome.
    fn answer(&self) -> Option<Answer> {
        match self.outcome {
            OutcomeKind::Complete => Some(Answer::Complete),
            OutcomeKind::Failed | OutcomeKind::Refused if self.ran == "no" => Some(Answer::NotRun),
            OutcomeKind::Failed | OutcomeKind::Refused => Some(Answer::Failed),
            OutcomeKind::Running | OutcomeKind::Unknown => None,
        }
    }

    /// Returns whether the job did not run for a reason that concerns only this
    /// VM, so that another VM may run it.
    fn can_run_elsewhere(&self) -> bool {
        self.ran == "no" && matches!(self.reason.as_str(), "stopping" | "not_ready")
    }
}

impl AnswerBody {
    fn is_of(&self, key: &str, index: usize) -> bool {
        let id = format_compact!("{index}");
        let reply = TaskReply::deserialize(&self.answer);
        let matches_reply = reply.is_ok_and(|r| r.job == key && r.task == id);
        matches_reply && self.id == id
    }
}

fn retry_pause(ms: u64) -> Duration {
    Millis(ms).duration().clamp(MIN_PAUSE, MAX_PAUSE)
}

fn request(method: Method, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let head = Request::builder().method(method).uri(path);
    head.header("host", "vm").body(Full::new(body)).ok()
}

fn job_request(submit: &Submit, key: &str) -> Option<Request<Full<Bytes>>> {
    let tasks: Vec<_> = submit.tasks.iter().enumerate().map(task_json).collect();
    let body = json!({
        "team": submit.team,
        "service": submit.service,
        "idempotent": submit.idempotent,
        "deadline_ms": submit.deadline_ms,
        "tasks": tasks,
    });
    let mut req = request(Method::POST, "/v1/jobs", Bytes::from(body.to_string()))?;
    let value = key.parse().ok()?;
    req.headers_mut().insert("idempotency-key", value);
    Some(req)
}

fn task_json((index, task): (usize, &Task)) -> serde_json::Value {
    let mut value = json!({
        "id": format_compact!("{index}"),
        "payload": {"run_ms": task.run_ms, "fails": task.fails},
    });
    if let Some(ms) = task.declared_ms {
        value["declared_ms"] = ms.into();
    }
    if let Some(needs) = task.needs {
        value["cores"] = needs.cores.0.into();
    }
    value
}
