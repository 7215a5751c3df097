//! Opening of connections. Tests implement [`Connect`] to inject faults.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections.
pub trait Connect: Clone + Send + Sync + 'static {
    /// The type of an open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a connection. The caller is responsible for the timeout.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Idle time before the kernel sends the first TCP keepalive probe, and the time
/// between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_COUNT: u32 = 3;

/// Longest time that sent bytes may stay unacknowledged.
#[cfg(target_os = "linux")]
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens plain TCP connections with `TCP_NODELAY`. Keepalive probes and a limit
/// on unacknowledged data detect a dead connection even while it waits for a
/// long task (docs/design/silent-connections.md).
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnect;

impl Connect for TcpConnect {
    type Stream = TcpStream;

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        Ok(stream)
    }
}

/// Enables keepalive probes and the limit on unacknowledged data.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    Ok(())
}
