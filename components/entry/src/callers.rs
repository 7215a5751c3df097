//! The interface for callers: submissions, lookups, cancellations and tickets,
//! as well as the requests of balancers and operators.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use jobs::{JobSpec, Outcome, Reason};
use kernel::{JobKey, Millis, Ticket};
use metrics::Count;
use routing::Policy;
use serde::Serialize;
use wire::{BodyError, Connect, Handler, RequestBody, Reservation};

use crate::api::{self, BadRequest};
use crate::core::{Core, Stage};
use crate::lookup::{self, LookupResult};
use crate::status;
use crate::submit::submit;

/// Path for submitting, looking up and cancelling jobs.
const JOBS_PATH: &str = "/v1/jobs";

/// Path for minting tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// Maximum number of tickets minted by one request.
const MAX_TICKETS: u64 = 1000;

/// Delay after which a caller should retry whose body found the memory spent. Bodies that
/// others send are given up within seconds.
const MEMORY_RETRY: Millis = Millis(1_000);

/// Serves the requests of callers.
pub struct CallerServer<C: Connect, P: Policy> {
    /// Shared state of the VM.
    pub core: Arc<Core<C, P>>,
}

impl<C: Connect, P: Policy> Clone for CallerServer<C, P> {
    fn clone(&self) -> Self {
        CallerServer {
            core: self.core.clone(),
        }
    }
}

impl<C: Connect, P: Policy> Handler for CallerServer<C, P> {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let mut res = self.route(req).await;
        if self.core.stage() != Stage::Serving {
            // Callers with kept-alive connections open the next one through
            // the balancer, which picks another VM.
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert("connection", close);
        }
        res
    }
}

impl<C: Connect, P: Policy> CallerServer<C, P> {
    async fn route(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, JOBS_PATH) => self.submit(req).await,
            (&Method::POST, TICKETS_PATH) => self.tickets(&query),
            (&Method::GET, "/live") => api::empty(StatusCode::OK),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/v1/status") => api::json(StatusCode::OK, &status::read(&self.core)),
            (&Method::GET, "/v1/timeline") => self.timeline(&query),
            (method, _) => match path.strip_prefix("/v1/jobs/") {
                Some(key) => self.one_job(method, key).await,
                None => api::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn submit(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        // The job's payloads take the place of its body.
        let (spec, _memory) = match self.read_job(req).await {
            Ok(read) => read,
            Err(ReadError::Bad(bad)) => return self.refuse(&bad),
            Err(ReadError::NoMemory(key)) => {
                let refused = Outcome::not_run(Reason::Overloaded);
                return api::write_outcome(&key, &refused, MEMORY_RETRY);
            }
        };
        let key = spec.key.clone();
        let retry = spec.clone();
        let outcome = submit(&self.core, spec).await;
        let after = self.core.retry_after(&retry);
        api::write_outcome(&key, &outcome, after)
    }

    async fn read_job(
        &self,
        req: Request<RequestBody>,
    ) -> Result<(JobSpec, Reservation), ReadError> {
        let limits = &self.core.cfg.jobs;
        let key = api::read_key(req.headers())?;
        let wait = limits.body_wait.duration();
        let body = req.into_body().read(limits.body_size, wait).await;
        let body = match body {
            Ok(body) => body,
            Err(BodyError::NoMemory) => return Err(ReadError::NoMemory(key)),
            Err(e) => {
                return Err(ReadError::Bad(BadRequest {
                    status: body_status(e),
                    ..BadRequest::new("body", e)
                }));
            }
        };
        let spec = api::read_job(key, &body, limits)?;
        Ok((spec, body.into_reservation()))
    }

    async fn one_job(&self, method: &Method, key: &str) -> Response<Full<Bytes>> {
        let key: JobKey = match key.parse() {
            Ok(key) => key,
            Err(e) => return self.refuse(&BadRequest::new("key", e)),
        };
        let found = match *method {
            Method::GET => lookup::find(&self.core, &key).await,
            Method::DELETE => lookup::cancel(&self.core, &key).await,
            _ => return api::empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        write_found(&key, &found)
    }

    fn tickets(&self, query: &str) -> Response<Full<Bytes>> {
        let count = match read_count(query) {
            Ok(count) => count,
            Err(bad) => return self.refuse(&bad),
        };
        if !self.core.ready() {
            return api::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let tickets = self.core.windows.mint(count);
        api::json(StatusCode::OK, &TicketsBody::new(&tickets))
    }

    /// Counts a malformed request and returns the response that explains it.
    fn refuse(&self, bad: &BadRequest) -> Response<Full<Bytes>> {
        self.core.notes.metrics.add(Count::RequestRefused, 1);
        api::write_bad(bad)
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.core.ready() {
            true => api::empty(StatusCode::OK),
            false => api::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn timeline(&self, query: &str) -> Response<Full<Bytes>> {
        match query.parse::<timeline::Filter>() {
            Ok(filter) => api::json(StatusCode::OK, &self.core.notes.recorder.read(&filter)),
            Err(e) => self.refuse(&BadRequest::new("query", e)),
        }
    }
}

/// Why a job was not read.
enum ReadError {
    /// The request is malformed.
    Bad(BadRequest),
    /// The memory for bodies is spent.
    NoMemory(JobKey),
}

impl From<BadRequest> for ReadError {
    fn from(bad: BadRequest) -> ReadError {
        ReadError::Bad(bad)
    }
}

fn body_status(e: BodyError) -> StatusCode {
    match e {
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn read_count(query: &str) -> Result<u64, BadRequest> {
    let Some(text) = query.strip_prefix("count=") else {
        return Err(BadRequest::new("count", "the number of tickets"));
    };
    match text.parse() {
        Ok(count) if (1..=MAX_TICKETS).contains(&count) => Ok(count),
        _ => Err(BadRequest::new("count", "a number from 1 to 1000")),
    }
}

/// Response body with minted tickets.
#[derive(Serialize)]
struct TicketsBody {
    tickets: Vec<String>,
}

impl TicketsBody {
    fn new(tickets: &[Ticket]) -> TicketsBody {
        TicketsBody {
            tickets: tickets.iter().map(Ticket::to_string).collect(),
        }
    }
}

/// Response body of a job that has not ended.
#[derive(Serialize)]
struct RunningBody<'a> {
    outcome: &'static str,
    key: &'a JobKey,
}

fn write_found(key: &JobKey, found: &LookupResult) -> Response<Full<Bytes>> {
    match found {
        LookupResult::Ended(outcome) => api::write_outcome(key, outcome, crate::core::RETRY_AFTER),
        LookupResult::Running => api::json(
            StatusCode::ACCEPTED,
            &RunningBody {
                outcome: "running",
                key,
            },
        ),
        LookupResult::Unknown => {
            let unknown = Outcome::Unknown(Reason::UnknownJob);
            api::write_outcome(key, &unknown, crate::core::RETRY_AFTER)
        }
    }
}
