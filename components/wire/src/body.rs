//! Reads HTTP bodies with a size limit and a timeout.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::connections::Activity;
use crate::memory::{COVERED_BYTES, MemoryBudget, Reservation};

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The body did not arrive before the timeout.
    Timeout,
    /// The connection closed or failed before the end of the body.
    Broken,
    /// The memory budget for requests is spent.
    NoMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is too long",
            BodyError::Timeout => "the body did not arrive in time",
            BodyError::Broken => "the connection broke before the end of the body",
            BodyError::NoMemory => "no memory for the body is free",
        })
    }
}

impl std::error::Error for BodyError {}

/// Maximum number of bytes of an oversized body that are read and discarded, so
/// that the sender can still read the response that refuses it.
const DISCARD_LIMIT: usize = 64 << 20;

/// Reads a whole body.
///
/// # Errors
///
/// Fails when the body is longer than `max` bytes, when reading it takes longer
/// than `timeout`, or when the connection breaks.
pub async fn read_body<B>(body: B, max: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    read_within(body, max, timeout, &mut Reservation::unlimited()).await
}

/// Body of a request, which is read within the server's memory budget, if it has one.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    /// The server's budget; `None` if its clients are trusted.
    budget: Option<MemoryBudget>,
    activity: Arc<Activity>,
}

impl RequestBody {
    pub(crate) fn new(
        body: Incoming,
        budget: Option<MemoryBudget>,
        activity: Arc<Activity>,
    ) -> RequestBody {
        activity.set_answering(body.is_end_stream());
        RequestBody {
            body,
            budget,
            activity,
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails like [`read_body`], and when the memory budget is spent.
    pub async fn read(self, max: usize, timeout: Duration) -> Result<HeldBody, BodyError> {
        let memory = self.budget.as_ref().map(MemoryBudget::reservation);
        let mut memory = memory.unwrap_or_else(Reservation::unlimited);
        let bytes = read_within(self.body, max, timeout, &mut memory).await?;
        self.activity.set_answering(true);
        Ok(HeldBody { bytes, memory })
    }
}

/// A body with the memory that is reserved for it.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    memory: Reservation,
}

impl HeldBody {
    /// Drops the body and returns its reservation, for what was decoded from it.
    pub fn into_reservation(self) -> Reservation {
        self.memory
    }
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

async fn read_within<B>(
    mut body: B,
    max: usize,
    timeout: Duration,
    memory: &mut Reservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let deadline = Instant::now() + timeout;
    let collected = timeout_at(deadline, collect(&mut body, max, memory)).await;
    let result = collected.unwrap_or(Err(BodyError::Timeout));
    if let Err(BodyError::TooLong | BodyError::NoMemory) = result {
        // Nothing is held while the rest is discarded.
        let _ = memory.resize(0);
        let _ = timeout_at(deadline, discard(body)).await;
    }
    result
}

/// Copies the parts of a body into one buffer, as each part would keep the read buffer
/// that it is a piece of. A body that arrived in one part is not copied.
async fn collect<B>(body: &mut B, max: usize, memory: &mut Reservation) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let part = frame.into_data().unwrap_or_default();
        if part.len() > max - whole.len() {
            return Err(BodyError::TooLong);
        }
        if whole.is_empty() && body.is_end_stream() {
            return Ok(part);
        }
        let needed = whole.len() + part.len();
        if needed > whole.capacity() {
            let longest = body
                .size_hint()
                .upper()
                .map_or(max, |rest| needed.saturating_add(rest as usize).min(max));
            let capacity = next_capacity(needed).min(longest);
            memory.resize(capacity).map_err(|_| BodyError::NoMemory)?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&part);
    }
    Ok(Bytes::from(whole))
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

/// Returns the capacity of a buffer that must hold `needed` bytes. Large steps leave fewer
/// gaps in the heap than doubling does.
fn next_capacity(needed: usize) -> usize {
    let mut capacity = COVERED_BYTES;
    while capacity < needed {
        capacity *= 4;
    }
    capacity
}

/// Reads and drops the rest of a body, up to [`DISCARD_LIMIT`] bytes.
async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut remaining = DISCARD_LIMIT;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(size) {
            Some(rest) => remaining = rest,
            None => return,
        }
    }
}
