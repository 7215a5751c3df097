//! The interface for peers: passed jobs, heartbeats, digests, the state that
//! VMs read from each other, and handovers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use jobs::{KeyHash, Outcome, Reason};
use kernel::{Clock, JobKey};
use routing::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use timeline::{EventKind, Note};
use tokio::time::timeout;
use wire::{CodecError, Connect, Handler, RequestBody};

use crate::api::empty;
use crate::claimed::KeyOwner;
use crate::confirm::answer_claimed;
use crate::core::{Core, Stage};
use crate::digests::{Round, apply_round};
use crate::heartbeat::{Heartbeat, answer_heartbeat};
use crate::lookup::{LookupResult, cancel_here, find_here};
use crate::message::{
    AWAIT_PATH, CANCEL_PATH, CLAIMED_PATH, CLAIMS_PATH, ClaimedQuery, ClaimsReply, DIGEST_PATH,
    FIND_PATH, HANDOVER_PATH, HEARTBEAT_PATH, Handover, HandoverReply, JobQuery, PASS_PATH,
    POLL_WAIT, PassReply, PassRequest, PeerState, STATE_PATH,
};
use crate::run::Run;
use crate::submit::{EnterError, enter};

/// Maximum size of a message in bytes. A handover can become this large.
const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Time within which a message must have arrived completely.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests of peers.
pub struct PeerServer<C: Connect, P: Policy> {
    /// Shared state of the VM.
    pub core: Arc<Core<C, P>>,
}

impl<C: Connect, P: Policy> Clone for PeerServer<C, P> {
    fn clone(&self) -> Self {
        PeerServer {
            core: self.core.clone(),
        }
    }
}

impl<C: Connect, P: Policy> Handler for PeerServer<C, P> {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        if req.method() != Method::POST {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        let path = req.uri().path().to_owned();
        let body = match req
            .into_body()
            .read(MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT)
            .await
        {
            Ok(body) => body,
            Err(_) => return self.malformed(),
        };
        match path.as_str() {
            PASS_PATH => self.pass(&body).await,
            AWAIT_PATH => self.await_outcome(&body).await,
            FIND_PATH => self.find(&body),
            CANCEL_PATH => self.cancel(&body).await,
            HEARTBEAT_PATH => self.heartbeat(&body),
            DIGEST_PATH => self.digest(&body),
            STATE_PATH => write(&PeerState {
                sheet: self.core.sheets.snapshot(),
                listing: self.core.listing.load_full(),
            }),
            CLAIMED_PATH => self.claimed(&body),
            CLAIMS_PATH => write(&ClaimsReply {
                coverage: self.core.claimer.export(),
            }),
            HANDOVER_PATH => self.take_handover(&body),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

impl<C: Connect, P: Policy> PeerServer<C, P> {
    async fn pass(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let pass: PassRequest = match self.read(body) {
            Ok(pass) => pass,
            Err(res) => return *res,
        };
        if !self.core.windows.holds(pass.target) {
            return write(&PassReply::NotMine);
        }
        let spec = Arc::new(pass.spec);
        if self.declines(&spec.key) {
            return write(&PassReply::NotMine);
        }
        self.core
            .note(Note::new(EventKind::JobReceived).job(&spec.key));
        match enter(&self.core, &spec) {
            Ok(run) => write(&poll(&run).await),
            Err(EnterError::Answered(outcome)) => write(&PassReply::Ended(Arc::new(outcome))),
            Err(EnterError::OwnedElsewhere) => write(&PassReply::NotMine),
        }
    }

    /// Returns whether a passed job has no owner yet and this VM is stopping,
    /// so that the sender should pass the job to a VM that keeps serving.
    /// Passing it on from here could send the job in a circle.
    fn declines(&self, key: &JobKey) -> bool {
        let stopping = self.core.stage() != Stage::Serving;
        let unowned = matches!(key, JobKey::Bare(_))
            && !matches!(
                self.core.claimer.owner_of(KeyHash::of(key)),
                KeyOwner::OwnedBy(_)
            );
        stopping && unowned && self.core.table.find(key).is_none()
    }

    async fn await_outcome(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let query: JobQuery = match self.read(body) {
            Ok(query) => query,
            Err(res) => return *res,
        };
        let reply = match self.core.table.find(&query.key) {
            Some(Ok(run)) => poll(&run).await,
            Some(Err(outcome)) => PassReply::Ended(outcome),
            None => not_mine(),
        };
        write(&reply)
    }

    fn find(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<JobQuery>(body) {
            Ok(query) if !self.core.windows.holds(query.target) => write(&PassReply::NotMine),
            Ok(query) => write(&reply_of(find_here(&self.core, &query.key))),
            Err(res) => *res,
        }
    }

    fn claimed(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<ClaimedQuery>(body) {
            Ok(query) => write(&answer_claimed(&self.core, &query)),
            Err(res) => *res,
        }
    }

    async fn cancel(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<JobQuery>(body) {
            Ok(query) if !self.core.windows.holds(query.target) => write(&PassReply::NotMine),
            Ok(query) => write(&reply_of(cancel_here(&self.core, &query.key).await)),
            Err(res) => *res,
        }
    }

    fn heartbeat(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Heartbeat>(body) {
            Ok(heartbeat) => write(&answer_heartbeat(&self.core, heartbeat)),
            Err(res) => *res,
        }
    }

    fn digest(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Round>(body) {
            Ok(round) => {
                apply_round(&self.core, &round);
                write(&())
            }
            Err(res) => *res,
        }
    }

    fn take_handover(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let handover: Handover = match self.read(body) {
            Ok(handover) => handover,
            Err(res) => return *res,
        };
        if self.core.stage() != Stage::Serving {
            return write(&HandoverReply::Stopping);
        }
        // Outcomes are adopted before the windows, so that they are found as
        // soon as this VM answers for the tickets.
        self.core.table.adopt(handover.kept, self.core.clock.now());
        match self.core.windows.adopt(handover.windows) {
            true => write(&HandoverReply::Taken),
            false => write(&HandoverReply::Stopping),
        }
    }

    /// Decodes a message, or returns the response that refuses it.
    fn read<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Box<Response<Full<Bytes>>>> {
        wire::decode(body).map_err(|e| match e {
            CodecError::Version { .. } => Box::new(self.version_refused()),
            CodecError::Broken(_) | CodecError::Encode(_) => Box::new(self.malformed()),
        })
    }

    fn version_refused(&self) -> Response<Full<Bytes>> {
        self.core.note(Note::new(EventKind::VersionRefused));
        empty(StatusCode::UPGRADE_REQUIRED)
    }

    fn malformed(&self) -> Response<Full<Bytes>> {
        self.core.note(Note::new(EventKind::BrokenRefused));
        empty(StatusCode::BAD_REQUEST)
    }
}

/// Waits up to [`POLL_WAIT`] for a job's outcome.
async fn poll(run: &Run) -> PassReply {
    match timeout(POLL_WAIT.duration(), run.outcome()).await {
        Ok(outcome) => PassReply::Ended(outcome),
        Err(_) => PassReply::Running,
    }
}

/// Returns the answer about a job that this VM no longer knows.
fn not_mine() -> PassReply {
    PassReply::NotMine
}

fn reply_of(found: LookupResult) -> PassReply {
    match found {
        LookupResult::Ended(outcome) => PassReply::Ended(outcome),
        LookupResult::Running => PassReply::Running,
        LookupResult::Unknown => PassReply::Ended(Arc::new(Outcome::Unknown(Reason::UnknownJob))),
    }
}

fn write<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    match wire::encode(message) {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
