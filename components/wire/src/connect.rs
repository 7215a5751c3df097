//! How connections are opened. Faults are injected here in tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections.
pub trait Connect: Clone + Send + Sync + 'static {
    /// The stream that it opens.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a connection. The caller bounds the wait.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Plain TCP without delay for small writes.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnect;

impl Connect for TcpConnect {
    type Stream = TcpStream;

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
