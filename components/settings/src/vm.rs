//! The settings of the entry VM itself: who and where it is.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use kernel::{Domain, Fault, Key, Kind, Parts, Plugin, Section, VmId};

/// Who and where the VM is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmConfig {
    /// The VM's id, `domain/name`.
    pub id: VmId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where it listens to callers and operators.
    pub callers: SocketAddr,
    /// Where it listens to its peers.
    pub peers: SocketAddr,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Peers to ask before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// How many threads carry requests.
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
        help: "Where the VM listens to callers, operators and the balancer.",
    },
    Key {
        name: "peers",
        kind: Kind::Address,
        default: None,
        help: "Where the VM listens to the other entry VMs.",
    },
    Key {
        name: "platform",
        kind: Kind::Address,
        default: None,
        help: "Where the platform's log and list of machines are.",
    },
    Key {
        name: "seeds",
        kind: Kind::Addresses,
        default: Some(""),
        help: "Peers to ask when the platform is away at the start.",
    },
    Key {
        name: "threads",
        kind: Kind::Count(1, 64),
        default: Some("2"),
        help: "How many threads carry requests.",
    },
];

/// Reads the section's texts and gathers what does not fit.
struct Reader<'a> {
    /// The section.
    section: &'a Section,
    /// What did not fit.
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn get<T: FromStr>(&mut self, key: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        match self.section.text(key)?.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(key, format_compact!("another text, since this one {e}"));
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

/// Checks what only several keys together show.
fn cross_check(config: &VmConfig, reader: &mut Reader<'_>) {
    let named = config.id.as_str().split_once('/');
    if named.is_none_or(|(domain, name)| domain != config.domain.as_str() || name.is_empty()) {
        let domain = &config.domain;
        reader.fault("id", format_compact!("{domain}/ and the VM's name"));
    }
    if config.callers == config.peers && config.peers.port() != 0 {
        reader.fault("peers", "another address than that of callers".into());
    }
    if config.peers.ip().is_unspecified() {
        reader.fault("peers", "the IP number by which peers reach the VM".into());
    }
}

inventory::submit! {
    Plugin { name: "vm", keys: KEYS, install }
}
