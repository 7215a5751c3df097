//! Tests that the client reuses connections and reports correctly whether a
//! failed request may have been sent.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wire::{CallError, Client, Handler, PoolLimits, RequestBody, Server, ServerLimits, TcpConnect};

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let body = req.into_body().read(1000, Duration::from_secs(1)).await;
        let body = body.map(|b| Bytes::copy_from_slice(&b));
        Response::new(Full::new(body.unwrap_or_default()))
    }
}

fn request(text: &'static str) -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "x")
        .body(Full::from(text))
        .unwrap()
}

const TIMEOUT: Duration = Duration::from_millis(300);

#[tokio::test]
async fn reuses_connection() {
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default())
        .await
        .unwrap();
    let addr = server.addr().unwrap();
    tokio::spawn(server.serve(Echo));
    let client = Client::new(TcpConnect, PoolLimits::default());
    for text in ["a", "b"] {
        let reply = client.call(addr, request(text), TIMEOUT).await.unwrap();
        assert_eq!(reply.body, text);
        assert_eq!(client.idle_count(), 1);
    }
}

#[tokio::test]
async fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::new(TcpConnect, PoolLimits::default());
    let err = client.call(addr, request("a"), TIMEOUT).await.unwrap_err();
    assert_eq!(err, CallError::Refused);
    assert!(!err.maybe_sent());
}

#[tokio::test]
async fn connection_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 10];
        let _ = stream.read(&mut buf).await;
    });
    let client = Client::new(TcpConnect, PoolLimits::default());
    let err = client.call(addr, request("a"), TIMEOUT).await.unwrap_err();
    assert!(err.maybe_sent(), "{err}");
}

#[tokio::test]
async fn response_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = Client::new(TcpConnect, PoolLimits::default());
    let err = client.call(addr, request("a"), TIMEOUT).await.unwrap_err();
    assert_eq!(err, CallError::Timeout);
}

#[tokio::test]
async fn reopens_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1000];
            let _ = stream.read(&mut buf).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nz";
            stream.write_all(answer).await.unwrap();
        }
    });
    let client = Client::new(TcpConnect, PoolLimits::default());
    for _ in 0..2 {
        assert_eq!(
            client.call(addr, request("a"), TIMEOUT).await.unwrap().body,
            "z"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
