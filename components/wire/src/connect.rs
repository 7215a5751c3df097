//! How connections are opened. Faults are injected here in tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections.
pub trait Connect: Clone + Send + Sync + 'static {
    /// The stream that it opens.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a connection. The caller bounds the wait.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// How long a connection may be without a sign of life before the system asks
/// the other end for one, and how long it waits for each answer.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// How many signs of life must be missing before the connection is given up.
const KEEPALIVE_COUNT: u32 = 3;

/// How long sent bytes may go without an acknowledgement.
#[cfg(target_os = "linux")]
const UNACKED_WAIT: Duration = Duration::from_secs(2);

/// Plain TCP without delay for small writes. The system notices a connection
/// that has gone silent, also while a long task is awaited on it
/// (docs/design/silent-connections.md).
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnect;

impl Connect for TcpConnect {
    type Stream = TcpStream;

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        watch(&stream)?;
        Ok(stream)
    }
}

/// Lets the system watch over a connection.
fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKED_WAIT))?;
    Ok(())
}
