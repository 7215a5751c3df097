//! Carries the bytes of one connection, each as late as the network's delay
//! and faults make it, without a limit on throughput.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::table::{Link, Table};

/// The most pieces under way in one direction.
const MAX_PIECES: usize = 1024;

/// The most bytes read at once.
const PIECE_SIZE: usize = 16 << 10;

/// What a connection needs to know of the network.
#[derive(Clone)]
pub(crate) struct View {
    /// The connection.
    pub(crate) link: Arc<Link>,
    /// The switches. It ends when the network is dropped.
    pub(crate) table: watch::Receiver<Table>,
}

impl View {
    /// Waits until bytes move.
    pub(crate) async fn passable(&mut self) -> io::Result<()> {
        let link = self.link.clone();
        let open = self.table.wait_for(|t| t.open(&link)).await;
        open.map(drop).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    fn arrival(&self) -> Instant {
        Instant::now() + self.table.borrow().hop(&self.link)
    }

    fn loses_answers(&self) -> bool {
        self.table.borrow().mute.contains(&self.link.to)
    }
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// From who opened the connection.
    Up,
    /// To who opened the connection.
    Down,
}

/// Some bytes and when they arrive; no bytes mean the end.
type Piece = (Instant, Bytes);

/// Carries both directions until both have ended or one breaks.
pub(crate) async fn carry(near: DuplexStream, far: TcpStream, view: View) {
    let (near_read, near_write) = tokio::io::split(near);
    let (far_read, far_write) = far.into_split();
    let up = one_way(near_read, far_write, view.clone(), Way::Up);
    let down = one_way(far_read, near_write, view, Way::Down);
    // Either error drops both streams, which closes the connection.
    let _ = tokio::try_join!(up, down);
}

async fn one_way<R, W>(read: R, write: W, view: View, way: Way) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (tx, rx) = mpsc::channel(MAX_PIECES);
    let taking = take(read, tx, view.clone());
    let giving = give(write, rx, view, way);
    tokio::try_join!(taking, giving).map(drop)
}

async fn take<R: AsyncRead + Unpin>(
    mut read: R,
    tx: mpsc::Sender<Piece>,
    view: View,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(PIECE_SIZE);
        let count = read.read_buf(&mut buf).await?;
        let piece = (view.arrival(), buf.freeze());
        if tx.send(piece).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn give<W: AsyncWrite + Unpin>(
    mut write: W,
    mut rx: mpsc::Receiver<Piece>,
    mut view: View,
    way: Way,
) -> io::Result<()> {
    while let Some((at, bytes)) = rx.recv().await {
        tokio::time::sleep_until(at).await;
        view.passable().await?;
        if bytes.is_empty() {
            return write.shutdown().await;
        }
        if way == Way::Down && view.loses_answers() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        write.write_all(&bytes).await?;
    }
    Ok(())
}
