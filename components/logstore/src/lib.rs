//! The platform as pomelopost sees it: an append-only log of streams, and a
//! lagging list of machines. Both are plugged in by trait, so that decisions
//! can be driven without a network.

mod cache;
mod client;
mod error;
mod message;

pub use client::HttpPlatform;
pub use error::{AppendError, ReadError};
pub use message::{
    Appended, Chunk, LIST_PATH, Listing, MinionRow, Presence, Record, STREAM_PATH, Stream, VmRow,
};

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use kernel::{Millis, Offset};

/// The platform's services.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Appends a record and answers its offset.
    ///
    /// # Errors
    ///
    /// [`AppendError::Unknown`] means that the record may have been appended;
    /// whoever cares finds it again by reading.
    fn append(
        &self,
        stream: Stream,
        record: Bytes,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads records from an offset on. With none there yet, it waits up to
    /// `wait` for one.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be reached or its answer can't be read.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Millis,
    ) -> impl Future<Output = Result<Chunk, ReadError>> + Send;

    /// Reads the list of machines, which lags. While it stays the same, so does
    /// the `Arc`, by which callers see that there is nothing to do.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its answer can't be read.
    fn list(&self) -> impl Future<Output = Result<Arc<Listing>, ReadError>> + Send;
}
