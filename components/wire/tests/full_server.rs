//! A server whose connections are all taken: those that wait for their clients give way to
//! new ones, those that are being answered do not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use wire::{Handler, RequestBody, Server, ServerLimits};

/// Time within which everything in these tests happens.
const TIMEOUT: Duration = Duration::from_secs(20);

const CONNECTIONS: usize = 3;

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Tells of each request that has arrived whole, and answers when it gets a permit.
#[derive(Clone)]
struct Gate {
    arrived: mpsc::UnboundedSender<()>,
    answers: Arc<Semaphore>,
}

impl Handler for Gate {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let body = req.into_body().read(100, TIMEOUT).await;
        let _ = self.arrived.send(());
        self.answers.acquire().await.unwrap().forget();
        Response::new(Full::from(body.map_or(0, |b| b.len()).to_string()))
    }
}

struct Site {
    addr: SocketAddr,
    arrived: mpsc::UnboundedReceiver<()>,
    answers: Arc<Semaphore>,
}

async fn start() -> Site {
    let limits = ServerLimits {
        connections: CONNECTIONS,
        header_wait: TIMEOUT * 10,
        ..ServerLimits::default()
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, limits).await.unwrap();
    let addr = server.addr().unwrap();
    let (arrived_tx, arrived) = mpsc::unbounded_channel();
    let answers = Arc::new(Semaphore::new(0));
    let gate = Gate {
        arrived: arrived_tx,
        answers: answers.clone(),
    };
    tokio::spawn(server.serve(gate));
    Site {
        addr,
        arrived,
        answers,
    }
}

/// Connects and sends some bytes, a little later than all before.
async fn connect(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    stream
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut status = [0; 12];
    timeout(TIMEOUT, stream.read_exact(&mut status))
        .await
        .unwrap()
        .unwrap();
    String::from_utf8_lossy(&status).into_owned()
}

/// Returns whether the server has closed a connection, without waiting for it.
fn is_closed(stream: &TcpStream) -> bool {
    match stream.try_read(&mut [0; 1]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// The connection that has been silent longest gives way, in each state in which it waits
/// for its client.
#[tokio::test]
async fn silent_gives_way() {
    let unfinished: [&[u8]; 3] = [
        b"",
        b"GET / HTTP/1.1\r\nho",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n12345678",
    ];
    for bytes in unfinished {
        let mut site = start().await;
        site.answers.add_permits(1);
        let mut first = connect(site.addr, bytes).await;
        let second = connect(site.addr, bytes).await;
        let third = connect(site.addr, bytes).await;
        let mut last = connect(site.addr, GET).await;
        assert_eq!(read_status(&mut last).await, "HTTP/1.1 200");
        site.arrived.recv().await.unwrap();
        let closed = timeout(TIMEOUT, first.read(&mut [0; 1])).await.unwrap();
        assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
        assert!(!is_closed(&second) && !is_closed(&third));
    }
}

/// A client that goes on with its request is not the one to give way.
#[tokio::test]
async fn progress_counts() {
    let mut site = start().await;
    site.answers.add_permits(2);
    let mut first = connect(site.addr, b"GET / HT").await;
    let mut second = connect(site.addr, b"GET / HT").await;
    let _third = connect(site.addr, b"GET / HT").await;
    first.write_all(b"TP/1.1\r\nhost").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut last = connect(site.addr, GET).await;
    assert_eq!(read_status(&mut last).await, "HTTP/1.1 200");
    let closed = timeout(TIMEOUT, second.read(&mut [0; 1])).await.unwrap();
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    first.write_all(b": x\r\n\r\n").await.unwrap();
    assert_eq!(read_status(&mut first).await, "HTTP/1.1 200");
    site.arrived.recv().await.unwrap();
}

/// Connections whose whole request is being answered are kept; a new one waits until one
/// of them has its answer.
#[tokio::test]
async fn answered_stays() {
    let mut site = start().await;
    let post = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody";
    let requests: [&[u8]; CONNECTIONS] = [GET, post, GET];
    let mut streams = Vec::new();
    for bytes in requests {
        streams.push(connect(site.addr, bytes).await);
        site.arrived.recv().await.unwrap();
    }
    let mut last = connect(site.addr, GET).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!streams.iter().any(is_closed));
    assert!(site.arrived.try_recv().is_err());
    site.answers.add_permits(CONNECTIONS + 1);
    for stream in &mut streams {
        assert_eq!(read_status(stream).await, "HTTP/1.1 200");
    }
    assert_eq!(read_status(&mut last).await, "HTTP/1.1 200");
}
