//! Reading bodies within a bound of size and time.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It did not arrive in time.
    Slow,
    /// The connection broke.
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is too long",
            BodyError::Slow => "the body did not arrive in time",
            BodyError::Broken => "the connection broke within the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// Reads a whole body.
///
/// # Errors
///
/// Fails when it is longer than `max` bytes, takes longer than `wait`, or the
/// connection breaks.
pub async fn read_body(body: Incoming, max: usize, wait: Duration) -> Result<Bytes, BodyError> {
    let whole = Limited::new(body, max).collect();
    match tokio::time::timeout(wait, whole).await {
        Err(_) => Err(BodyError::Slow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
