//! The records of the claims' stream, and what VMs tell each other of claims.

use std::fmt;
use std::str::FromStr;

use kernel::{IdError, Incarnation, JobKey, Offset, VmId, key_hash};
use serde::{Deserialize, Serialize};

/// A key that a caller made up, in 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &JobKey) -> KeyHash {
        match key {
            JobKey::Bare(text) => KeyHash(key_hash(text.as_bytes())),
            JobKey::Ticket(ticket) => KeyHash(key_hash(ticket.to_string().as_bytes())),
        }
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(s: &str) -> Result<KeyHash, IdError> {
        u128::from_str_radix(s, 16)
            .map(KeyHash)
            .map_err(|_| IdError::Form)
    }
}

impl From<KeyHash> for String {
    fn from(key: KeyHash) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = IdError;

    fn try_from(s: String) -> Result<KeyHash, IdError> {
        s.parse()
    }
}

/// Who owns a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The incarnation that may start the job.
    pub incarnation: Incarnation,
    /// The VM that it runs on.
    pub vm: VmId,
}

/// A claim to be given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The key.
    pub key: KeyHash,
    /// The offset of the claim that ends.
    pub claim: Offset,
}

/// One record of the claims' stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimRecord {
    /// Claims keys that nobody owns yet.
    Claim {
        /// Who claims.
        by: Owner,
        /// The keys.
        keys: Vec<KeyHash>,
    },
    /// Gives up keys whose jobs were never started. It names the claim that it
    /// ends, so that a release that turns up late can't end a newer claim.
    Release {
        /// Who owned the keys.
        by: Owner,
        /// The keys.
        keys: Vec<Release>,
    },
}

/// Why a record of the claims' stream is passed over.
#[derive(Debug)]
pub enum ClaimError {
    /// It can't be read. Every reader passes over it alike.
    Broken(serde_json::Error),
    /// Records between the last one applied and this one are missing.
    Gap {
        /// The offset that should have come.
        wanted: Offset,
    },
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimError::Broken(e) => write!(f, "the claim can't be read: {e}"),
            ClaimError::Gap { wanted } => write!(f, "claims from offset {wanted} on are missing"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// What a record decided for keys that this VM waits on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Decided {
    /// Keys that this VM owns now and has been waiting for.
    pub won: Vec<KeyHash>,
    /// Keys that another VM owns.
    pub lost: Vec<(KeyHash, Owner)>,
    /// Keys that this VM owns but has given up waiting for; they are to be
    /// released.
    pub stray: Vec<Release>,
}

/// What one VM knows of the claims, to be taken over by another that could not
/// read them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The oldest offset whose claims are covered.
    pub first: Offset,
    /// The offset up to which claims are covered.
    pub next: Offset,
    /// The owners, each once.
    pub owners: Vec<Owner>,
    /// The keys in the order of their claims.
    pub keys: Vec<(KeyHash, Held)>,
}

/// How a key is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The index of the owner.
    pub owner: u32,
    /// The offset of the claim.
    pub claim: Offset,
}

/// What a VM finds when it wants to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enlisted {
    /// Nobody owns it; the VM waits for it from now on.
    Waiting,
    /// It is owned already. A VM that finds itself here must not start the job,
    /// since a claim that it waited for is told to the waiter.
    Owned(Owner),
    /// This VM is giving it up, so that it can't be had now.
    Leaving,
}
