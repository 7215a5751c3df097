//! A connector whose faults are switched at run time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kernel::Domain;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wire::Connect;

use crate::pump::{View, carry};
use crate::table::{Endpoint, Hops, Link, Table};

/// The most bytes that a connection takes before it waits for the other side.
const BUFFER_SIZE: usize = 256 << 10;

/// A cloneable connector over loopback. Clones share the switches, and each
/// opens connections in the name of one process.
#[derive(Debug, Clone)]
pub struct Net {
    /// The switches.
    table: Arc<watch::Sender<Table>>,
    /// Numbers the connections.
    serial: Arc<AtomicU64>,
    /// Who opens connections.
    origin: Endpoint,
}

impl Net {
    /// Makes a network with these delays and no faults, for a caller.
    pub fn new(hops: Hops) -> Net {
        let table = Table {
            hops,
            ..Table::default()
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

    /// Tells who listens at an address. Faults that go by site or process
    /// concern registered addresses only.
    pub fn register(&self, addr: SocketAddr, at: Endpoint) {
        self.change(|t| {
            t.places.insert(addr, at);
        });
    }

    /// Changes the delays for what is sent from now on.
    pub fn delay(&self, hops: Hops) {
        self.change(|t| t.hops = hops);
    }

    /// Cuts a failure domain off from the others and from the platform. It
    /// still reaches itself and its callers.
    pub fn cut(&self, domain: &Domain) {
        self.change(|t| {
            t.cut.insert(domain.clone());
        });
    }

    /// Ends [`Net::cut`]. What was held is delivered.
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

    /// Lets nothing get from one process to another, or ends that. A connection
    /// that the first opened stands still both ways.
    pub fn part(&self, from: &str, to: &str, on: bool) {
        let pair = (from.into(), to.into());
        self.change(|t| {
            match on {
                true => t.parted.insert(pair),
                false => t.parted.remove(&pair),
            };
        });
    }

    /// Tells whether a datagram of this process gets to an address now.
    pub(crate) fn passes(&self, to: SocketAddr) -> bool {
        let link = Link {
            from: self.origin.clone(),
            to,
            serial: u64::MAX,
        };
        self.table.borrow().open(&link)
    }

    /// Refuses new connections to an address, or ends that.
    pub fn refuse(&self, addr: SocketAddr, on: bool) {
        self.change(|t| toggle(&mut t.refused, addr, on));
    }

    /// Holds new and open connections to an address, or ends that.
    pub fn stall(&self, addr: SocketAddr, on: bool) {
        self.change(|t| toggle(&mut t.stalled, addr, on));
    }

    /// Breaks connections to an address once an answer comes, or ends that.
    pub fn drop_answers(&self, addr: SocketAddr, on: bool) {
        self.change(|t| toggle(&mut t.mute, addr, on));
    }

    /// Makes the connections that are open now to an address silent for good.
    pub fn silence(&self, addr: SocketAddr) {
        let next = self.serial.load(Ordering::SeqCst);
        self.change(|t| {
            t.silent.insert(addr, next);
        });
    }

    fn change(&self, change: impl FnOnce(&mut Table)) {
        self.table.send_modify(change);
    }
}

fn toggle(set: &mut kernel::HashSet<SocketAddr>, addr: SocketAddr, on: bool) {
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
        let mut view = View {
            link,
            table: self.table.subscribe(),
        };
        view.passable().await?;
        let (refused, hop) = {
            let table = view.table.borrow();
            (table.refused.contains(&addr), table.hop(&view.link))
        };
        // Opening takes one round trip.
        tokio::time::sleep(2 * hop).await;
        if refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let far = TcpStream::connect(addr).await?;
        far.set_nodelay(true)?;
        let (user, near) = tokio::io::duplex(BUFFER_SIZE);
        tokio::spawn(carry(near, far, view));
        Ok(user)
    }
}
