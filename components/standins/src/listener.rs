//! An HTTP listener whose connections can be broken or silenced.

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

/// Error that closes the connection instead of sending an answer.
#[derive(Debug, Clone, Copy)]
pub struct Disconnect;

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closes the connection without an answer")
    }
}

impl std::error::Error for Disconnect {}

/// A handler of HTTP requests, which answers them or closes their connection.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Answers one request. The future is dropped if the client closes the
    /// connection.
    fn serve(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, Disconnect>> + Send;
}

/// An open connection.
#[derive(Debug)]
struct Conn {
    /// The handle that aborts the connection's task.
    task: AbortHandle,
    /// Whether the connection has been silenced.
    silent: Arc<AtomicBool>,
}

/// The open connections of a listener.
#[derive(Debug, Default)]
struct Connections {
    /// Whether new connections are accepted.
    accepting: bool,
    /// The connections. Ended ones are removed when the next one is accepted.
    conns: Vec<Conn>,
}

/// A listener that can be killed and restarted on the same address.
#[derive(Debug)]
pub struct Listener {
    /// The bound address.
    addr: SocketAddr,
    /// The open connections, shared with the accept task.
    open: Arc<Mutex<Connections>>,
    /// The task that accepts connections.
    accept: Mutex<Option<JoinHandle<()>>>,
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl Listener {
    /// Binds an address and serves requests on it.
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

    /// Closes the listener and breaks all connections.
    pub fn kill(&self) {
        let mut open = lock(&self.open);
        open.accepting = false;
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
    pub async fn restart<S: Serve>(&self, service: S) -> io::Result<()> {
        let ended = lock(&self.accept).take();
        if let Some(task) = ended {
            let _ = task.await;
        }
        let socket = TcpListener::bind(self.addr).await?;
        self.run(socket, service);
        Ok(())
    }

    /// Stops all traffic on the connections that are open now, without closing
    /// them.
    pub fn silence(&self) {
        for conn in lock(&self.open).conns.drain(..) {
            conn.silent.store(true, Ordering::SeqCst);
        }
    }

    fn run<S: Serve>(&self, socket: TcpListener, service: S) {
        lock(&self.open).accepting = true;
        let task = tokio::spawn(accept(socket, service, self.open.clone()));
        *lock(&self.accept) = Some(task);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept<S: Serve>(socket: TcpListener, service: S, open: Arc<Mutex<Connections>>) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let mut open = lock(&open);
        if !open.accepting {
            return;
        }
        let silent = Arc::new(AtomicBool::new(false));
        let conn = serve_one(stream, silent.clone(), service.clone());
        let task = tokio::spawn(conn).abort_handle();
        open.conns.retain(|c| !c.task.is_finished());
        open.conns.push(Conn { task, silent });
    }
}

async fn serve_one<S: Serve>(inner: TcpStream, silent: Arc<AtomicBool>, service: S) {
    let _ = inner.set_nodelay(true);
    let stream = SilenceableStream { inner, silent };
    let service = service_fn(move |req| {
        let service = service.clone();
        async move { service.serve(req).await }
    });
    // Only the client needs to know that its connection broke.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A stream that can be silenced: nothing more is read, and written bytes are
/// discarded, while the connection stays open.
struct SilenceableStream {
    /// The connection.
    inner: TcpStream,
    /// Whether the stream has been silenced.
    silent: Arc<AtomicBool>,
}

impl SilenceableStream {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
