//! Relays on loopback between processes. They apply the faults of a [`Net`] to
//! programs that open their own connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kernel::HashMap;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{AbortHandle, JoinHandle};
use wire::Connect;

use crate::listener::lock;
use crate::net::Net;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Largest datagram in bytes.
const DATAGRAM_SIZE: usize = 64 << 10;

/// Forwards TCP connections to another address through a [`Net`].
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    open: Arc<Mutex<Vec<AbortHandle>>>,
    accept: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and forwards each connection to `target`. `net` opens
    /// the connections to `target` on behalf of the process that connects here.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr, net: Net) -> io::Result<Relay> {
        let socket = TcpListener::bind(listen).await?;
        let addr = socket.local_addr()?;
        let open: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
        let accept = tokio::spawn(accept(socket, target, net, open.clone()));
        Ok(Relay { addr, open, accept })
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        for conn in lock(&self.open).drain(..) {
            conn.abort();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept.abort();
        self.reset();
    }
}

async fn accept(
    socket: TcpListener,
    target: SocketAddr,
    net: Net,
    open: Arc<Mutex<Vec<AbortHandle>>>,
) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let conn = tokio::spawn(forward(stream, target, net.clone()));
        let mut open = lock(&open);
        open.retain(|c| !c.is_finished());
        open.push(conn.abort_handle());
    }
}

async fn forward(mut inbound: TcpStream, target: SocketAddr, net: Net) {
    // With a linger time of zero, aborting the task resets the connection, as a
    // crash of the process would.
    let reset = SockRef::from(&inbound).set_linger(Some(Duration::ZERO));
    if reset.and_then(|()| inbound.set_nodelay(true)).is_err() {
        return;
    }
    let Ok(mut outbound) = net.connect(target).await else {
        return;
    };
    if tokio::io::copy_bidirectional(&mut inbound, &mut outbound)
        .await
        .is_ok()
    {
        // Both sides have closed, so the connection needs no reset.
        let _ = SockRef::from(&inbound).set_linger(None);
    }
}

/// Forwards datagrams to one process, filtered by their sender.
#[derive(Debug)]
pub struct DatagramRelay {
    task: JoinHandle<()>,
}

impl DatagramRelay {
    /// Listens on `listen` and forwards a datagram to `target` if the sender's
    /// net lets it through. Datagrams of senders without a net are always
    /// forwarded.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        senders: HashMap<IpAddr, Net>,
    ) -> io::Result<DatagramRelay> {
        let socket = UdpSocket::bind(listen).await?;
        Ok(DatagramRelay {
            task: tokio::spawn(forward_datagrams(socket, listen, target, senders)),
        })
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_datagrams(
    socket: UdpSocket,
    listen: SocketAddr,
    target: SocketAddr,
    senders: HashMap<IpAddr, Net>,
) {
    let mut buffer = vec![0; DATAGRAM_SIZE];
    loop {
        // An error here means that nothing listened for an earlier datagram.
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let net = senders.get(&from.ip());
        if net.is_none_or(|net| net.passes(listen)) {
            // Senders of datagrams expect losses.
            let _ = socket.send_to(&buffer[..size], target).await;
        }
    }
}
