//! A connector whose connections count their bytes.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use wire::{Connect, TcpConnect};

/// Number of bytes over all connections in both directions.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// The bytes to and from the platform.
    pub(crate) platform: AtomicU64,
    /// The bytes to and from all other addresses.
    pub(crate) others: AtomicU64,
}

impl Traffic {
    /// Returns the bytes so far to and from the platform, and all others.
    pub(crate) fn read(&self) -> (f64, f64) {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed) as f64;
        (read(&self.platform), read(&self.others))
    }
}

/// A connector over TCP that counts bytes.
#[derive(Debug, Clone)]
pub(crate) struct CountingConnect {
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    /// The bytes counted so far.
    pub(crate) traffic: Arc<Traffic>,
}

impl Connect for CountingConnect {
    type Stream = CountedStream;

    async fn connect(&self, addr: SocketAddr) -> io::Result<CountedStream> {
        Ok(CountedStream {
            stream: TcpConnect.connect(addr).await?,
            platform: addr == self.platform,
            traffic: self.traffic.clone(),
        })
    }
}

/// A TCP connection that counts its bytes.
#[derive(Debug)]
pub(crate) struct CountedStream {
    /// The connection.
    stream: TcpStream,
    /// Whether the platform is at the other end.
    platform: bool,
    /// The bytes counted so far.
    traffic: Arc<Traffic>,
}

impl CountedStream {
    fn count(&self, bytes: usize) {
        let sum = match self.platform {
            true => &self.traffic.platform,
            false => &self.traffic.others,
        };
        sum.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.count(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
