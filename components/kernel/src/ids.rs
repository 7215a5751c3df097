//! Ids of domains, services, teams, machines, tasks, jobs and their owners.

use std::fmt;
use std::num::NonZeroU128;
use std::str::FromStr;

use compact_str::CompactString;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::text::text_id;

/// The reason why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than an id may be.
    TooLong {
        /// Maximum length in bytes.
        max: usize,
    },
    /// A byte is outside visible ASCII, or a comma or quotation mark.
    Char {
        /// The position of the first such byte, from 0.
        at: usize,
    },
    /// The text does not have the form of this id.
    Form,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "is empty"),
            IdError::TooLong { max } => write!(f, "is longer than {max} bytes"),
            IdError::Char { at } => write!(
                f,
                "has a character at byte {at} that is not visible ASCII or is one of , \""
            ),
            IdError::Form => write!(f, "does not have the form of this id"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_text(s: &str, max: usize) -> Result<(), IdError> {
    if s.is_empty() {
        return Err(IdError::Empty);
    }
    if s.len() > max {
        return Err(IdError::TooLong { max });
    }
    let is_forbidden = |b: u8| !b.is_ascii_graphic() || b == b',' || b == b'"';
    match s.bytes().position(is_forbidden) {
        Some(at) => Err(IdError::Char { at }),
        None => Ok(()),
    }
}

text_id! {
    /// A failure domain, such as `suva-a`.
    Domain, 32
}

text_id! {
    /// A service that minions offer, such as `quote`.
    Service, 64
}

text_id! {
    /// A team, whose quota limits its callers' jobs.
    Team, 64
}

text_id! {
    /// An entry VM, written `domain/name`.
    VmId, 96
}

text_id! {
    /// A minion, written `domain/name`.
    MinionId, 96
}

text_id! {
    /// A task within its job.
    TaskId, 64
}

/// The scope of a row of the sheet: one failure domain, or everywhere (`*`).
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Place {
    /// In all failure domains.
    Everywhere,
    /// In one failure domain.
    In(Domain),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Everywhere => write!(f, "*"),
            Place::In(domain) => write!(f, "{domain}"),
        }
    }
}

impl FromStr for Place {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Place, IdError> {
        match s {
            "*" => Ok(Place::Everywhere),
            _ => s.parse().map(Place::In),
        }
    }
}

/// The id of one process of an entry VM. It is drawn at random at every start,
/// so that a VM that restarts at its old address is never mistaken for the
/// previous process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(NonZeroU128);

impl Incarnation {
    /// Draws a new incarnation at random.
    pub fn draw(rng: &mut impl Rng) -> Incarnation {
        let bits: u128 = rng.random();
        Incarnation(NonZeroU128::new(bits).unwrap_or(NonZeroU128::MIN))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Incarnation, IdError> {
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 32 || !s.bytes().all(is_lower_hex) {
            return Err(IdError::Form);
        }
        let bits = u128::from_str_radix(s, 16).map_err(|_| IdError::Form)?;
        NonZeroU128::new(bits).map(Incarnation).ok_or(IdError::Form)
    }
}

/// A job key minted by one incarnation, the only one that may ever start the job
/// (docs/DESIGN.md#tickets). Written `t1.<incarnation>.<serial>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The incarnation that minted the ticket, and the only possible owner of the
    /// job.
    pub owner: Incarnation,
    /// The number of the ticket among its owner's tickets, from 1.
    pub serial: u64,
}

/// Prefix of every ticket's text.
const TICKET_PREFIX: &str = "t1.";

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TICKET_PREFIX}{}.{}", self.owner, self.serial)
    }
}

impl FromStr for Ticket {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Ticket, IdError> {
        let rest = s.strip_prefix(TICKET_PREFIX).ok_or(IdError::Form)?;
        let (owner, serial) = rest.split_once('.').ok_or(IdError::Form)?;
        let ticket = Ticket {
            owner: owner.parse()?,
            serial: serial.parse().map_err(|_| IdError::Form)?,
        };
        // Only the canonical text is valid: any other spelling of the ticket would
        // name a second job.
        if ticket.to_string() == s {
            Ok(ticket)
        } else {
            Err(IdError::Form)
        }
    }
}

/// The permanent name of a job: a ticket, or a key that the caller chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub enum JobKey {
    /// A key minted by the incarnation that it names.
    Ticket(Ticket),
    /// A key chosen by the caller and owned by the first VM to claim it in the log.
    Bare(CompactString),
}

impl JobKey {
    /// Maximum length of a key in bytes.
    pub const MAX: usize = 256;
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobKey::Ticket(ticket) => write!(f, "{ticket}"),
            JobKey::Bare(text) => f.write_str(text),
        }
    }
}

impl FromStr for JobKey {
    type Err = IdError;

    fn from_str(s: &str) -> Result<JobKey, IdError> {
        check_text(s, JobKey::MAX)?;
        if s.starts_with(TICKET_PREFIX) {
            return s.parse().map(JobKey::Ticket);
        }
        Ok(JobKey::Bare(CompactString::new(s)))
    }
}

impl TryFrom<CompactString> for JobKey {
    type Error = IdError;

    fn try_from(s: CompactString) -> Result<JobKey, IdError> {
        s.parse()
    }
}

impl From<JobKey> for CompactString {
    fn from(key: JobKey) -> CompactString {
        compact_str::format_compact!("{key}")
    }
}
