//! Reading bodies within a bound of size and time.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

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

/// The most bytes of a body that is too long which are read and dropped, so
/// that the other side gets to read why it was refused.
const DISCARD_SIZE: usize = 64 << 20;

/// Reads a whole body.
///
/// # Errors
///
/// Fails when it is longer than `max` bytes, takes longer than `wait`, or the
/// connection breaks.
pub async fn read_body(mut body: Incoming, max: usize, wait: Duration) -> Result<Bytes, BodyError> {
    let until = Instant::now() + wait;
    let whole = timeout_at(until, Limited::new(&mut body, max).collect()).await;
    match whole {
        Err(_) => Err(BodyError::Slow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let _ = timeout_at(until, discard(body)).await;
            Err(BodyError::TooLong)
        }
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// Reads on without keeping anything.
async fn discard(mut body: Incoming) {
    let mut left = DISCARD_SIZE;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(size) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
