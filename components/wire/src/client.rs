//! A pooled HTTP/1.1 client whose errors tell whether the request may have been
//! sent. Callers need this to decide whether a request may be resent
//! (docs/DESIGN.md#outcomes).

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use kernel::HashMap;
use tokio::task::AbortHandle;

use crate::body::{BodyError, read_body, read_parts};
use crate::connect::Connect;

/// Limits on the connections to one address.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Maximum number of idle connections kept to one address.
    pub idle_count: usize,
    /// Idle time after which a connection is closed instead of reused, because
    /// the other side may have become unreachable in the meantime.
    pub idle_age: Duration,
    /// Timeout for opening a connection.
    pub connect_wait: Duration,
    /// Maximum length of a response body in bytes.
    pub reply_size: usize,
}

impl Default for PoolLimits {
    fn default() -> PoolLimits {
        PoolLimits {
            idle_count: 60,
            idle_age: Duration::from_secs(1),
            connect_wait: Duration::from_millis(500),
            reply_size: 16 << 20,
        }
    }
}

/// Why a call got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    Refused,
    /// No connection could be opened in time, so nothing was sent.
    ConnectTimeout,
    /// The connection closed before any byte of the request was written to it.
    Unsent,
    /// The connection broke when the request may already have been written to it.
    Broken,
    /// No response arrived before the timeout.
    Timeout,
    /// The response body could not be read.
    Body(BodyError),
}

impl CallError {
    /// Returns whether the server may have received the request.
    pub fn maybe_sent(self) -> bool {
        match self {
            CallError::Refused | CallError::ConnectTimeout | CallError::Unsent => false,
            CallError::Broken | CallError::Timeout | CallError::Body(_) => true,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused => write!(f, "connection refused"),
            CallError::ConnectTimeout => write!(f, "connection attempt timed out"),
            CallError::Unsent => write!(f, "connection closed before the request was sent"),
            CallError::Broken => write!(f, "connection broke before the answer"),
            CallError::Timeout => write!(f, "request timed out"),
            CallError::Body(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Observes from when to when a request may reach the server. A call that is
/// dropped or still opens a connection returns no [`CallError`] to tell.
pub trait SendObserver {
    /// Called just before the request is handed to an open connection.
    fn sending(&self);

    /// Called when the connection has returned the request without having
    /// written any byte of it.
    fn unsent(&self);
}

impl SendObserver for () {
    fn sending(&self) {}

    fn unsent(&self) {}
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Calls and bytes of a client since its start. Bytes are those of HTTP, without
/// the packets' own headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Connections opened.
    pub opened: u64,
    /// Bytes of requests written.
    pub sent: u64,
    /// Bytes of responses read.
    pub received: u64,
}

/// Counters behind [`Traffic`].
#[derive(Debug, Default)]
struct Counters {
    opened: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// Returns the size of headers as they are written, with their separators.
fn header_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers.iter().map(|(k, v)| k.as_str().len() + v.len() + 4);
    sizes.sum()
}

/// Size of a request line or status line without its path, and of the empty
/// line that ends the headers.
const FRAME_BYTES: usize = 18;

/// A pooled connection that carries no request.
struct Idle {
    /// The connection's sending half.
    sender: SendRequest<Full<Bytes>>,
    /// Aborts the task that drives the connection.
    driver: AbortHandle,
    /// Time at which the connection became idle.
    since: Instant,
}

/// A connection that carries a request. Dropping it before the response is
/// complete closes the connection, which also cancels the request on the server.
struct Active {
    /// The connection's sending half; `None` once it is back in the pool.
    sender: Option<SendRequest<Full<Bytes>>>,
    /// Aborts the task that drives the connection.
    driver: AbortHandle,
}

impl Drop for Active {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.driver.abort();
        }
    }
}

/// Idle connections by address, with the most recently used last.
type Pool = HashMap<SocketAddr, Vec<Idle>>;

/// An HTTP client that keeps connections open and reuses them.
#[derive(Clone)]
pub struct Client<C> {
    /// Opens connections.
    connect: C,
    /// Limits on connections and responses.
    limits: PoolLimits,
    /// The idle connections.
    pool: Arc<Mutex<Pool>>,
    /// Calls and bytes so far.
    counters: Arc<Counters>,
}

impl<C> fmt::Debug for Client<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl<C: Connect> Client<C> {
    /// Creates a client without open connections.
    pub fn new(connect: C, limits: PoolLimits) -> Client<C> {
        Client {
            connect,
            limits,
            pool: Arc::default(),
            counters: Arc::default(),
        }
    }

    /// Returns the calls and bytes since the client was created. Clones share
    /// the counters.
    pub fn traffic(&self) -> Traffic {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            opened: read(&self.counters.opened),
            sent: read(&self.counters.sent),
            received: read(&self.counters.received),
        }
    }

    /// Sends a request and waits up to `timeout` for the complete response.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives. [`CallError::maybe_sent`] tells
    /// whether the server may have received the request.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call_observed(addr, req, timeout, &()).await
    }

    /// Sends a request like [`Client::call`], and reports to `observer` while it
    /// may reach the server.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::call`].
    pub async fn call_observed<O: SendObserver>(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        observer: &O,
    ) -> Result<Reply, CallError> {
        self.call_within(addr, req, BodyWait::Whole, timeout, observer)
            .await
    }

    /// Sends a request whose response may be large. `timeout` is for its headers
    /// and for each gap between parts of its body, as a slow link can need longer
    /// for the whole.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::call`].
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let wait = BodyWait::EachPart(timeout);
        self.call_within(addr, req, wait, timeout, &()).await
    }

    async fn call_within<O: SendObserver>(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        wait: BodyWait,
        timeout: Duration,
        observer: &O,
    ) -> Result<Reply, CallError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut req = req;
        // If an idle connection turns out to be closed, the request is returned
        // unsent and the next connection is tried.
        while let Some(active) = self.reuse(addr) {
            observer.sending();
            match self.send(addr, active, req, wait, deadline).await {
                Err(SendError::Unsent(unsent)) => {
                    observer.unsent();
                    req = *unsent;
                }
                Err(SendError::Failed(e)) => return Err(e),
                Ok(reply) => return Ok(reply),
            }
        }
        let active = self.open(addr, deadline).await?;
        observer.sending();
        match self.send(addr, active, req, wait, deadline).await {
            Err(SendError::Unsent(_)) => {
                observer.unsent();
                Err(CallError::Unsent)
            }
            Err(SendError::Failed(e)) => Err(e),
            Ok(reply) => Ok(reply),
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        let removed = self.lock().remove(&addr);
        for idle in removed.into_iter().flatten() {
            idle.driver.abort();
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection that is still open and not
    /// too old. Drops the closed or too old ones that it finds before it.
    fn reuse(&self, addr: SocketAddr) -> Option<Active> {
        let mut pool = self.lock();
        let list = pool.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            let fresh = idle.since.elapsed() < self.limits.idle_age;
            if fresh && idle.sender.is_ready() {
                return Some(Active {
                    sender: Some(idle.sender),
                    driver: idle.driver,
                });
            }
            idle.driver.abort();
        }
        None
    }

    async fn open(
        &self,
        addr: SocketAddr,
        deadline: tokio::time::Instant,
    ) -> Result<Active, CallError> {
        let limit = tokio::time::Instant::now() + self.limits.connect_wait;
        let result = tokio::time::timeout_at(deadline.min(limit), self.connect.connect(addr)).await;
        let stream = match result {
            Err(_) => return Err(CallError::ConnectTimeout),
            Ok(Err(_)) => return Err(CallError::Refused),
            Ok(Ok(stream)) => stream,
        };
        self.counters.opened.fetch_add(1, Ordering::Relaxed);
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallError::Unsent)?;
        let driver = tokio::spawn(async move {
            // The sender returns the same error to the caller.
            let _ = conn.await;
        });
        Ok(Active {
            sender: Some(sender),
            driver: driver.abort_handle(),
        })
    }

    async fn send(
        &self,
        addr: SocketAddr,
        mut active: Active,
        req: Request<Full<Bytes>>,
        wait: BodyWait,
        deadline: tokio::time::Instant,
    ) -> Result<Reply, SendError> {
        let Some(sender) = active.sender.as_mut() else {
            return Err(SendError::Unsent(Box::new(req)));
        };
        let size = FRAME_BYTES + req.uri().path().len() + header_bytes(req.headers());
        let size = size as u64 + req.body().size_hint().lower();
        self.counters.sent.fetch_add(size, Ordering::Relaxed);
        let result = tokio::time::timeout_at(deadline, sender.try_send_request(req)).await;
        let res = match result {
            Err(_) => return Err(SendError::Failed(CallError::Timeout)),
            Ok(Err(mut e)) => {
                return Err(match e.take_message() {
                    Some(unsent) => SendError::Unsent(Box::new(unsent)),
                    None => SendError::Failed(CallError::Broken),
                });
            }
            Ok(Ok(res)) => res,
        };
        let (head, body) = res.into_parts();
        let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
        let max = self.limits.reply_size;
        let body = match wait {
            BodyWait::Whole => read_body(body, max, remaining).await,
            BodyWait::EachPart(gap) => read_parts(body, max, gap).await,
        };
        let body = body.map_err(|e| SendError::Failed(CallError::Body(e)))?;
        let size = FRAME_BYTES + header_bytes(&head.headers) + body.len();
        self.counters
            .received
            .fetch_add(size as u64, Ordering::Relaxed);
        self.keep(addr, active).await;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Returns a connection to the pool once it can carry the next request.
    async fn keep(&self, addr: SocketAddr, mut active: Active) {
        let Some(mut sender) = active.sender.take() else {
            return;
        };
        // The driver marks the connection as ready shortly after the end of the
        // body.
        let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            active.driver.abort();
            return;
        }
        let mut pool = self.lock();
        let list = pool.entry(addr).or_default();
        if list.len() >= self.limits.idle_count {
            active.driver.abort();
            return;
        }
        list.push(Idle {
            sender,
            driver: active.driver.clone(),
            since: Instant::now(),
        });
    }
}

/// Timeout for a connection to become ready again after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// How long to wait for the body of a response.
#[derive(Debug, Clone, Copy)]
enum BodyWait {
    /// Until the timeout of the whole call.
    Whole,
    /// This long for each part of the body.
    EachPart(Duration),
}

/// Why a request on one connection got no response.
enum SendError {
    /// The request was not written to the connection and is returned.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request failed and may have been sent.
    Failed(CallError),
}
