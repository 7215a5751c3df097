//! Records of the claims' stream, and the messages about claims between VMs.

use std::fmt;
use std::str::FromStr;

use kernel::{IdError, Incarnation, JobKey, Offset, VmId, key_hash};
use serde::{Deserialize, Serialize};

/// 16-byte hash of a job's key.
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

/// Owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Incarnation that may start the job.
    pub incarnation: Incarnation,
    /// VM on which the incarnation runs.
    pub vm: VmId,
}

/// The release of one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Key that was claimed.
    pub key: KeyHash,
    /// Offset of the claim to release.
    pub claim: Offset,
}

/// A record of the claims' stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimRecord {
    /// Claims keys that nobody owns yet.
    Claim {
        /// VM that claims the keys.
        by: Owner,
        /// Keys to claim.
        keys: Vec<KeyHash>,
    },
    /// Releases keys whose jobs were never started. It names the claims to
    /// release, so that a late release can't end a newer claim.
    Release {
        /// VM that owned the keys.
        by: Owner,
        /// Claims to release.
        keys: Vec<Release>,
    },
}

/// Reason why a record of the claims' stream was not applied.
#[derive(Debug)]
pub enum ClaimError {
    /// The record can't be parsed. Every reader skips it.
    Malformed(serde_json::Error),
    /// Records between the last applied one and this one are missing.
    Gap {
        /// Offset that was expected next.
        wanted: Offset,
    },
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClaimError::Malformed(e) => write!(f, "can't parse the claim record: {e}"),
            ClaimError::Gap { wanted } => {
                write!(f, "claim records from offset {wanted} on are missing")
            }
        }
    }
}

impl std::error::Error for ClaimError {}

/// Results of applied records for the keys of this VM.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Decisions {
    /// Keys that this VM waited for and owns now.
    pub won: Vec<KeyHash>,
    /// Keys that this VM waited for and another VM owns.
    pub lost: Vec<(KeyHash, Owner)>,
    /// Claims of this VM that succeeded after it stopped waiting; they must be
    /// released.
    pub unwanted: Vec<Release>,
}

/// Snapshot of one VM's claims, for another VM that can't read them from the log
/// any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Oldest offset whose claims are covered.
    pub first: Offset,
    /// Offset up to which claims are covered, exclusive.
    pub next: Offset,
    /// Owners, without duplicates.
    pub owners: Vec<Owner>,
    /// Owned keys in the order of their claims.
    pub keys: Vec<(KeyHash, KeyClaim)>,
}

/// The claim by which a key is owned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Index of the owner in the list of owners.
    pub owner: u32,
    /// Offset of the claim.
    pub claim: Offset,
}

/// State of a key when this VM wants to claim it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No VM owns the key; this VM is now registered as waiting for it.
    Waiting,
    /// The key is owned already. If the owner is this VM itself, the caller must
    /// not start the job: the result of the claim goes to the one that waits for
    /// it.
    Owned(Owner),
    /// This VM is releasing the key, so it can't be claimed now.
    Releasing,
}
