//! The faults of the network and the connections that they affect.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kernel::{Domain, HashMap, HashSet};

/// The part of the network in which a process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Site {
    /// A failure domain.
    Domain(Domain),
    /// The callers' part, which reaches every failure domain.
    Client,
    /// The platform's part.
    Platform,
}

/// One end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The part of the network in which the process runs.
    pub site: Site,
    /// The name of the process.
    pub process: CompactString,
}

impl Endpoint {
    /// Returns the endpoint of a process in a failure domain.
    pub fn inside(domain: &Domain, process: &str) -> Endpoint {
        Endpoint {
            site: Site::Domain(domain.clone()),
            process: process.into(),
        }
    }

    /// Returns the endpoint of a caller.
    pub fn client() -> Endpoint {
        Endpoint {
            site: Site::Client,
            process: "client".into(),
        }
    }

    /// Returns the endpoint of the platform.
    pub fn platform() -> Endpoint {
        Endpoint {
            site: Site::Platform,
            process: "platform".into(),
        }
    }
}

/// One-way delays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hops {
    /// Between two failure domains.
    pub domains: Duration,
    /// Between a caller and anything else.
    pub client: Duration,
}

/// A connection, as the fault table identifies it.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// The process that opened the connection.
    pub(crate) from: Endpoint,
    /// The address that it was opened to.
    pub(crate) to: SocketAddr,
    /// Its sequence number among all connections of the network.
    pub(crate) serial: u64,
}

/// The faults and delays that are in force.
#[derive(Debug, Default)]
pub(crate) struct FaultTable {
    /// The process that listens on each registered address.
    pub(crate) listeners: HashMap<SocketAddr, Endpoint>,
    /// The delays.
    pub(crate) hops: Hops,
    /// The failure domains that are cut off.
    pub(crate) cut: HashSet<Domain>,
    /// The processes that are paused.
    pub(crate) paused: HashSet<CompactString>,
    /// The addresses that refuse new connections.
    pub(crate) refused: HashSet<SocketAddr>,
    /// The addresses whose connections are held in both directions.
    pub(crate) stalled: HashSet<SocketAddr>,
    /// The addresses whose connections break at the first byte of an answer.
    pub(crate) drop_answers: HashSet<SocketAddr>,
    /// The pairs of processes in which the first doesn't reach the second.
    pub(crate) partitioned: HashSet<(CompactString, CompactString)>,
    /// The lowest sequence number of a connection that is not silent, by address.
    pub(crate) first_alive: HashMap<SocketAddr, u64>,
}

impl FaultTable {
    /// Returns whether bytes move on a connection now.
    pub(crate) fn is_open(&self, link: &Link) -> bool {
        !self.is_silent(link) && !self.is_held(link)
    }

    fn is_silent(&self, link: &Link) -> bool {
        let first = self.first_alive.get(&link.to);
        first.is_some_and(|first| link.serial < *first)
    }

    fn is_held(&self, link: &Link) -> bool {
        let from = &link.from;
        if self.stalled.contains(&link.to) || self.paused.contains(&from.process) {
            return true;
        }
        let Some(to) = self.listeners.get(&link.to) else {
            return false;
        };
        let pair = (from.process.clone(), to.process.clone());
        self.paused.contains(&to.process)
            || self.partitioned.contains(&pair)
            || self.is_separated(&from.site, &to.site)
    }

    fn is_separated(&self, from: &Site, to: &Site) -> bool {
        match (from, to) {
            (Site::Domain(a), Site::Domain(b)) => a != b && (self.is_cut(a) || self.is_cut(b)),
            (Site::Domain(d), Site::Platform) | (Site::Platform, Site::Domain(d)) => self.is_cut(d),
            _ => false,
        }
    }

    fn is_cut(&self, domain: &Domain) -> bool {
        self.cut.contains(domain)
    }

    /// Returns the one-way delay of a connection.
    pub(crate) fn hop(&self, link: &Link) -> Duration {
        let Some(to) = self.listeners.get(&link.to) else {
            return Duration::ZERO;
        };
        match (&link.from.site, &to.site) {
            (Site::Client, _) | (_, Site::Client) => self.hops.client,
            (Site::Domain(a), Site::Domain(b)) if a != b => self.hops.domains,
            _ => Duration::ZERO,
        }
    }
}
