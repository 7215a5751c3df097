//! Settings of the entry VM itself: its identity and its addresses.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use kernel::{Domain, Fault, Key, Kind, Parts, Plugin, Section, VmId};

/// The identity and the addresses of the VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmConfig {
    /// The id of the VM, `domain/name`.
    pub id: VmId,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// Address at which the VM listens for callers and operators.
    pub callers: SocketAddr,
    /// Address at which the VM listens for peers.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers to ask before the platform's machine list is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that handle requests.
    pub threads: usize,
}

const KEYS: &[Key] = &[
    Key {
        name: "id",
        kind: Kind::Text,
        default: None,
        help: "The VM's id, written domain/name.",
    },
    Key {
        name: "domain",
        kind: Kind::Text,
        default: None,
        help: "The failure domain that the VM is in.",
    },
    Key {
        name: "callers",
        kind: Kind::Address,
        default: None,
        help: "Address at which the VM listens for callers, operators and the load balancer.",
    },
    Key {
        name: "peers",
        kind: Kind::Address,
        default: None,
        help: "Address at which the VM listens for other entry VMs.",
    },
    Key {
        name: "platform",
        kind: Kind::Address,
        default: None,
        help: "Address of the platform, which provides the log and the list of machines.",
    },
    Key {
        name: "seeds",
        kind: Kind::Addresses,
        default: Some(""),
        help: "Peers to ask if the platform can't be reached at startup.",
    },
    Key {
        name: "threads",
        kind: Kind::Count(1, 64),
        default: Some("2"),
        help: "Number of threads that handle requests.",
    },
];

/// Parses the values of the section and collects faults.
struct Reader<'a> {
    /// The section to read.
    section: &'a Section,
    /// The faults found so far.
    faults: Vec<Fault>,
}

impl Reader<'_> {
    /// Returns the parsed value of a key. Adds a fault if it can't be parsed.
    fn get<T: FromStr>(&mut self, key: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        match self.section.text(key)?.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(key, format_compact!("a valid value, but this one {e}"));
                None
            }
        }
    }

    fn fault(&mut self, key: &'static str, expected: CompactString) {
        self.faults.push(Fault {
            section: CompactString::const_new("vm"),
            key: CompactString::const_new(key),
            expected,
        });
    }
}

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    let mut reader = Reader {
        section,
        faults: Vec::new(),
    };
    if let Some(config) = read(&mut reader) {
        cross_check(&config, &mut reader);
        parts.put(config);
    }
    reader.faults
}

fn read(reader: &mut Reader<'_>) -> Option<VmConfig> {
    let id = reader.get("id");
    let domain = reader.get("domain");
    let seeds = reader.section.text("seeds").unwrap_or_default();
    Some(VmConfig {
        id: id?,
        domain: domain?,
        callers: reader.get("callers")?,
        peers: reader.get("peers")?,
        platform: reader.get("platform")?,
        seeds: seeds.split(',').flat_map(|s| s.trim().parse()).collect(),
        threads: reader.get("threads")?,
    })
}

/// Checks rules that involve several keys.
fn cross_check(config: &VmConfig, reader: &mut Reader<'_>) {
    let parts = config.id.as_str().split_once('/');
    if parts.is_none_or(|(domain, name)| domain != config.domain.as_str() || name.is_empty()) {
        let domain = &config.domain;
        reader.fault("id", format_compact!("{domain}/ followed by the VM's name"));
    }
    if config.callers == config.peers && config.peers.port() != 0 {
        reader.fault("peers", "an address other than that of callers".into());
    }
    if config.peers.ip().is_unspecified() {
        reader.fault("peers", "the IP address at which peers reach the VM".into());
    }
}

inventory::submit! {
    Plugin { name: "vm", keys: KEYS, install }
}
