//! Errors of calls to the platform.

use std::fmt;

use wire::CallError;

/// Why an append returned no offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendError {
    /// The record was not appended, because the request was not sent or the log
    /// refused it.
    Refused,
    /// No usable response arrived, so the record may have been appended.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AppendError::Refused => "the record was not appended to the log",
            AppendError::Unknown => "unknown whether the record was appended to the log",
        })
    }
}

impl std::error::Error for AppendError {}

/// Why a read from the platform failed.
#[derive(Debug)]
pub enum ReadError {
    /// The platform could not be reached, or its response did not arrive.
    Unreachable(CallError),
    /// The platform responded with this HTTP status code instead of 200.
    Status(u16),
    /// The response body is not valid JSON of the expected type.
    Malformed(serde_json::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Unreachable(e) => write!(f, "the platform can't be reached: {e}"),
            ReadError::Status(code) => write!(f, "the platform responded with status {code}"),
            ReadError::Malformed(e) => write!(f, "malformed response from the platform: {e}"),
        }
    }
}

impl std::error::Error for ReadError {}
