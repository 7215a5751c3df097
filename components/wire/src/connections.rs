//! The open connections of a server. When there are too many, one that waits for its
//! client is closed for a new one.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use kernel::HashMap;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The open connections of one server.
#[derive(Debug)]
pub(crate) struct Connections {
    open: Mutex<HashMap<u64, Arc<Activity>>>,
    next: AtomicU64,
    closed: AtomicU64,
    start: Instant,
}

/// What a connection waits for.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Milliseconds from the server's start to the last bytes from the client.
    heard: AtomicU64,
    /// Whether a whole request is being answered. The client is not waited for then.
    answering: AtomicBool,
    /// Notified when the connection is to be closed.
    close: Notify,
    start: Instant,
}

impl Activity {
    fn record_bytes(&self) {
        let now = self.start.elapsed().as_millis() as u64;
        self.heard.store(now, Ordering::Relaxed);
    }

    /// Records whether a whole request is being answered.
    pub fn set_answering(&self, answering: bool) {
        self.answering.store(answering, Ordering::Relaxed);
    }
}

impl Connections {
    /// Creates an empty set.
    pub fn new() -> Connections {
        Connections {
            open: Mutex::default(),
            next: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            start: Instant::now(),
        }
    }

    /// Adds a connection until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> OpenConnection {
        let activity = Activity {
            heard: AtomicU64::new(0),
            answering: AtomicBool::new(false),
            close: Notify::new(),
            start: self.start,
        };
        activity.record_bytes();
        let activity = Arc::new(activity);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, activity.clone());
        OpenConnection {
            connections: self.clone(),
            id,
            activity,
        }
    }

    /// Closes the connection that has waited longest for its client, if one does.
    pub fn close_longest_silent(&self) {
        let open = self.lock();
        let waiting = open
            .values()
            .filter(|a| !a.answering.load(Ordering::Relaxed));
        if let Some(silent) = waiting.min_by_key(|a| a.heard.load(Ordering::Relaxed)) {
            silent.close.notify_one();
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns how many connections were closed for new ones.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Activity>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of the set. Dropping it takes the connection out.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Arc<Connections>,
    id: u64,
    /// What the connection waits for.
    pub activity: Arc<Activity>,
}

impl OpenConnection {
    /// Waits until the connection is to be closed for a new one, and waits for its client.
    pub async fn closed(&self) {
        loop {
            self.activity.close.notified().await;
            // The rest of a request may have come since the connection was chosen.
            if !self.activity.answering.load(Ordering::Relaxed) {
                self.connections.closed.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}

/// A stream that records when bytes arrive.
#[derive(Debug)]
pub(crate) struct ActiveStream {
    pub stream: TcpStream,
    pub activity: Arc<Activity>,
}

impl AsyncRead for ActiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for ActiveStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
