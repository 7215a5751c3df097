//! The peers' side: jobs passed here, heartbeats, and what VMs learn from each
//! other.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use jobs::{KeyHash, Outcome, Reason};
use kernel::{Clock, JobKey};
use routing::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;
use timeline::{EventKind, Note};
use tokio::time::timeout;
use wire::{CodecError, Connect, Handler};

use crate::api::empty;
use crate::beat::{Heartbeat, answer_beat};
use crate::claimed::Known;
use crate::confirm::claimed_here;
use crate::core::{Core, Stage};
use crate::digests::{Round, take_round};
use crate::lookup::{Found, cancel_here, find_here};
use crate::message::{
    AWAIT_PATH, Ask, BEAT_PATH, CANCEL_PATH, CLAIMED_PATH, CLAIMS_PATH, ClaimedAsk, ClaimsReply,
    DIGEST_PATH, FIND_PATH, HANDOVER_PATH, HandOver, HandOverReply, PASS_PATH, POLL_WAIT, Pass,
    PassReply, PeerState, STATE_PATH,
};
use crate::run::Run;
use crate::submit::{Bar, enter};

/// The longest message from a peer, which a hand-over may reach.
const MESSAGE_SIZE: usize = 128 << 20;

/// The longest time in which a message must arrive.
const MESSAGE_WAIT: Duration = Duration::from_secs(10);

/// Answers peers.
pub struct Peers<C: Connect, P: Policy> {
    /// The VM.
    pub core: Arc<Core<C, P>>,
}

impl<C: Connect, P: Policy> Clone for Peers<C, P> {
    fn clone(&self) -> Self {
        Peers {
            core: self.core.clone(),
        }
    }
}

impl<C: Connect, P: Policy> Handler for Peers<C, P> {
    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.method() != Method::POST {
            return empty(StatusCode::METHOD_NOT_ALLOWED);
        }
        let path = req.uri().path().to_owned();
        let body = match wire::read_body(req.into_body(), MESSAGE_SIZE, MESSAGE_WAIT).await {
            Ok(body) => body,
            Err(_) => return self.broken(),
        };
        match path.as_str() {
            PASS_PATH => self.pass(&body).await,
            AWAIT_PATH => self.wait_on(&body).await,
            FIND_PATH => self.find(&body),
            CANCEL_PATH => self.cancel(&body).await,
            BEAT_PATH => self.beat(&body),
            DIGEST_PATH => self.digest(&body),
            STATE_PATH => write(&PeerState {
                sheet: self.core.sheets.snapshot(),
                listing: self.core.listing.load_full(),
            }),
            CLAIMED_PATH => self.claimed(&body),
            CLAIMS_PATH => write(&ClaimsReply {
                coverage: self.core.claimer.export(),
            }),
            HANDOVER_PATH => self.take_over(&body),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

impl<C: Connect, P: Policy> Peers<C, P> {
    async fn pass(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let pass: Pass = match self.read(body) {
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
            Err(Bar::Told(outcome)) => write(&PassReply::Ended(Arc::new(outcome))),
            Err(Bar::Elsewhere) => write(&PassReply::NotMine),
        }
    }

    /// Tells whether a job that nobody owns yet should go to a VM that serves
    /// on. Passing it on from here could lead it in a circle.
    fn declines(&self, key: &JobKey) -> bool {
        let stopping = self.core.stage() != Stage::Serving;
        let unowned = matches!(key, JobKey::Bare(_))
            && !matches!(self.core.claimer.known(KeyHash::of(key)), Known::Owner(_));
        stopping && unowned && self.core.table.find(key).is_none()
    }

    async fn wait_on(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let ask: Ask = match self.read(body) {
            Ok(ask) => ask,
            Err(res) => return *res,
        };
        let reply = match self.core.table.find(&ask.key) {
            Some(Ok(run)) => poll(&run).await,
            Some(Err(outcome)) => PassReply::Ended(outcome),
            None => gone(),
        };
        write(&reply)
    }

    fn find(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Ask>(body) {
            Ok(ask) if !self.core.windows.holds(ask.target) => write(&PassReply::NotMine),
            Ok(ask) => write(&reply_of(find_here(&self.core, &ask.key))),
            Err(res) => *res,
        }
    }

    fn claimed(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<ClaimedAsk>(body) {
            Ok(ask) => write(&claimed_here(&self.core, &ask)),
            Err(res) => *res,
        }
    }

    async fn cancel(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Ask>(body) {
            Ok(ask) if !self.core.windows.holds(ask.target) => write(&PassReply::NotMine),
            Ok(ask) => write(&reply_of(cancel_here(&self.core, &ask.key).await)),
            Err(res) => *res,
        }
    }

    fn beat(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Heartbeat>(body) {
            Ok(beat) => write(&answer_beat(&self.core, beat)),
            Err(res) => *res,
        }
    }

    fn digest(&self, body: &[u8]) -> Response<Full<Bytes>> {
        match self.read::<Round>(body) {
            Ok(round) => {
                take_round(&self.core, &round);
                write(&())
            }
            Err(res) => *res,
        }
    }

    fn take_over(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let left: HandOver = match self.read(body) {
            Ok(left) => left,
            Err(res) => return *res,
        };
        if self.core.stage() != Stage::Serving {
            return write(&HandOverReply::Stopping);
        }
        // Answers first: whoever finds the window finds them too.
        self.core.table.adopt(left.kept, self.core.clock.now());
        match self.core.windows.adopt(left.windows) {
            true => write(&HandOverReply::Taken),
            false => write(&HandOverReply::Stopping),
        }
    }

    /// Reads a message, or answers with the refusal that it gets.
    fn read<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, Box<Response<Full<Bytes>>>> {
        wire::decode(body).map_err(|e| match e {
            CodecError::Version { .. } => Box::new(self.other_version()),
            CodecError::Broken(_) | CodecError::Encode(_) => Box::new(self.broken()),
        })
    }

    fn other_version(&self) -> Response<Full<Bytes>> {
        self.core.note(Note::new(EventKind::VersionRefused));
        empty(StatusCode::UPGRADE_REQUIRED)
    }

    fn broken(&self) -> Response<Full<Bytes>> {
        self.core.note(Note::new(EventKind::BrokenRefused));
        empty(StatusCode::BAD_REQUEST)
    }
}

/// Waits a while for a job's outcome.
async fn poll(run: &Run) -> PassReply {
    match timeout(POLL_WAIT.duration(), run.outcome()).await {
        Ok(outcome) => PassReply::Ended(outcome),
        Err(_) => PassReply::Running,
    }
}

/// The answer about a job that was here and is no longer.
fn gone() -> PassReply {
    PassReply::NotMine
}

fn reply_of(found: Found) -> PassReply {
    match found {
        Found::Ended(outcome) => PassReply::Ended(outcome),
        Found::Running => PassReply::Running,
        Found::Nothing => PassReply::Ended(Arc::new(Outcome::Unknown(Reason::UnknownJob))),
    }
}

fn write<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    match wire::encode(message) {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
