//! Forwards the bytes of one connection, delayed or held by the network's delays
//! and faults, without a limit on throughput.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::table::{FaultTable, Link};

/// Maximum number of chunks in flight in one direction.
const MAX_CHUNKS: usize = 1024;

/// Maximum number of bytes read at once.
const CHUNK_SIZE: usize = 16 << 10;

/// A connection and the faults of its network, as they change.
#[derive(Clone)]
pub(crate) struct LinkFaults {
    /// The connection.
    pub(crate) link: Arc<Link>,
    /// The current faults. The channel closes when the network is dropped.
    pub(crate) table: watch::Receiver<FaultTable>,
}

impl LinkFaults {
    /// Waits until the faults let bytes through.
    pub(crate) async fn wait_open(&mut self) -> io::Result<()> {
        let link = self.link.clone();
        let open = self.table.wait_for(|t| t.is_open(&link)).await;
        open.map(drop).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Returns whether the faults hold bytes back now.
    fn is_held(&self) -> bool {
        !self.table.borrow().is_open(&self.link)
    }

    /// Returns the time of a round trip.
    fn round_trip(&self) -> Duration {
        2 * self.table.borrow().hop(&self.link)
    }

    /// Returns the time at which bytes sent now arrive.
    fn arrival(&self) -> Instant {
        Instant::now() + self.table.borrow().hop(&self.link)
    }

    fn drops_answers(&self) -> bool {
        self.table.borrow().drop_answers.contains(&self.link.to)
    }
}

/// Direction of the bytes on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the process that listens.
    ToServer,
    /// To the process that opened the connection.
    ToClient,
}

/// Bytes with the time at which they arrive; empty at the end of the stream.
type Chunk = (Instant, Bytes);

/// Forwards both directions until both have ended or one fails.
pub(crate) async fn forward(near: DuplexStream, far: TcpStream, faults: LinkFaults) {
    let (near_read, near_write) = tokio::io::split(near);
    let (far_read, far_write) = far.into_split();
    let up = forward_one_way(near_read, far_write, faults.clone(), Direction::ToServer);
    let down = forward_one_way(far_read, near_write, faults, Direction::ToClient);
    // Either error drops both streams, which closes the connection.
    let _ = tokio::try_join!(up, down);
}

async fn forward_one_way<R, W>(
    read: R,
    write: W,
    faults: LinkFaults,
    direction: Direction,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (tx, rx) = mpsc::channel(MAX_CHUNKS);
    let reading = read_chunks(read, tx, faults.clone());
    let writing = write_chunks(write, rx, faults, direction);
    tokio::try_join!(reading, writing).map(drop)
}

async fn read_chunks<R: AsyncRead + Unpin>(
    mut read: R,
    tx: mpsc::Sender<Chunk>,
    faults: LinkFaults,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_SIZE);
        let count = read.read_buf(&mut buf).await?;
        let chunk = (faults.arrival(), buf.freeze());
        if tx.send(chunk).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks<W: AsyncWrite + Unpin>(
    mut write: W,
    mut rx: mpsc::Receiver<Chunk>,
    mut faults: LinkFaults,
    direction: Direction,
) -> io::Result<()> {
    let mut held = false;
    while let Some((at, bytes)) = rx.recv().await {
        tokio::time::sleep_until(at).await;
        held |= faults.is_held();
        faults.wait_open().await?;
        if bytes.is_empty() {
            if held {
                // TCP sends what was held again before it sends the close.
                tokio::time::sleep(faults.round_trip()).await;
            }
            return write.shutdown().await;
        }
        if direction == Direction::ToClient && faults.drops_answers() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        write.write_all(&bytes).await?;
    }
    Ok(())
}
