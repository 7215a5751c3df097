//! The platform's messages, JSON over HTTP (docs/PLATFORM.md).

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;
use kernel::{Cores, Domain, IdError, MinionId, Offset, Service, Slots, VmId};
use serde::{Deserialize, Serialize};

/// Where streams are: `GET` and `POST` `/v1/streams/<name>`.
pub const STREAM_PATH: &str = "/v1/streams/";

/// Where the list of machines is.
pub const LIST_PATH: &str = "/v1/machines";

/// One of the log's streams. Each has offsets of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stream {
    /// Changes of the sheet, published by operators.
    Sheet,
    /// Claims to keys that callers made up.
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

/// The answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset.
    pub offset: Offset,
    /// Its text; every record is JSON.
    pub data: CompactString,
}

/// Some records in order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chunk {
    /// The oldest offset that the stream still keeps.
    pub first: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
    /// The records asked for, from the later of the offset asked for and
    /// `first`.
    pub records: Vec<Record>,
}

/// Whether a machine is to be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It takes work.
    Live,
    /// It is to get no new work.
    Leaving,
}

/// An entry VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub id: VmId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
    /// Whether it is leaving.
    pub presence: Presence,
}

/// A minion in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRow {
    /// The minion.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where it takes tasks.
    pub addr: SocketAddr,
    /// Whether it is leaving.
    pub presence: Presence,
    /// The services that it offers.
    pub services: Vec<Service>,
    /// How many tasks it runs at once.
    pub slots: Slots,
    /// The cores of the worker that it runs on.
    pub cores: Cores,
}

/// The platform's list of machines, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// The entry VMs.
    pub vms: Vec<VmRow>,
    /// The minions.
    pub minions: Vec<MinionRow>,
}
