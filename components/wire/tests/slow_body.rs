//! A large response on a slow link takes longer than a small one may, but a
//! connection that stalls is given up as soon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wire::{BodyError, CallError, Client, PoolLimits, TcpConnect};

const PARTS: usize = 10;
const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that sends `sent` of the ten parts of its response, 60 ms
/// apart, and then nothing.
async fn serve(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PARTS * 100);
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..sent {
            tokio::time::sleep(Duration::from_millis(60)).await;
            stream.write_all(&[b'x'; 100]).await.unwrap();
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
    });
    addr
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "store")
        .body(Full::default())
        .unwrap()
}

fn client() -> Client<TcpConnect> {
    Client::new(TcpConnect, PoolLimits::default())
}

#[tokio::test]
async fn steady_parts() {
    let reply = client().fetch(serve(PARTS).await, request(), TIMEOUT).await;
    assert_eq!(reply.unwrap().body.len(), PARTS * 100);
    let reply = client().call(serve(PARTS).await, request(), TIMEOUT).await;
    assert_eq!(reply.unwrap_err(), CallError::Body(BodyError::Timeout));
}

#[tokio::test]
async fn stalled_body() {
    let start = Instant::now();
    let reply = client().fetch(serve(3).await, request(), TIMEOUT).await;
    assert_eq!(reply.unwrap_err(), CallError::Body(BodyError::Timeout));
    assert!(start.elapsed() < TIMEOUT * 3);
}
