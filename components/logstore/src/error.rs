//! What can go wrong with the platform.

use std::fmt;

use wire::CallError;

/// Why an append has no offset to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The record was not appended: nothing was sent, or the log said no.
    Refused,
    /// No answer came, so the record may have been appended.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AppendError::Refused => "the log did not take the record",
            AppendError::Unknown => "the log did not say whether it took the record",
        })
    }
}

impl std::error::Error for AppendError {}

/// Why nothing could be read.
#[derive(Debug)]
pub enum ReadError {
    /// The platform could not be reached, or its answer did not come.
    Away(CallError),
    /// The platform refused, with this HTTP status.
    Status(u16),
    /// The answer is not what the platform's protocol says.
    Broken(serde_json::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Away(e) => write!(f, "the platform is away: {e}"),
            ReadError::Status(code) => write!(f, "the platform answered status {code}"),
            ReadError::Broken(e) => write!(f, "the platform's answer can't be read: {e}"),
        }
    }
}

impl std::error::Error for ReadError {}
