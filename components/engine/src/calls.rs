//! Calls between VMs: jobs, handovers, the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use ownership::Shard;
use schedule::{JobId, JobSpec, MinionInfo, Outcome, Transfer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::{CallError, CodecError, Handler, decode, encode, read_body};

use crate::control::Minions;
use crate::core::Core;
use crate::model::Configuration;
use crate::{handover, here, owned};

/// Where jobs for an owner are taken.
const JOBS: &str = "/v1/jobs";

/// Where a shard is handed over.
const SHARDS: &str = "/v1/shards";

/// Where the configuration is read.
const CONFIGURATION: &str = "/v1/configuration";

/// Where the register of minions is read.
const REGISTER: &str = "/v1/register";

/// The longest message between VMs in bytes: a shard with its jobs.
const MESSAGE_SIZE: usize = 16 << 20;

/// How long a message may take to arrive.
const MESSAGE_WAIT: Duration = Duration::from_millis(500);

/// A job for the owner of a shard.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobCall {
    /// The shard.
    pub shard: Shard,
    /// The VM that took the job.
    pub from: SocketAddr,
    /// What to do.
    pub ask: Ask,
}

/// What is asked of an owner.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Run the job.
    Run(JobSpec),
    /// Tell how a job ends that was handed over to you.
    Resume(JobId),
}

/// What the owner answers.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum JobReply {
    /// The job has ended.
    Ended(Outcome),
    /// The job goes on at another VM.
    Moved(SocketAddr),
    /// The shard has another owner; nothing was done.
    NotOwner,
}

/// A shard on its way to its next owner.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Handover {
    /// The shard.
    pub shard: Shard,
    /// Who gives it up.
    pub from: SocketAddr,
    /// Its jobs and minions.
    pub state: Transfer,
    /// Which VMs took the jobs.
    pub origins: Vec<(JobId, SocketAddr)>,
}

/// Why a VM could not be asked.
#[derive(Debug)]
pub(crate) enum AskError {
    /// No answer came.
    Call(CallError),
    /// The answer has another status.
    Status(StatusCode),
    /// The message or answer has not the expected form.
    Codec(CodecError),
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AskError::Call(e) => write!(f, "{e}"),
            AskError::Status(status) => write!(f, "answered {status}"),
            AskError::Codec(e) => write!(f, "{e}"),
        }
    }
}

impl AskError {
    /// Tells whether the other VM may have acted.
    pub fn maybe_done(&self) -> bool {
        match self {
            AskError::Call(e) => e.maybe_sent(),
            AskError::Status(_) => false,
            AskError::Codec(_) => true,
        }
    }
}

async fn ask<M, Q: Serialize, R: DeserializeOwned>(
    core: &Core<M>,
    to: SocketAddr,
    path: &str,
    body: &Q,
    wait: Duration,
) -> Result<R, AskError> {
    let body = encode(body).map_err(AskError::Codec)?;
    let req = Request::post(path)
        .header(hyper::header::HOST, to.to_string())
        .body(Full::new(body))
        .map_err(|_| AskError::Status(StatusCode::BAD_REQUEST))?;
    let reply = core.client.call(to, req, wait).await;
    let reply = reply.map_err(AskError::Call)?;
    if reply.status != StatusCode::OK {
        return Err(AskError::Status(reply.status));
    }
    decode(&reply.body).map_err(AskError::Codec)
}

/// Hands a job to an owner and waits for its end.
pub(crate) async fn call_job<M>(
    core: &Core<M>,
    to: SocketAddr,
    call: &JobCall,
    wait: Duration,
) -> Result<JobReply, AskError> {
    ask(core, to, JOBS, call, wait).await
}

/// Hands a shard to its next owner.
pub(crate) async fn call_handover<M>(
    core: &Core<M>,
    to: SocketAddr,
    handover: &Handover,
) -> Result<(), AskError> {
    ask(core, to, SHARDS, handover, MESSAGE_WAIT).await
}

/// Reads another VM's configuration.
pub(crate) async fn call_configuration<M>(
    core: &Core<M>,
    to: SocketAddr,
) -> Result<Option<Configuration>, AskError> {
    ask(core, to, CONFIGURATION, &(), MESSAGE_WAIT).await
}

/// Reads another VM's register of minions.
pub(crate) async fn call_register<M>(
    core: &Core<M>,
    to: SocketAddr,
) -> Result<Option<Vec<MinionInfo>>, AskError> {
    ask(core, to, REGISTER, &(), MESSAGE_WAIT).await
}

/// Answers other VMs.
#[derive(Debug)]
pub(crate) struct PeerHandler<M>(pub Arc<Core<M>>);

impl<M> Clone for PeerHandler<M> {
    fn clone(&self) -> PeerHandler<M> {
        PeerHandler(self.0.clone())
    }
}

impl<M: Minions> Handler for PeerHandler<M> {
    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        if req.method() != Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = match read_body(req.into_body(), MESSAGE_SIZE, MESSAGE_WAIT).await {
            Ok(body) => body,
            Err(e) => {
                log::warn!(path:%, error:% = e; "message of another VM not read");
                return plain(StatusCode::BAD_REQUEST);
            }
        };
        match path.as_str() {
            JOBS => match decode::<JobCall>(&body) {
                Ok(call) => reply(&self.job(call).await),
                Err(e) => unreadable(&path, &e),
            },
            SHARDS => match decode::<Handover>(&body) {
                Ok(handover) => reply(&handover::accept(&self.0, handover)),
                Err(e) => unreadable(&path, &e),
            },
            CONFIGURATION => {
                let held = self.0.configuration.load_full();
                reply(&held.as_deref().cloned())
            }
            REGISTER => {
                let held = self.0.register.load_full();
                reply(&held.as_deref().cloned())
            }
            _ => plain(StatusCode::NOT_FOUND),
        }
    }
}

impl<M: Minions> PeerHandler<M> {
    async fn job(&self, call: JobCall) -> JobReply {
        let Some(owned) = self.0.owned(&call.shard) else {
            return JobReply::NotOwner;
        };
        self.0.peers().refresh(call.from, self.0.now());
        let from = Some(call.from);
        match call.ask {
            Ask::Run(spec) => here::run_here(&self.0, &owned, spec, from).await,
            Ask::Resume(id) => here::resume_here(&self.0, &owned, &id, from).await,
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

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

fn unreadable(path: &str, e: &CodecError) -> Response<Full<Bytes>> {
    log::warn!(path:%, error:% = e; "message of another VM not understood");
    plain(StatusCode::BAD_REQUEST)
}

fn reply<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match encode(value) {
        Ok(body) => Response::new(Full::new(body)),
        Err(e) => {
            log::error!(error:% = e; "answer to another VM can't be written");
            plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
