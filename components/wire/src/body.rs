//! Reads HTTP bodies with a size limit and a timeout.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive before the timeout.
    Timeout,
    /// The connection closed or failed before the end of the body.
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is too long",
            BodyError::Timeout => "the body did not arrive in time",
            BodyError::Broken => "the connection broke before the end of the body",
        })
    }
}

impl std::error::Error for BodyError {}

/// Maximum number of bytes of an oversized body that are read and discarded, so
/// that the sender can still read the response that refuses it.
const DISCARD_LIMIT: usize = 64 << 20;

/// Reads a collected body.
///
/// # Errors
///
/// Fails when the body is longer than `max` bytes, when reading it takes longer
/// than `timeout`, or when the connection breaks.
pub async fn read_body(
    mut body: Incoming,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let deadline = Instant::now() + timeout;
    let collected = timeout_at(deadline, Limited::new(&mut body, max).collect()).await;
    match collected {
        Err(_) => Err(BodyError::Timeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let _ = timeout_at(deadline, discard(body)).await;
            Err(BodyError::TooLong)
        }
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Reads a body of any duration whose parts arrive at most `gap` apart.
///
/// # Errors
///
/// Fails when the body is longer than `max` bytes, when no part of it arrives for
/// longer than `gap`, or when the connection breaks.
pub async fn read_parts(mut body: Incoming, max: usize, gap: Duration) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    loop {
        let frame = match timeout(gap, body.frame()).await {
            Err(_) => return Err(BodyError::Timeout),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let part = frame.into_data().unwrap_or_default();
        if whole.len() + part.len() > max {
            return Err(BodyError::TooLong);
        }
        whole.extend_from_slice(&part);
    }
}

/// Reads and drops the rest of a body, up to [`DISCARD_LIMIT`] bytes.
async fn discard(mut body: Incoming) {
    let mut remaining = DISCARD_LIMIT;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(size) {
            Some(rest) => remaining = rest,
            None => return,
        }
    }
}
