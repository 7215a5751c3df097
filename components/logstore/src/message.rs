//! Messages of the platform's protocol, JSON over HTTP (docs/PLATFORM.md).

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;
use kernel::{Cores, Domain, IdError, MinionId, Offset, Service, Slots, VmId};
use serde::{Deserialize, Serialize};

/// Path prefix of the streams: `GET` and `POST` `/v1/streams/<name>`.
pub const STREAM_PATH: &str = "/v1/streams/";

/// Path of the machine list.
pub const LIST_PATH: &str = "/v1/machines";

/// A stream of the platform's log. Each stream has its own offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stream {
    /// Changes of the sheet, published by operators.
    Sheet,
    /// Claims to job keys that callers chose themselves.
    Claims,
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stream::Sheet => "sheet",
            Stream::Claims => "claims",
        })
    }
}

impl FromStr for Stream {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Stream, IdError> {
        match s {
            "sheet" => Ok(Stream::Sheet),
            "claims" => Ok(Stream::Claims),
            _ => Err(IdError::Form),
        }
    }
}

/// The response to a successful append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The offset of the record.
    pub offset: Offset,
    /// The content of the record, which is always JSON.
    pub data: CompactString,
}

/// A part of a stream, returned by a read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chunk {
    /// The oldest offset that the stream still has.
    pub first: Offset,
    /// The offset that the next appended record will get.
    pub end: Offset,
    /// The records in order of offset, from the requested offset or `first`,
    /// whichever is later.
    pub records: Vec<Record>,
}

/// Whether a machine should get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// The machine takes work.
    Live,
    /// The machine is leaving and must get no new work.
    Leaving,
}

/// An entry VM in the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The id of the VM.
    pub id: VmId,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// Whether the VM is leaving.
    pub presence: Presence,
}

/// A minion in the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRow {
    /// The id of the minion.
    pub id: MinionId,
    /// The failure domain of the minion.
    pub domain: Domain,
    /// The address at which the minion accepts tasks.
    pub addr: SocketAddr,
    /// Whether the minion is leaving.
    pub presence: Presence,
    /// The services that the minion offers.
    pub services: Vec<Service>,
    /// Maximum number of tasks that the minion runs at once.
    pub slots: Slots,
    /// Number of cores of the worker that the minion runs on.
    pub cores: Cores,
}

/// The platform's list of machines, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The entry VMs.
    pub vms: Vec<VmRow>,
    /// The minions.
    pub minions: Vec<MinionRow>,
}
