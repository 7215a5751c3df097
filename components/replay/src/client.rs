//! The stand-in caller: it submits jobs over HTTP, resubmits what is lost under
//! the same key, and checks that each answer is whole and its own.

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

use crate::book::{Book, End};
use crate::doors::{Door, Doors};
use crate::trace::{Answer, Submit, Task};

/// How long past the deadline a caller waits for one answer.
const ATTEMPT_GRACE: Duration = Duration::from_secs(1);

/// How long past the deadline a caller goes on resubmitting.
const GRACE: Duration = Duration::from_secs(6);

/// The least time that one attempt gets.
const ATTEMPT_LEAST: Duration = Duration::from_millis(500);

/// The pause before the next VM is tried.
const PAUSE: Duration = Duration::from_millis(10);

/// The longest pause that a VM may ask for.
const PAUSE_MOST: Duration = Duration::from_millis(200);

/// The wait for an answer to anything but a submission.
const SHORT_WAIT: Duration = Duration::from_secs(2);

/// How an outcome is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Word {
    Complete,
    Failed,
    Refused,
    Running,
    Unknown,
}

/// An outcome as a VM writes it.
#[derive(Debug, Deserialize)]
struct OutcomeBody {
    outcome: Word,
    #[serde(default)]
    answers: Vec<AnswerBody>,
    #[serde(default)]
    ran: CompactString,
    #[serde(default)]
    reason: CompactString,
    retry_after_ms: Option<u64>,
}

/// One task's answer as a VM writes it.
#[derive(Debug, Deserialize)]
struct AnswerBody {
    id: CompactString,
    answer: serde_json::Value,
}

/// Tickets as a VM writes them.
#[derive(Debug, Deserialize)]
struct TicketsBody {
    tickets: Vec<CompactString>,
}

/// What a caller does after an attempt.
enum Next {
    /// It has the answer.
    Done(Answer),
    /// It tries again after the pause; this is the answer if nothing better
    /// comes.
    Again(Duration, Option<Answer>),
}

/// A cloneable stand-in for all callers.
#[derive(Clone)]
pub struct Caller {
    /// Carries the requests.
    client: Client<Net>,
    /// The VMs.
    doors: Doors,
    /// Where everything is recorded.
    book: Book,
}

impl Caller {
    /// Makes a caller.
    pub fn new(net: Net, doors: Doors, book: Book) -> Caller {
        Caller {
            client: Client::new(net, PoolLimits::default()),
            doors,
            book,
        }
    }

    /// Gets a ticket, from the VM picked or else from the next live one.
    pub async fn ticket(&self, via: &VmId) -> Option<CompactString> {
        let path = "/v1/tickets?count=1";
        let body: TicketsBody = self.ask(Method::POST, path, via).await?;
        body.tickets.into_iter().next()
    }

    /// Cancels a job through the VM picked or else through the next live one.
    pub async fn cancel(&self, key: &str, via: &VmId) {
        let path = format_compact!("/v1/jobs/{key}");
        let _: Option<OutcomeBody> = self.ask(Method::DELETE, &path, via).await;
    }

    /// Looks up the outcome of a job that nobody waits for.
    pub async fn look_up(&self, key: &str, via: &VmId) -> Option<Answer> {
        let path = format_compact!("/v1/jobs/{key}");
        let body: OutcomeBody = self.ask(Method::GET, &path, via).await?;
        body.answer()
    }

    async fn ask<T: DeserializeOwned>(&self, method: Method, path: &str, via: &VmId) -> Option<T> {
        for door in self.doors.order(via) {
            let req = request(method.clone(), path, Bytes::new())?;
            let reply = self.client.call(door.addr, req, SHORT_WAIT).await;
            let body = reply.ok().map(|r| serde_json::from_slice(&r.body));
            if let Some(Ok(body)) = body {
                return Some(body);
            }
        }
        None
    }

    /// Submits a job and sees it to its answer. Dropping the future hangs up.
    pub async fn submit(&self, n: usize, submit: &Submit, key: &str) {
        self.book.change(n, |s| s.key = key.into());
        let begin = Instant::now();
        let deadline = Duration::from_millis(submit.deadline_ms);
        let mut fallback = None;
        let mut turn = 0;
        while begin.elapsed() < deadline + GRACE {
            let doors = self.doors.order(&submit.via);
            let Some(door) = doors.get(turn % doors.len().max(1)) else {
                break;
            };
            let left = (deadline + ATTEMPT_GRACE).saturating_sub(begin.elapsed());
            let wait = left.max(ATTEMPT_LEAST);
            match self.attempt(n, door, submit, key, wait).await {
                Next::Done(answer) => return self.book.answer(n, answer),
                Next::Again(pause, told) => {
                    fallback = told.or(fallback);
                    tokio::time::sleep(pause).await;
                }
            }
            turn += 1;
        }
        if let Some(answer) = fallback {
            self.book.answer(n, answer);
        }
    }

    async fn attempt(
        &self,
        n: usize,
        door: &Door,
        submit: &Submit,
        key: &str,
        wait: Duration,
    ) -> Next {
        let Some(req) = job_request(submit, key) else {
            return Next::Again(PAUSE, None);
        };
        self.book.send(n, &door.vm);
        let reply = match self.client.call(door.addr, req, wait).await {
            Ok(reply) => reply,
            Err(e) => {
                let end = match e.maybe_sent() {
                    true => End::Lost,
                    false => End::Refused,
                };
                self.book.end(n, end);
                return Next::Again(PAUSE, None);
            }
        };
        let Ok(body) = serde_json::from_slice::<OutcomeBody>(&reply.body) else {
            self.book.end(n, End::Lost);
            return Next::Again(PAUSE, None);
        };
        self.told(n, submit, key, &body)
    }

    fn told(&self, n: usize, submit: &Submit, key: &str, body: &OutcomeBody) -> Next {
        let reason = body.reason.clone();
        let Some(answer) = body.answer() else {
            self.book.end(n, End::Unknown(reason));
            return match body.retry_after_ms {
                Some(ms) => Next::Again(pause(ms), Some(Answer::Failed)),
                // The VM will never know better, so that the job may have run.
                None => Next::Done(Answer::Failed),
            };
        };
        self.book.end(n, End::Told(answer, reason));
        if answer == Answer::Complete {
            self.check(n, submit, key, &body.answers);
        }
        match body.elsewhere() {
            true => Next::Again(PAUSE, Some(answer)),
            false => Next::Done(answer),
        }
    }

    fn check(&self, n: usize, submit: &Submit, key: &str, answers: &[AnswerBody]) {
        let partial = answers.len() < submit.tasks.len();
        let own = |(i, a): (usize, &AnswerBody)| a.is_of(key, i);
        let wrong = answers.len() > submit.tasks.len() || !answers.iter().enumerate().all(own);
        self.book.change(n, |s| {
            s.partial = partial;
            s.wrong = wrong;
        });
    }
}

impl OutcomeBody {
    /// Returns the answer, unless the VM could not tell.
    fn answer(&self) -> Option<Answer> {
        match self.outcome {
            Word::Complete => Some(Answer::Complete),
            Word::Failed | Word::Refused if self.ran == "no" => Some(Answer::NotRun),
            Word::Failed | Word::Refused => Some(Answer::Failed),
            Word::Running | Word::Unknown => None,
        }
    }

    /// Tells whether another VM may take what this one did not run.
    fn elsewhere(&self) -> bool {
        self.ran == "no" && matches!(self.reason.as_str(), "stopping" | "not_ready")
    }
}

impl AnswerBody {
    fn is_of(&self, key: &str, index: usize) -> bool {
        let id = format_compact!("{index}");
        let reply = TaskReply::deserialize(&self.answer);
        let own = reply.is_ok_and(|r| r.job == key && r.task == id);
        own && self.id == id
    }
}

fn pause(ms: u64) -> Duration {
    Millis(ms).duration().clamp(PAUSE, PAUSE_MOST)
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
