//! An HTTP/1.1 server with limits on connections, headers and time.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::body::RequestBody;
use crate::connections::{ActiveStream, Connections, OpenConnection};
use crate::memory::MemoryBudget;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections. A further one takes the place of the one that
    /// has waited longest for its client, or waits until there is one.
    pub connections: usize,
    /// Timeout for a request's headers, which also closes idle connections.
    pub header_wait: Duration,
    /// Maximum size of a request's headers in bytes.
    pub header_size: usize,
    /// Size in bytes of each of the system's two buffers of a connection, for what it has
    /// received and for what it is to send. Without a size the system lets them grow to
    /// megabytes, which large messages need.
    pub socket_buffer: Option<usize>,
}

/// Maximum number of connections in the listen queue.
const BACKLOG: u32 = 1_024;

/// Size of the system's buffer for what a connection in the listen queue has received, in
/// bytes. Most jobs fit.
const QUEUED_BUFFER: u32 = 4 << 10;

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: 8192,
            header_wait: Duration::from_secs(10),
            header_size: 16 << 10,
            socket_buffer: None,
        }
    }
}

/// Handles the requests that a server receives.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request. The future is dropped when the client disconnects.
    fn handle(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// A handle that shuts a server down gracefully: the server accepts no more
/// connections, and each open one closes after its current request.
#[derive(Debug, Clone)]
pub struct Stopper {
    /// Holds `true` once the server is stopping.
    stop: watch::Sender<bool>,
}

impl Stopper {
    /// Stops the server.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// Figures of a server's connections.
#[derive(Debug, Clone)]
pub struct ServerUsage {
    connections: Arc<Connections>,
}

impl ServerUsage {
    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns how often a connection that waited for its client was closed for a new one.
    pub fn closed(&self) -> u64 {
        self.connections.closed()
    }
}

/// A server that is bound to an address but does not accept connections until
/// [`Server::serve`] is called.
#[derive(Debug)]
pub struct Server {
    /// The bound socket.
    listener: TcpListener,
    /// Limits on connections, headers and time.
    limits: ServerLimits,
    /// Memory for the bodies of requests; `None` if clients are trusted.
    budget: Option<MemoryBudget>,
    connections: Arc<Connections>,
    /// Holds `true` once the server is stopping.
    stop: watch::Sender<bool>,
}

impl Server {
    /// Binds an address; with port 0 the system chooses a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(addr: SocketAddr, limits: ServerLimits) -> std::io::Result<Server> {
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if limits.socket_buffer.is_some() {
            // Connections in the listen queue inherit the size.
            socket.set_recv_buffer_size(QUEUED_BUFFER)?;
        }
        socket.bind(addr)?;
        Ok(Server {
            listener: socket.listen(BACKLOG)?,
            limits,
            budget: None,
            connections: Arc::new(Connections::new()),
            stop: watch::Sender::new(false),
        })
    }

    /// Bounds the memory for the bodies of requests, which is unbounded otherwise.
    pub fn with_budget(self, budget: MemoryBudget) -> Server {
        Server {
            budget: Some(budget),
            ..self
        }
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system can't report the address.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that stops the server.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            stop: self.stop.clone(),
        }
    }

    /// Returns a handle with the figures of the server's connections.
    pub fn usage(&self) -> ServerUsage {
        ServerUsage {
            connections: self.connections.clone(),
        }
    }

    /// Serves until stopped, then until every connection has ended.
    pub async fn serve<H: Handler>(self, handler: H) {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut stop = self.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                result = self.listener.accept() => result,
                _ = stop.wait_for(|s| *s) => break,
            };
            let Ok((stream, _)) = accepted else {
                // The process has no free file descriptors. Closing connections
                // frees some, so retry after a pause.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let permit = tokio::select! {
                permit = admit(&permits, &self.connections) => permit,
                _ = stop.wait_for(|s| *s) => break,
            };
            let connection = Connection {
                stream,
                open: self.connections.open(),
                limits: self.limits,
                budget: self.budget.clone(),
                stop: stop.clone(),
            };
            let served = connection.serve(handler.clone());
            tokio::spawn(async move {
                served.await;
                drop(permit);
            });
        }
        drop(self.listener);
        let count = self.limits.connections as u32;
        let _ = permits.acquire_many(count).await;
    }
}

/// Waits for the permit of a new connection. While there is none, connections that wait
/// for their clients are closed.
async fn admit(
    permits: &Arc<Semaphore>,
    connections: &Connections,
) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        connections.close_longest_silent();
        let permit = permits.clone().acquire_owned();
        if let Ok(permit) = tokio::time::timeout(CLOSE_WAIT, permit).await {
            return permit.ok();
        }
    }
}

/// Time after which a closed connection is expected to have ended.
const CLOSE_WAIT: Duration = Duration::from_millis(20);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A connection of a client.
struct Connection {
    stream: TcpStream,
    open: OpenConnection,
    limits: ServerLimits,
    budget: Option<MemoryBudget>,
    stop: watch::Receiver<bool>,
}

impl Connection {
    /// Serves the connection until it closes, until its place is needed while it waits for
    /// its client, or until its current request is done when the server stops.
    async fn serve<H: Handler>(self, handler: H) {
        let Connection {
            stream,
            open,
            limits,
            budget,
            mut stop,
        } = self;
        let _ = stream.set_nodelay(true);
        if let Some(size) = limits.socket_buffer {
            let socket = SockRef::from(&stream);
            let _ = socket.set_recv_buffer_size(size);
            let _ = socket.set_send_buffer_size(size);
        }
        let activity = open.activity.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let handler = handler.clone();
            let activity = activity.clone();
            let req = req.map(|body| RequestBody::new(body, budget.clone(), activity.clone()));
            async move {
                let res = handler.handle(req).await;
                activity.set_answering(false);
                Ok::<_, Infallible>(res)
            }
        });
        let stream = ActiveStream {
            stream,
            activity: open.activity.clone(),
        };
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_wait)
            .max_buf_size(limits.header_size)
            .serve_connection(TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        tokio::select! {
            _ = conn.as_mut() => return,
            () = open.closed() => return,
            _ = stop.wait_for(|s| *s) => conn.as_mut().graceful_shutdown(),
        }
        let _ = conn.await;
    }
}
