//! A network connector whose faults are switched at run time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Domain;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wire::Connect;

use crate::pump::{LinkFaults, forward};
use crate::table::{Endpoint, FaultTable, Hops, Link};

/// Bytes that a connection buffers before writes wait for the other side.
const BUFFER_SIZE: usize = 256 << 10;

/// A cloneable connector over loopback. Clones share the faults, and each opens
/// connections on behalf of one process.
#[derive(Debug, Clone)]
pub struct Net {
    /// The faults that are in force.
    table: Arc<watch::Sender<FaultTable>>,
    /// The sequence number of the next connection.
    serial: Arc<AtomicU64>,
    /// The process on whose behalf connections are opened.
    origin: Endpoint,
}

impl Net {
    /// Creates a network with these delays and no faults, and returns a caller's
    /// connector.
    pub fn new(hops: Hops) -> Net {
        let table = FaultTable {
            hops,
            ..FaultTable::default()
        };
        Net {
            table: Arc::new(watch::Sender::new(table)),
            serial: Arc::default(),
            origin: Endpoint::client(),
        }
    }

    /// Returns a connector for another process on the same network.
    pub fn at(&self, origin: Endpoint) -> Net {
        Net {
            origin,
            ..self.clone()
        }
    }

    /// Registers the process that listens on an address. Delays and the faults
    /// of domains and processes only affect registered addresses.
    pub fn register(&self, addr: SocketAddr, at: Endpoint) {
        self.change(|t| {
            t.listeners.insert(addr, at);
        });
    }

    /// Changes the delays of bytes that are sent from now on.
    pub fn delay(&self, hops: Hops) {
        self.change(|t| t.hops = hops);
    }

    /// Cuts a failure domain off from the other domains and from the platform.
    /// Its processes and the callers still reach each other.
    pub fn cut(&self, domain: &Domain) {
        self.change(|t| {
            t.cut.insert(domain.clone());
        });
    }

    /// Ends [`Net::cut`] and delivers the bytes that were held.
    pub fn heal(&self, domain: &Domain) {
        self.change(|t| {
            t.cut.remove(domain);
        });
    }

    /// Holds all connections from and to a process.
    pub fn pause(&self, process: &str) {
        self.change(|t| {
            t.paused.insert(process.into());
        });
    }

    /// Ends [`Net::pause`].
    pub fn resume(&self, process: &str) {
        self.change(|t| {
            t.paused.remove(process);
        });
    }

    /// Sets whether everything from one process to another is held. A connection
    /// that the first process opened is held in both directions.
    pub fn partition(&self, from: &str, to: &str, on: bool) {
        let pair = (from.into(), to.into());
        self.change(|t| {
            match on {
                true => t.partitioned.insert(pair),
                false => t.partitioned.remove(&pair),
            };
        });
    }

    /// Returns whether a datagram of this process reaches an address now.
    pub(crate) fn passes(&self, to: SocketAddr) -> bool {
        let link = Link {
            from: self.origin.clone(),
            to,
            serial: u64::MAX,
        };
        self.table.borrow().is_open(&link)
    }

    /// Sets whether new connections to an address are refused.
    pub fn refuse(&self, addr: SocketAddr, on: bool) {
        self.change(|t| set_member(&mut t.refused, addr, on));
    }

    /// Sets whether new and open connections to an address are held.
    pub fn stall(&self, addr: SocketAddr, on: bool) {
        self.change(|t| set_member(&mut t.stalled, addr, on));
    }

    /// Sets whether connections to an address break when an answer arrives.
    pub fn drop_answers(&self, addr: SocketAddr, on: bool) {
        self.change(|t| set_member(&mut t.drop_answers, addr, on));
    }

    /// Stops all traffic on the connections that are open to an address now,
    /// without closing them.
    pub fn silence(&self, addr: SocketAddr) {
        let next = self.serial.load(Ordering::SeqCst);
        self.change(|t| {
            t.first_alive.insert(addr, next);
        });
    }

    fn change(&self, change: impl FnOnce(&mut FaultTable)) {
        self.table.send_modify(change);
    }
}

fn set_member(set: &mut kernel::HashSet<SocketAddr>, addr: SocketAddr, on: bool) {
    match on {
        true => set.insert(addr),
        false => set.remove(&addr),
    };
}

impl Connect for Net {
    type Stream = DuplexStream;

    async fn connect(&self, addr: SocketAddr) -> io::Result<DuplexStream> {
        let link = Arc::new(Link {
            from: self.origin.clone(),
            to: addr,
            serial: self.serial.fetch_add(1, Ordering::SeqCst),
        });
        let mut faults = LinkFaults {
            link,
            table: self.table.subscribe(),
        };
        faults.wait_open().await?;
        let (refused, hop) = {
            let table = faults.table.borrow();
            (table.refused.contains(&addr), table.hop(&faults.link))
        };
        // Opening takes one round trip.
        tokio::time::sleep(2 * hop).await;
        if refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let far = TcpStream::connect(addr).await?;
        far.set_nodelay(true)?;
        let (client, near) = tokio::io::duplex(BUFFER_SIZE);
        tokio::spawn(forward(near, far, faults));
        Ok(client)
    }
}
