//! Passes a job to the VM that owns its key, and waits for the outcome there.
//! Passing is idempotent: the owner starts the job at most once, so a message
//! that got lost is simply sent again.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use jobs::{JobSpec, Outcome, Owner, Reason};
use kernel::{Incarnation, Millis};
use routing::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use timeline::{EventKind, Note};
use tokio::time::Instant;
use wire::{CallError, Client, CodecError, Connect};

use crate::core::Core;
use crate::message::{AWAIT_PATH, Ask, PASS_PATH, POLL_WAIT, Pass, PassReply};
use crate::submit::{Place, locate};
use metrics::Count;

/// How long a peer may take over the wait that it was asked for.
const GRACE: Duration = Duration::from_millis(500);

/// How often a message to the owner is tried before the caller is told to come
/// back.
const TRIES: usize = 3;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a peer gave no answer.
#[derive(Debug)]
pub enum PeerError {
    /// The message did not get through, or its answer did not.
    Call(CallError),
    /// The peer refused, with this status.
    Status(StatusCode),
    /// The answer can't be read.
    Codec(CodecError),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Call(e) => write!(f, "{e}"),
            PeerError::Status(status) => write!(f, "status {status}"),
            PeerError::Codec(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends a message to a peer and reads its answer.
///
/// # Errors
///
/// Fails when no readable answer comes in time.
pub async fn ask<C: Connect, M: Serialize, R: DeserializeOwned>(
    client: &Client<C>,
    addr: SocketAddr,
    path: &'static str,
    message: &M,
    wait: Duration,
) -> Result<R, PeerError> {
    let body = wire::encode(message).map_err(PeerError::Codec)?;
    let mut req = Request::new(Full::<Bytes>::new(body));
    *req.method_mut() = hyper::Method::POST;
    *req.uri_mut() = hyper::Uri::from_static(path);
    let host = hyper::header::HeaderValue::from_static("peer");
    req.headers_mut().insert("host", host);
    let reply = client
        .call(addr, req, wait)
        .await
        .map_err(PeerError::Call)?;
    match reply.status {
        StatusCode::OK => wire::decode(&reply.body).map_err(PeerError::Codec),
        other => Err(PeerError::Status(other)),
    }
}

/// Passes a job to the owner of its claim.
pub async fn pass_to<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    owner: &Owner,
    spec: &Arc<JobSpec>,
) -> Arc<Outcome> {
    match locate(core, owner.incarnation) {
        Place::Peer(target, addr) => pass(core, target, addr, spec).await,
        Place::Nowhere(outcome) => Arc::new(outcome),
        // The job ended here, and its answer has been dropped.
        Place::Here => Arc::new(Outcome::Unknown(Reason::Forgotten)),
    }
}

/// Passes a job to its owner at an address and waits for the outcome. When the
/// owner can't be reached the caller is told at once to come back.
pub async fn pass<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &Arc<JobSpec>,
) -> Arc<Outcome> {
    core.note(Note::new(EventKind::JobPassed(core.name_of(target))).job(&spec.key));
    let until = Instant::now() + spec.deadline.duration();
    let mut accepted = false;
    let mut tries = 0;
    loop {
        let answer = match accepted {
            false => send_pass(core, target, addr, spec, until).await,
            true => send_await(core, target, addr, spec, until).await,
        };
        match answer {
            Ok(PassReply::Ended(outcome)) => return outcome,
            Ok(PassReply::Running) => {
                accepted = true;
                tries = 0;
            }
            Ok(PassReply::NotMine) => return Arc::new(Outcome::Unknown(Reason::OwnerAway)),
            Err(e) => {
                log::debug!("{} at {addr}: {e}", spec.key);
                tries += 1;
                core.peers.close_idle(addr);
                if tries == TRIES || Instant::now() > until {
                    return Arc::new(Outcome::Unknown(Reason::OwnerAway));
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn send_pass<C: Connect, P: Policy>(
    core: &Core<C, P>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &JobSpec,
    until: Instant,
) -> Result<PassReply, PeerError> {
    let left = until.saturating_duration_since(Instant::now());
    let mut spec = spec.clone();
    spec.deadline = Millis((left.as_millis() as u64).max(1));
    let pass = Pass { target, spec };
    core.notes.metrics.add(Count::WastePassed, 1);
    ask(&core.peers, addr, PASS_PATH, &pass, patience(until)).await
}

/// Returns the longest wait for the owner's next word: it speaks at least once
/// in [`POLL_WAIT`], and at the job's deadline.
fn patience(until: Instant) -> Duration {
    let left = until.saturating_duration_since(Instant::now());
    POLL_WAIT.duration().min(left) + GRACE
}

async fn send_await<C: Connect, P: Policy>(
    core: &Core<C, P>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &JobSpec,
    until: Instant,
) -> Result<PassReply, PeerError> {
    let ask_for = Ask {
        target,
        key: spec.key.clone(),
    };
    core.notes.metrics.add(Count::WastePassed, 1);
    ask(&core.peers, addr, AWAIT_PATH, &ask_for, patience(until)).await
}
