//! The faults of the network, and which connections they concern.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use kernel::{Domain, HashMap, HashSet};

/// Where a process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Site {
    /// In a failure domain.
    Domain(Domain),
    /// With the callers, who reach every failure domain.
    Client,
    /// With the platform.
    Platform,
}

/// One end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Where the process runs.
    pub site: Site,
    /// The process.
    pub process: CompactString,
}

impl Endpoint {
    /// Names a process in a failure domain.
    pub fn inside(domain: &Domain, process: &str) -> Endpoint {
        Endpoint {
            site: Site::Domain(domain.clone()),
            process: process.into(),
        }
    }

    /// Names a caller.
    pub fn client() -> Endpoint {
        Endpoint {
            site: Site::Client,
            process: "client".into(),
        }
    }

    /// Names the platform.
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

/// A connection in the eyes of the table.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Who opened it.
    pub(crate) from: Endpoint,
    /// Where it leads.
    pub(crate) to: SocketAddr,
    /// Its number among all connections.
    pub(crate) serial: u64,
}

/// The switches.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Who listens at an address.
    pub(crate) places: HashMap<SocketAddr, Endpoint>,
    /// The delays.
    pub(crate) hops: Hops,
    /// The failure domains that are cut off.
    pub(crate) cut: HashSet<Domain>,
    /// The processes that are paused.
    pub(crate) paused: HashSet<CompactString>,
    /// The addresses at which no connection can be opened.
    pub(crate) refused: HashSet<SocketAddr>,
    /// The addresses to and from which nothing moves.
    pub(crate) stalled: HashSet<SocketAddr>,
    /// The addresses whose answers are lost with their connection.
    pub(crate) mute: HashSet<SocketAddr>,
    /// The pairs of processes of which nothing gets from the first to the second.
    pub(crate) parted: HashSet<(CompactString, CompactString)>,
    /// The first connection number that is not silent, by address.
    pub(crate) silent: HashMap<SocketAddr, u64>,
}

impl Table {
    /// Tells whether bytes move on a connection now.
    pub(crate) fn open(&self, link: &Link) -> bool {
        !self.silent(link) && !self.held(link)
    }

    fn silent(&self, link: &Link) -> bool {
        let first = self.silent.get(&link.to);
        first.is_some_and(|first| link.serial < *first)
    }

    fn held(&self, link: &Link) -> bool {
        let from = &link.from;
        if self.stalled.contains(&link.to) || self.paused.contains(&from.process) {
            return true;
        }
        let Some(to) = self.places.get(&link.to) else {
            return false;
        };
        let pair = (from.process.clone(), to.process.clone());
        self.paused.contains(&to.process)
            || self.parted.contains(&pair)
            || self.apart(&from.site, &to.site)
    }

    fn apart(&self, from: &Site, to: &Site) -> bool {
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
        let Some(to) = self.places.get(&link.to) else {
            return Duration::ZERO;
        };
        match (&link.from.site, &to.site) {
            (Site::Client, _) | (_, Site::Client) => self.hops.client,
            (Site::Domain(a), Site::Domain(b)) if a != b => self.hops.domains,
            _ => Duration::ZERO,
        }
    }
}
