//! Interface to the platform: an append-only log of streams and a list of
//! machines that lags behind. Both are behind the trait [`Platform`], so that
//! tests can run without a network.

mod cache;
mod client;
mod error;
mod message;

pub use client::HttpPlatform;
pub use error::{AppendError, ReadError};
pub use message::{
    Appended, Chunk, LIST_PATH, MachineList, MinionRow, Presence, Record, STREAM_PATH, Stream,
    VmRow,
};

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use kernel::{Millis, Offset};

/// The services of the platform that pomelopost uses.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`AppendError::Unknown`] means that the record may have been appended; the
    /// caller can find out by reading the stream.
    fn append(
        &self,
        stream: Stream,
        record: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads the records from an offset on. If there are none yet, the platform
    /// waits up to `wait` for the next one.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be reached or its response is malformed.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> impl Future<Output = Result<Chunk, ReadError>> + Send;

    /// Reads the machine list, which may be out of date. While the list is
    /// unchanged, the same `Arc` is returned, so that callers can compare
    /// pointers.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its response is malformed.
    fn list(&self) -> impl Future<Output = Result<Arc<MachineList>, ReadError>> + Send;
}
