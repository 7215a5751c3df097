//! Passes a job to the VM that owns its key, and waits for the outcome there.
//! Passing is idempotent: the owner starts the job at most once, so a lost
//! message is simply resent.

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
use crate::message::{AWAIT_PATH, JobQuery, PASS_PATH, POLL_WAIT, PassReply, PassRequest};
use crate::submit::{Route, route_to};
use metrics::Count;

/// Time that a peer's answer may take beyond the wait that it was asked for.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Number of failed calls in a row after which the owner counts as
/// unreachable.
const MAX_FAILURES: usize = 3;

/// Pause before a message is resent.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Error of a call to a peer.
#[derive(Debug)]
pub enum PeerError {
    /// The message or its answer did not arrive.
    Call(CallError),
    /// The peer refused the message with this status.
    Status(StatusCode),
    /// The message could not be encoded, or its answer not decoded.
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
/// Fails if no valid answer arrives within `wait`.
pub async fn call_peer<C: Connect, M: Serialize, R: DeserializeOwned>(
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

/// Passes a job to the VM that has claimed its key.
pub async fn pass_to_owner<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    owner: &Owner,
    spec: &Arc<JobSpec>,
) -> Arc<Outcome> {
    match route_to(core, owner.incarnation) {
        Route::Peer(target, addr) => pass(core, target, addr, spec).await,
        Route::Unreachable(outcome) => Arc::new(outcome),
        // The job ended on this VM, and its outcome is no longer kept.
        Route::Local => Arc::new(Outcome::Unknown(Reason::Forgotten)),
    }
}

/// Passes a job to its owner at an address and waits for the outcome. If the
/// owner cannot be reached, the outcome is unknown with [`Reason::OwnerAway`],
/// and the caller should retry.
pub async fn pass<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &Arc<JobSpec>,
) -> Arc<Outcome> {
    core.note(Note::new(EventKind::JobPassed(core.vm_name(target))).job(&spec.key));
    let deadline = Instant::now() + spec.deadline.duration();
    let mut accepted = false;
    let mut failures = 0;
    loop {
        let answer = match accepted {
            false => send_pass(core, target, addr, spec, deadline).await,
            true => send_await(core, target, addr, spec, deadline).await,
        };
        match answer {
            Ok(PassReply::Ended(outcome)) => return outcome,
            Ok(PassReply::Running) => {
                accepted = true;
                failures = 0;
            }
            Ok(PassReply::NotMine) => return Arc::new(Outcome::Unknown(Reason::OwnerAway)),
            Err(e) => {
                log::debug!("job {}: no answer from its owner at {addr}: {e}", spec.key);
                failures += 1;
                core.peers.close_idle(addr);
                if failures == MAX_FAILURES || Instant::now() > deadline {
                    return Arc::new(Outcome::Unknown(Reason::OwnerAway));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn send_pass<C: Connect, P: Policy>(
    core: &Core<C, P>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &JobSpec,
    deadline: Instant,
) -> Result<PassReply, PeerError> {
    let left = deadline.saturating_duration_since(Instant::now());
    let mut spec = spec.clone();
    spec.deadline = Millis((left.as_millis() as u64).max(1));
    let pass = PassRequest { target, spec };
    core.notes.metrics.add(Count::WastePassed, 1);
    call_peer(&core.peers, addr, PASS_PATH, &pass, reply_timeout(deadline)).await
}

/// Returns the timeout of the owner's next answer. The owner answers within
/// [`POLL_WAIT`], and no later than at the job's deadline.
fn reply_timeout(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    POLL_WAIT.duration().min(left) + REPLY_GRACE
}

async fn send_await<C: Connect, P: Policy>(
    core: &Core<C, P>,
    target: Incarnation,
    addr: SocketAddr,
    spec: &JobSpec,
    deadline: Instant,
) -> Result<PassReply, PeerError> {
    let query = JobQuery {
        target,
        key: spec.key.clone(),
    };
    core.notes.metrics.add(Count::WastePassed, 1);
    call_peer(
        &core.peers,
        addr,
        AWAIT_PATH,
        &query,
        reply_timeout(deadline),
    )
    .await
}
