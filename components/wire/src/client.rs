//! A pooled HTTP/1.1 client that knows whether a failed request may have been
//! sent. That knowledge decides what may be sent again (docs/DESIGN.md#outcomes).

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use kernel::HashMap;
use tokio::task::AbortHandle;

use crate::body::{BodyError, read_body};
use crate::connect::Connect;

/// Bounds on the connections to one address.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// The most idle connections kept to one address.
    pub idle_count: usize,
    /// The age at which an idle connection is dropped instead of used, because
    /// it may have gone silent meanwhile.
    pub idle_age: Duration,
    /// The longest wait for a new connection.
    pub connect_wait: Duration,
    /// The longest answer in bytes.
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

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    Refused,
    /// No connection could be opened in time, so nothing was sent.
    ConnectTimeout,
    /// The connection closed before any byte of the request was handed to it.
    Unsent,
    /// The connection broke after the request was handed to it.
    Broken,
    /// No answer came in time.
    Timeout,
    /// The answer's body could not be read.
    Body(BodyError),
}

impl CallError {
    /// Tells whether the other side may have got the request.
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
            CallError::ConnectTimeout => write!(f, "no connection in time"),
            CallError::Unsent => write!(f, "connection closed before the request was sent"),
            CallError::Broken => write!(f, "connection broke before the answer"),
            CallError::Timeout => write!(f, "no answer in time"),
            CallError::Body(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CallError {}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A connection with no request on it.
struct Idle {
    /// The connection's sending half.
    sender: SendRequest<Full<Bytes>>,
    /// Ends the connection's driver.
    driver: AbortHandle,
    /// Since when it has been idle.
    since: Instant,
}

/// A connection with a request on it. Dropping it before the answer is whole
/// closes the connection, which also tells the other side to stop.
struct Active {
    /// The connection's sending half, until it goes back to the pool.
    sender: Option<SendRequest<Full<Bytes>>>,
    /// Ends the connection's driver.
    driver: AbortHandle,
}

impl Drop for Active {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.driver.abort();
        }
    }
}

/// Idle connections by address, the most recently used last.
type Pool = HashMap<SocketAddr, Vec<Idle>>;

/// A client whose connections are kept and reused.
#[derive(Clone)]
pub struct Client<C> {
    /// Opens connections.
    connect: C,
    /// Bounds.
    limits: PoolLimits,
    /// The idle connections.
    pool: Arc<Mutex<Pool>>,
}

impl<C> fmt::Debug for Client<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl<C: Connect> Client<C> {
    /// Makes a client with no connections.
    pub fn new(connect: C, limits: PoolLimits) -> Client<C> {
        Client {
            connect,
            limits,
            pool: Arc::default(),
        }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError::maybe_sent`] tells whether the request may have arrived.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        let until = tokio::time::Instant::now() + wait;
        let mut req = req;
        // An idle connection that turns out closed hands the request back.
        while let Some(active) = self.reuse(addr) {
            match self.send(addr, active, req, until).await {
                Err(Sent::Back(back)) => req = *back,
                Err(Sent::Error(e)) => return Err(e),
                Ok(reply) => return Ok(reply),
            }
        }
        let active = self.open(addr, until).await?;
        match self.send(addr, active, req, until).await {
            Err(Sent::Back(_)) => Err(CallError::Unsent),
            Err(Sent::Error(e)) => Err(e),
            Ok(reply) => Ok(reply),
        }
    }

    /// Drops the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        let gone = self.lock().remove(&addr);
        for idle in gone.into_iter().flatten() {
            idle.driver.abort();
        }
    }

    /// Returns how many connections are idle.
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection that is young and open.
    fn reuse(&self, addr: SocketAddr) -> Option<Active> {
        let mut pool = self.lock();
        let list = pool.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            let young = idle.since.elapsed() < self.limits.idle_age;
            if young && idle.sender.is_ready() {
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
        until: tokio::time::Instant,
    ) -> Result<Active, CallError> {
        let most = tokio::time::Instant::now() + self.limits.connect_wait;
        let opened = tokio::time::timeout_at(until.min(most), self.connect.connect(addr)).await;
        let stream = match opened {
            Err(_) => return Err(CallError::ConnectTimeout),
            Ok(Err(_)) => return Err(CallError::Refused),
            Ok(Ok(stream)) => stream,
        };
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallError::Unsent)?;
        let driver = tokio::spawn(async move {
            // The error reaches whoever waits for the answer.
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
        until: tokio::time::Instant,
    ) -> Result<Reply, Sent> {
        let Some(sender) = active.sender.as_mut() else {
            return Err(Sent::Back(Box::new(req)));
        };
        let answer = tokio::time::timeout_at(until, sender.try_send_request(req)).await;
        let res = match answer {
            Err(_) => return Err(Sent::Error(CallError::Timeout)),
            Ok(Err(mut e)) => {
                return Err(match e.take_message() {
                    Some(back) => Sent::Back(Box::new(back)),
                    None => Sent::Error(CallError::Broken),
                });
            }
            Ok(Ok(res)) => res,
        };
        let (head, body) = res.into_parts();
        let left = until.saturating_duration_since(tokio::time::Instant::now());
        let body = read_body(body, self.limits.reply_size, left)
            .await
            .map_err(|e| Sent::Error(CallError::Body(e)))?;
        self.keep(addr, active).await;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Puts a connection back once it can carry the next request.
    async fn keep(&self, addr: SocketAddr, mut active: Active) {
        let Some(mut sender) = active.sender.take() else {
            return;
        };
        // The driver readies the connection right after the body's end.
        let ready = tokio::time::timeout(READY_WAIT, sender.ready()).await;
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

/// The longest wait for a connection to become ready again after an answer.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Why a request on one connection got no answer.
enum Sent {
    /// It was never handed to the transport; here it is back.
    Back(Box<Request<Full<Bytes>>>),
    /// It failed.
    Error(CallError),
}
