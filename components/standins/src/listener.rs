//! A listener whose connections can be killed or made to go silent.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinHandle};

/// Closes the connection in place of an answer.
#[derive(Debug, Clone, Copy)]
pub struct HangUp;

impl fmt::Display for HangUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closes the connection without an answer")
    }
}

impl std::error::Error for HangUp {}

/// Answers requests, or closes their connection.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Answers one request. It is dropped when the other side closes.
    fn serve(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, HangUp>> + Send;
}

/// An open connection.
#[derive(Debug)]
struct Conn {
    /// Ends the connection's task.
    task: AbortHandle,
    /// True once the connection is silent.
    mute: Arc<AtomicBool>,
}

/// What is open on an address.
#[derive(Debug, Default)]
struct Open {
    /// Whether connections are taken.
    alive: bool,
    /// The connections, ended ones included until the next is taken.
    conns: Vec<Conn>,
}

/// A listener that can die and come back under its address.
#[derive(Debug)]
pub struct Listener {
    /// The bound address.
    addr: SocketAddr,
    /// What is open.
    open: Arc<Mutex<Open>>,
    /// Takes connections.
    accept: Mutex<Option<JoinHandle<()>>>,
}

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl Listener {
    /// Binds an address and serves it.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind<S: Serve>(addr: SocketAddr, service: S) -> io::Result<Listener> {
        let socket = TcpListener::bind(addr).await?;
        let listener = Listener {
            addr: socket.local_addr()?,
            open: Arc::default(),
            accept: Mutex::default(),
        };
        listener.run(socket, service);
        Ok(listener)
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and breaks every connection.
    pub fn kill(&self) {
        let mut open = lock(&self.open);
        open.alive = false;
        if let Some(task) = lock(&self.accept).as_ref() {
            task.abort();
        }
        for conn in open.conns.drain(..) {
            conn.task.abort();
        }
    }

    /// Listens again after [`Listener::kill`].
    ///
    /// # Errors
    ///
    /// Fails when another process has taken the port meanwhile.
    pub async fn revive<S: Serve>(&self, service: S) -> io::Result<()> {
        let ended = lock(&self.accept).take();
        if let Some(task) = ended {
            let _ = task.await;
        }
        let socket = TcpListener::bind(self.addr).await?;
        self.run(socket, service);
        Ok(())
    }

    /// Makes the connections that are open now silent for good.
    pub fn silence(&self) {
        for conn in lock(&self.open).conns.drain(..) {
            conn.mute.store(true, Ordering::SeqCst);
        }
    }

    fn run<S: Serve>(&self, socket: TcpListener, service: S) {
        lock(&self.open).alive = true;
        let task = tokio::spawn(accept(socket, service, self.open.clone()));
        *lock(&self.accept) = Some(task);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Locks a mutex, also behind a thread that panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept<S: Serve>(socket: TcpListener, service: S, open: Arc<Mutex<Open>>) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let mut open = lock(&open);
        if !open.alive {
            return;
        }
        let mute = Arc::new(AtomicBool::new(false));
        let conn = serve_one(stream, mute.clone(), service.clone());
        let task = tokio::spawn(conn).abort_handle();
        open.conns.retain(|c| !c.task.is_finished());
        open.conns.push(Conn { task, mute });
    }
}

async fn serve_one<S: Serve>(inner: TcpStream, mute: Arc<AtomicBool>, service: S) {
    let _ = inner.set_nodelay(true);
    let stream = MuteStream { inner, mute };
    let service = service_fn(move |req| {
        let service = service.clone();
        async move { service.serve(req).await }
    });
    // A broken connection concerns its client only.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A stream that can go silent: nothing more is read, and what is written is
/// lost, while the connection stays open.
struct MuteStream {
    /// The connection.
    inner: TcpStream,
    /// True once silent.
    mute: Arc<AtomicBool>,
}

impl MuteStream {
    fn silent(&self) -> bool {
        self.mute.load(Ordering::SeqCst)
    }
}

impl AsyncRead for MuteStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for MuteStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
