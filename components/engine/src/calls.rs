//! Calls between VMs: jobs, handovers, the configuration, the evacuations and the
//! register.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use kernel::{Millis, Timestamp};
use metrics::Count;
use ownership::{CallId, SentAt, Shard};
use schedule::{CrashRecord, JobId, JobSpec, Load, MinionInfo, Outcome, Transfer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::{CallError, CodecError, Handler, Reply, RequestBody, decode, encode};

use crate::control::Minions;
use crate::core::Core;
use crate::evacuation::Evacuations;
use crate::here::Origin;
use crate::model::Configuration;
use crate::{crashes, handover, here, owned};

/// Path of calls that run a job on an owned shard.
const JOBS: &str = "/v1/jobs";

/// Path of calls that hand a shard over.
const SHARDS: &str = "/v1/shards";

/// Path of calls that read the configuration.
const CONFIGURATION: &str = "/v1/configuration";

/// Path of calls that read the state of evacuations.
const EVACUATIONS: &str = "/v1/evacuations";

/// Path of calls that read the register of minions.
const REGISTER: &str = "/v1/register";

/// Maximum size of a message between VMs in bytes. The largest messages hand
/// over a shard with its jobs.
const MAX_MESSAGE: usize = 16 << 20;

/// Time within which a message must have arrived.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Age from which a call between VMs is no longer accepted. It is below the lease of
/// the job that the call may bring.
pub(crate) const MAX_CALL_AGE: Millis = Millis(800);

/// Size of a call's headers in bytes.
const HEAD_BYTES: usize = 100;

/// A call to the owner of a shard that concerns a job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobCall {
    /// Shard that the job runs on.
    pub shard: Shard,
    /// VM that took the job from its caller.
    pub from: SocketAddr,
    /// Action requested of the owner.
    #[serde(rename = "ask")]
    pub action: JobAction,
    /// Losses under the job's tasks, as the owner may have started after them.
    #[serde(default)]
    pub crashes: Vec<CrashRecord>,
    /// Time at which the call was sent, as far as its sender can tell.
    #[serde(default)]
    pub sent: Option<SentAt>,
    /// Id of the call, by which heartbeats of its sender list it.
    #[serde(default)]
    pub call: Option<CallId>,
}

/// An action requested of a shard's owner.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum JobAction {
    /// Run the job and return its outcome.
    Run(JobSpec),
    /// Return the outcome of a job that was handed over to this owner.
    Resume(JobId),
}

/// The owner's answer to a [`JobCall`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum JobReply {
    /// The job has ended with this outcome.
    Ended(Outcome),
    /// The job continues on another VM, the new owner of the shard.
    Moved(SocketAddr),
    /// The shard has another owner. The job was not run.
    NotOwner,
    /// The job was not admitted.
    Refused {
        /// Time until capacity is expected to be free.
        retry: Millis,
        /// Present load of the shard, for the choice of the next offer.
        load: Load,
    },
    /// The call may have been on its way for too long. The job was not run. A call
    /// sent now has this time of sending.
    Late(SentAt),
}

/// The next owner's answer to a [`Handover`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum HandoverReply {
    /// The VM owns the shard, or did already.
    Accepted,
    /// The handover may have been on its way for too long and was not accepted. One
    /// sent now has this time of sending.
    Late(SentAt),
}

/// The state of a shard that is handed over to its next owner.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Handover {
    /// Shard that is handed over.
    pub shard: Shard,
    /// Owner that gives the shard up.
    pub from: SocketAddr,
    /// Jobs and minions of the shard.
    pub state: Transfer,
    /// The VM that took each job from its caller.
    pub origins: Vec<(JobId, SocketAddr)>,
    /// The owner's state of evacuations, as the next owner may not have heard of
    /// one yet.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Time at which the call was sent, as far as its sender can tell.
    #[serde(default)]
    pub sent: Option<SentAt>,
}

/// Error of a call to another VM.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// No answer arrived.
    Call(CallError),
    /// The answer's status is not 200.
    Status(StatusCode),
    /// The message could not be encoded or the answer could not be decoded.
    Codec(CodecError),
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeerError::Call(e) => write!(f, "{e}"),
            PeerError::Status(status) => write!(f, "unexpected status {status}"),
            PeerError::Codec(e) => write!(f, "{e}"),
        }
    }
}

impl PeerError {
    /// Returns whether the other VM may have carried out the call.
    pub fn maybe_done(&self) -> bool {
        match self {
            PeerError::Call(e) => e.maybe_sent(),
            PeerError::Status(_) => false,
            PeerError::Codec(_) => true,
        }
    }
}

/// Calls another VM and decodes its answer.
async fn call_peer<M, Q: Serialize, R: DeserializeOwned>(
    core: &Core<M>,
    to: SocketAddr,
    path: &str,
    body: &Q,
    wait: Duration,
) -> Result<R, PeerError> {
    let (req, delay) = peer_request(core, to, path, body)?;
    let reply = core.client.call(to, req, wait + delay).await;
    decode_reply(reply)
}

/// Reads something from another VM that can be large. `wait` is for the headers
/// and for each part of the answer.
async fn fetch_peer<M, R: DeserializeOwned>(
    core: &Core<M>,
    to: SocketAddr,
    path: &str,
    wait: Duration,
) -> Result<R, PeerError> {
    let (req, delay) = peer_request(core, to, path, &())?;
    let reply = core.client.fetch(to, req, wait + delay).await;
    decode_reply(reply)
}

/// Builds a request to another VM and returns it with the time until it will have
/// left this VM's link.
fn peer_request<M, Q: Serialize>(
    core: &Core<M>,
    to: SocketAddr,
    path: &str,
    body: &Q,
) -> Result<(Request<Full<Bytes>>, Duration), PeerError> {
    let body = encode(body).map_err(PeerError::Codec)?;
    let delay = core.cfg.link.reserve(HEAD_BYTES + body.len());
    let req = Request::post(path)
        .header(hyper::header::HOST, to.to_string())
        .body(Full::new(body))
        .map_err(|_| PeerError::Status(StatusCode::BAD_REQUEST))?;
    Ok((req, delay))
}

fn decode_reply<R: DeserializeOwned>(reply: Result<Reply, CallError>) -> Result<R, PeerError> {
    let reply = reply.map_err(PeerError::Call)?;
    if reply.status != StatusCode::OK {
        return Err(PeerError::Status(reply.status));
    }
    decode(&reply.body).map_err(PeerError::Codec)
}

/// Sends a job to an owner and waits until it has ended.
pub(crate) async fn call_job<M>(
    core: &Core<M>,
    to: SocketAddr,
    call: &JobCall,
    wait: Duration,
) -> Result<JobReply, PeerError> {
    call_peer(core, to, JOBS, call, wait).await
}

/// Hands a shard to its next owner.
pub(crate) async fn call_handover<M>(
    core: &Core<M>,
    to: SocketAddr,
    handover: &Handover,
) -> Result<HandoverReply, PeerError> {
    call_peer(core, to, SHARDS, handover, MESSAGE_TIMEOUT).await
}

/// Reads another VM's configuration.
pub(crate) async fn call_configuration<M>(
    core: &Core<M>,
    to: SocketAddr,
) -> Result<Option<Configuration>, PeerError> {
    fetch_peer(core, to, CONFIGURATION, MESSAGE_TIMEOUT).await
}

/// Reads another VM's state of evacuations.
pub(crate) async fn call_evacuations<M>(
    core: &Core<M>,
    to: SocketAddr,
) -> Result<Evacuations, PeerError> {
    fetch_peer(core, to, EVACUATIONS, MESSAGE_TIMEOUT).await
}

/// Reads another VM's register of minions.
pub(crate) async fn call_register<M>(
    core: &Core<M>,
    to: SocketAddr,
) -> Result<Option<Vec<MinionInfo>>, PeerError> {
    fetch_peer(core, to, REGISTER, MESSAGE_TIMEOUT).await
}

/// Handles the calls of other VMs.
#[derive(Debug)]
pub(crate) struct PeerHandler<M>(pub Arc<Core<M>>);

impl<M> Clone for PeerHandler<M> {
    fn clone(&self) -> PeerHandler<M> {
        PeerHandler(self.0.clone())
    }
}

impl<M: Minions> Handler for PeerHandler<M> {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        if req.method() != Method::POST {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = match req.into_body().read(MAX_MESSAGE, MESSAGE_TIMEOUT).await {
            Ok(body) => body,
            Err(e) => {
                log::warn!(path:%, error:% = e; "reading a message from another VM failed");
                return empty(StatusCode::BAD_REQUEST);
            }
        };
        match path.as_str() {
            JOBS => match decode::<JobCall>(&body) {
                Ok(call) => encoded(&self.handle_job(call).await),
                Err(e) => bad_request(&path, &e),
            },
            SHARDS => match decode::<Handover>(&body) {
                Ok(handover) => encoded(&handover::accept(&self.0, handover)),
                Err(e) => bad_request(&path, &e),
            },
            CONFIGURATION => {
                let held = self.0.configuration.load_full();
                encoded(&held.as_deref().cloned())
            }
            EVACUATIONS => encoded(&**self.0.evacuations.load()),
            REGISTER => {
                let held = self.0.register.load_full();
                encoded(&held.as_deref().cloned())
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

/// Decides whether a call that concerns a shard is recent enough to be carried out.
/// Returns the time at which it was sent, at the earliest.
///
/// # Errors
///
/// Returns the time of sending for another call of the same VM.
pub(crate) fn accept_call<M>(
    core: &Core<M>,
    from: SocketAddr,
    shard: &Shard,
    sent: Option<SentAt>,
) -> Result<Timestamp, SentAt> {
    let now = core.now();
    let mut peers = core.peers();
    let age = peers.age(sent, now);
    if let Some(age) = age.filter(|age| *age < MAX_CALL_AGE) {
        let sent = now.before(age);
        peers.refresh(from, sent);
        return Ok(sent);
    }
    let clock = peers.clock(now);
    drop(peers);
    core.metrics.add(Count::CallLate, 1);
    let (known, age) = (age.is_some(), age.unwrap_or_default());
    log::info!(from:% = from, shard:% = shard, age_ms = age.0, known = known;
        "call not accepted: sent too long ago or at an unknown time");
    Err(clock)
}

impl<M: Minions> PeerHandler<M> {
    async fn handle_job(&self, call: JobCall) -> JobReply {
        let Some(owned) = self.0.owned_part(&call.shard) else {
            return JobReply::NotOwner;
        };
        let sent = match accept_call(&self.0, call.from, &call.shard, call.sent) {
            Ok(sent) => sent,
            Err(clock) => return JobReply::Late(clock),
        };
        crashes::learn(&self.0, &call.crashes);
        let origin = Some(Origin {
            from: call.from,
            call: call.call,
            sent,
        });
        match call.action {
            JobAction::Run(spec) => here::run_local(&self.0, &owned, spec, origin).await,
            JobAction::Resume(id) => here::resume_local(&self.0, &owned, &id, origin).await,
        }
    }
}

impl From<owned::Ending> for JobReply {
    fn from(ending: owned::Ending) -> JobReply {
        match ending {
            owned::Ending::Ended(outcome) => JobReply::Ended(outcome),
            owned::Ending::Moved(addr) => JobReply::Moved(addr),
        }
    }
}

/// Returns a response without a body.
fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

/// Logs a message that could not be decoded and returns status 400.
fn bad_request(path: &str, e: &CodecError) -> Response<Full<Bytes>> {
    log::warn!(path:%, error:% = e; "message from another VM could not be decoded");
    empty(StatusCode::BAD_REQUEST)
}

/// Returns a response with the encoded value.
fn encoded<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match encode(value) {
        Ok(body) => Response::new(Full::new(body)),
        Err(e) => {
            log::error!(error:% = e; "answer to another VM could not be encoded");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
