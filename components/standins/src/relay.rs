//! Relays on loopback between processes, so that the faults of a [`Net`] reach
//! programs that open their connections themselves.

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

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The largest datagram in bytes.
const DATAGRAM_SIZE: usize = 64 << 10;

/// Passes connections on to another address, through a [`Net`].
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    open: Arc<Mutex<Vec<AbortHandle>>>,
    accept: JoinHandle<()>,
}

impl Relay {
    /// Listens at `listen` for connections that one process opens to `target`,
    /// in whose name `net` opens them again.
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

    /// Returns where it listens.
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
        let conn = tokio::spawn(pass(stream, target, net.clone()));
        let mut open = lock(&open);
        open.retain(|c| !c.is_finished());
        open.push(conn.abort_handle());
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, net: Net) {
    // A connection that ends with its task is reset, as one of a lost process.
    let reset = SockRef::from(&near).set_linger(Some(Duration::ZERO));
    if reset.and_then(|()| near.set_nodelay(true)).is_err() {
        return;
    }
    let Ok(mut far) = net.connect(target).await else {
        return;
    };
    if tokio::io::copy_bidirectional(&mut near, &mut far)
        .await
        .is_ok()
    {
        // Both sides have closed, so nothing is left to be cut off.
        let _ = SockRef::from(&near).set_linger(None);
    }
}

/// Passes datagrams on to one process, by who sent them.
#[derive(Debug)]
pub struct DatagramRelay {
    task: JoinHandle<()>,
}

impl DatagramRelay {
    /// Listens at `listen` and passes on to `target` what the net of the sending
    /// address lets through; senders without one are passed on always.
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
            task: tokio::spawn(carry(socket, listen, target, senders)),
        })
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(
    socket: UdpSocket,
    listen: SocketAddr,
    target: SocketAddr,
    senders: HashMap<IpAddr, Net>,
) {
    let mut buffer = vec![0; DATAGRAM_SIZE];
    loop {
        // An error here is a target that was not there for an earlier datagram.
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let net = senders.get(&from.ip());
        if net.is_none_or(|net| net.passes(listen)) {
            // Datagrams may be lost.
            let _ = socket.send_to(&buffer[..size], target).await;
        }
    }
}
