//! The callers' interface in JSON (docs/API.md).

use std::fmt;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use jobs::{JobError, JobSpec, Outcome, Ran, Reason, TaskSpec};
use kernel::{Cores, JobKey, Millis, Service, TaskId, Team};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_path_to_error::Segment;

use crate::config::JobLimits;

/// Header that holds the job's key.
pub const KEY_HEADER: &str = "idempotency-key";

/// A task in a submission. Required fields are optional here, so that the error
/// can name a missing one.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody {
    #[serde(default)]
    id: Option<TaskId>,
    #[serde(default)]
    payload: Option<Box<RawValue>>,
    #[serde(default)]
    declared_ms: Option<u64>,
    #[serde(default)]
    cores: Option<u32>,
}

/// A submission, with required fields optional as in [`TaskBody`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    #[serde(default)]
    team: Option<Team>,
    #[serde(default)]
    service: Option<Service>,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    tasks: Option<Vec<TaskBody>>,
}

/// Error in a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Header or field with the error.
    pub field: CompactString,
    /// Description of the expected value.
    pub expected: CompactString,
}

impl BadRequest {
    /// Creates an error with status 400 for a field.
    pub fn new(field: &str, expected: impl fmt::Display) -> BadRequest {
        BadRequest {
            status: StatusCode::BAD_REQUEST,
            field: field.into(),
            expected: format_compact!("{expected}"),
        }
    }
}

/// Reads the job's key from its header.
///
/// # Errors
///
/// Fails if the key is missing, given twice or malformed.
pub fn read_key(headers: &HeaderMap) -> Result<JobKey, BadRequest> {
    let mut given = headers.get_all(KEY_HEADER).iter();
    let Some(value) = given.next() else {
        return Err(BadRequest::new("Idempotency-Key", "a key or a ticket"));
    };
    if given.next().is_some() {
        return Err(BadRequest::new("Idempotency-Key", "one header only"));
    }
    let Ok(text) = value.to_str() else {
        return Err(BadRequest::new("Idempotency-Key", "visible ASCII"));
    };
    text.parse()
        .map_err(|e| BadRequest::new("Idempotency-Key", e))
}

/// Reads a job from a submission's body.
///
/// # Errors
///
/// Fails with the first field that has an error and the value expected there.
pub fn read_job(key: JobKey, body: &[u8], limits: &JobLimits) -> Result<JobSpec, BadRequest> {
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(BadRequest::new("body", "a JSON object"));
    }
    let mut reader = serde_json::Deserializer::from_slice(body);
    let job: JobBody = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| BadRequest::new(&field_at(e.path()), e.inner()))?;
    reader.end().map_err(|e| BadRequest::new("body", e))?;
    let spec = JobSpec {
        key,
        team: given("team", job.team)?,
        service: given("service", job.service)?,
        idempotent: job.idempotent,
        deadline: Millis(given("deadline_ms", job.deadline_ms)?),
        tasks: read_tasks(given("tasks", job.tasks)?)?,
    };
    if spec.deadline > limits.deadline {
        let most = format_compact!("at most {}", limits.deadline);
        return Err(BadRequest::new("deadline_ms", most));
    }
    spec.check().map_err(|e| BadRequest::new(field_of(&e), e))?;
    Ok(spec)
}

/// Returns the field of an error, or `body` if it is outside all fields.
fn field_at(path: &serde_path_to_error::Path) -> String {
    match path.iter().next() {
        None | Some(Segment::Unknown) => "body".to_owned(),
        Some(_) => path.to_string(),
    }
}

fn field_of(error: &JobError) -> &'static str {
    match error {
        JobError::Count(_) | JobError::Duplicate(_) => "tasks",
        JobError::Deadline => "deadline_ms",
    }
}

fn given<T>(field: &str, value: Option<T>) -> Result<T, BadRequest> {
    value.ok_or_else(|| BadRequest::new(field, "a value, as the field is required"))
}

fn read_tasks(tasks: Vec<TaskBody>) -> Result<Vec<TaskSpec>, BadRequest> {
    let numbered = tasks.into_iter().enumerate();
    numbered.map(|(i, task)| read_task(i, task)).collect()
}

fn read_task(i: usize, task: TaskBody) -> Result<TaskSpec, BadRequest> {
    let payload = task
        .payload
        .map(|p| Bytes::from(String::from(Box::<str>::from(p))));
    let id = task.id.ok_or_else(|| {
        let field = format_compact!("tasks[{i}].id");
        BadRequest::new(&field, "a value, as the field is required")
    })?;
    Ok(TaskSpec {
        id,
        payload: payload.unwrap_or_else(|| Bytes::from_static(b"null")),
        declared: task.declared_ms.map(Millis),
        cores: Cores(task.cores.unwrap_or(1)),
    })
}

/// The answer to one task in the response to a complete job.
#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a TaskId,
    answer: AnswerValue<'a>,
}

/// A minion's answer: unchanged if it is JSON, otherwise as text.
#[derive(Serialize)]
#[serde(untagged)]
enum AnswerValue<'a> {
    Json(&'a RawValue),
    Text(std::borrow::Cow<'a, str>),
}

/// Response body with a job's outcome.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    outcome: &'static str,
    key: &'a JobKey,
    #[serde(skip_serializing_if = "Option::is_none")]
    answers: Option<Vec<AnswerBody<'a>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ran: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    task: Option<&'a TaskId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the response with a job's outcome.
pub fn write_outcome(key: &JobKey, outcome: &Outcome, retry: Millis) -> Response<Full<Bytes>> {
    let (name, ran, reason) = match outcome {
        Outcome::Complete(_) => ("complete", None, None),
        Outcome::Failed { ran, reason } => ("failed", Some(ran_name(*ran)), Some(reason)),
        Outcome::Unknown(reason) => ("unknown", None, Some(reason)),
    };
    let answers = match outcome {
        Outcome::Complete(answers) => Some(answers.iter().map(write_answer).collect()),
        _ => None,
    };
    let retryable = reason.is_some_and(Reason::is_temporary);
    let body = OutcomeBody {
        outcome: name,
        key,
        answers,
        ran,
        reason: reason.map(Reason::as_str),
        task: reason.and_then(Reason::task),
        retry_after_ms: retryable.then_some(retry.0),
    };
    let mut res = json(status_of(outcome), &body);
    if retryable {
        set_retry_after(&mut res, retry);
    }
    res
}

fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Maybe => "maybe",
    }
}

fn write_answer(answer: &jobs::TaskAnswer) -> AnswerBody<'_> {
    let value = match serde_json::from_slice(&answer.body) {
        Ok(raw) => AnswerValue::Json(raw),
        Err(_) => AnswerValue::Text(String::from_utf8_lossy(&answer.body)),
    };
    AnswerBody {
        id: &answer.id,
        answer: value,
    }
}

fn status_of(outcome: &Outcome) -> StatusCode {
    let reason = match outcome {
        Outcome::Complete(_) => return StatusCode::OK,
        Outcome::Failed { reason, .. } | Outcome::Unknown(reason) => reason,
    };
    match reason {
        Reason::TaskFailed(_) | Reason::ConnectionLost(_) | Reason::OwnerGone => {
            StatusCode::BAD_GATEWAY
        }
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Cancelled => StatusCode::CONFLICT,
        Reason::Quota => StatusCode::TOO_MANY_REQUESTS,
        Reason::UnknownService | Reason::TooLarge(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Forgotten => StatusCode::GONE,
        Reason::NeverMinted | Reason::UnknownJob => StatusCode::NOT_FOUND,
        Reason::Overloaded
        | Reason::NoMinion
        | Reason::LogAway
        | Reason::Stopping
        | Reason::NotReady
        | Reason::OwnerAway => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Response body of a refused request.
#[derive(Serialize)]
struct RefusedBody<'a> {
    outcome: &'static str,
    ran: &'static str,
    reason: &'static str,
    field: &'a str,
    expected: &'a str,
}

/// Returns the response to a request with an error.
pub fn write_bad(bad: &BadRequest) -> Response<Full<Bytes>> {
    json(
        bad.status,
        &RefusedBody {
            outcome: "refused",
            ran: "no",
            reason: "bad_request",
            field: &bad.field,
            expected: &bad.expected,
        },
    )
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut res = Response::new(Full::from(bytes));
    *res.status_mut() = status;
    res.headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    res
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Sets the `retry-after` header, which HTTP defines in whole seconds.
fn set_retry_after(res: &mut Response<Full<Bytes>>, retry: Millis) {
    let seconds = retry.0.div_ceil(1000).max(1);
    res.headers_mut()
        .insert("retry-after", HeaderValue::from(seconds));
}
