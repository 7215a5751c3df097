//! An HTTP/1.1 server with bounds on connections, headers and time.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Bounds on what a server takes.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The most connections at once; later ones wait in the listen queue.
    pub connections: usize,
    /// The longest wait for a request's headers, which also ends idle
    /// connections.
    pub header_wait: Duration,
    /// The most bytes of headers.
    pub header_size: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: 8192,
            header_wait: Duration::from_secs(10),
            header_size: 16 << 10,
        }
    }
}

/// Answers requests.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request. It is dropped when the other side hangs up.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Tells a server to take no more, and all connections to end after the
/// request they carry.
#[derive(Debug, Clone)]
pub struct Stopper {
    /// True once stopping.
    stop: watch::Sender<bool>,
}

impl Stopper {
    /// Stops the server.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// A bound listener.
#[derive(Debug)]
pub struct Server {
    /// The listener.
    listener: TcpListener,
    /// Bounds.
    limits: ServerLimits,
    /// True once stopping.
    stop: watch::Sender<bool>,
}

impl Server {
    /// Binds an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(addr: SocketAddr, limits: ServerLimits) -> std::io::Result<Server> {
        Ok(Server {
            listener: TcpListener::bind(addr).await?,
            limits,
            stop: watch::Sender::new(false),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell it.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the handle that stops the server.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            stop: self.stop.clone(),
        }
    }

    /// Serves until stopped, then until every connection has ended.
    pub async fn serve<H: Handler>(self, handler: H) {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut stop = self.stop.subscribe();
        loop {
            let permit = match permits.clone().acquire_owned().await {
                Ok(permit) => permit,
                Err(_) => return,
            };
            let stream = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|s| *s) => break,
            };
            let Ok((stream, _)) = stream else {
                // Out of descriptors; others will be freed.
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let conn = serve_one(stream, handler.clone(), self.limits, stop.clone());
            tokio::spawn(async move {
                conn.await;
                drop(permit);
            });
        }
        drop(self.listener);
        let all = self.limits.connections as u32;
        let _ = permits.acquire_many(all).await;
    }
}

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

async fn serve_one<H: Handler>(
    stream: TcpStream,
    handler: H,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_wait)
        .max_buf_size(limits.header_size)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.wait_for(|s| *s) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
