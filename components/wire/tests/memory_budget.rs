//! The budget that requests share: what counts, what is refused, and when it is free again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use kernel::Mebibytes;
use proptest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::{
    BodyError, BudgetSpent, COVERED_BYTES, Client, Handler, MemoryBudget, MemoryShares, PoolLimits,
    RequestBody, Server, ServerLimits, TcpConnect,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Room for one body of 64 KiB, of which its connection covers a part.
const BUDGET: usize = (64 << 10) - COVERED_BYTES;

#[test]
fn covered_bytes() {
    let budget = MemoryBudget::new(10);
    let mut request = budget.reservation();
    request.resize(COVERED_BYTES).unwrap();
    assert_eq!(budget.used(), 0);
    request.resize(COVERED_BYTES + 10).unwrap();
    assert_eq!(budget.used(), 10);
    assert_eq!(request.resize(COVERED_BYTES + 11), Err(BudgetSpent));
    assert_eq!((budget.used(), budget.refusals()), (10, 1));
    drop(request);
    assert_eq!(budget.used(), 0);
}

#[test]
fn shares() {
    for memory in [48, 120, 260, 512] {
        let shares = MemoryShares::of(Mebibytes(memory));
        let bytes = (memory as usize) << 20;
        let clients = shares.connections * (112 << 10) + shares.requests;
        assert!(clients <= bytes / 2, "{memory}: {clients}");
        assert!(shares.connections >= 160, "{memory}: {shares:?}");
    }
}

proptest! {
    /// Whatever the order of requests, the budget is kept, and all of it is free at the end.
    #[test]
    fn never_exceeded(sizes in prop::collection::vec((0_usize..4, 0_usize..100_000), 0..60)) {
        let budget = MemoryBudget::new(100_000);
        let mut requests: Vec<_> = (0..4).map(|_| budget.reservation()).collect();
        let mut held = [0; 4];
        for (i, size) in sizes {
            let others: usize = held.iter().sum::<usize>() - held[i];
            let needed = size.saturating_sub(COVERED_BYTES);
            let fits = others + needed <= budget.limit();
            prop_assert_eq!(requests[i].resize(size).is_ok(), fits);
            if fits {
                held[i] = needed;
            }
            prop_assert_eq!(budget.used(), held.iter().sum::<usize>());
        }
        drop(requests);
        prop_assert_eq!(budget.used(), 0);
    }
}

/// Answers with the length of the body, or why it was not read.
#[derive(Clone)]
struct Lengths;

impl Handler for Lengths {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let (status, text) = match req.into_body().read(1 << 20, TIMEOUT).await {
            Ok(body) => (StatusCode::OK, body.len().to_string()),
            Err(BodyError::NoMemory) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            Err(e) => (StatusCode::BAD_REQUEST, e.to_string()),
        };
        let mut res = Response::new(Full::from(text));
        *res.status_mut() = status;
        res
    }
}

async fn serve(budget: &MemoryBudget) -> SocketAddr {
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, ServerLimits::default()).await.unwrap();
    let server = server.with_budget(budget.clone());
    let addr = server.addr().unwrap();
    tokio::spawn(server.serve(Lengths));
    addr
}

async fn send(to: SocketAddr, size: usize) -> (StatusCode, Bytes) {
    let client = Client::new(TcpConnect, PoolLimits::default());
    let req = Request::post("/")
        .header("host", "x")
        .body(Full::from(vec![b'x'; size]))
        .unwrap();
    let reply = client.call(to, req, TIMEOUT).await.unwrap();
    (reply.status, reply.body)
}

async fn await_use(budget: &MemoryBudget, reached: impl Fn(usize) -> bool) {
    while !reached(budget.used()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A body that stops short of its end holds the budget until its client has gone. Small
/// bodies are read meanwhile; the sender of a large one reads its refusal.
#[tokio::test]
async fn spent() {
    let budget = MemoryBudget::new(BUDGET);
    let addr = serve(&budget).await;
    let mut stopped = TcpStream::connect(addr).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 65536\r\n\r\n";
    stopped.write_all(head).await.unwrap();
    stopped.write_all(&[b'x'; 65_535]).await.unwrap();
    await_use(&budget, |used| used == BUDGET).await;
    let refused = (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    assert_eq!(send(addr, 1 << 20).await, refused);
    assert_eq!(send(addr, 5_000).await, (StatusCode::OK, "5000".into()));
    drop(stopped);
    await_use(&budget, |used| used == 0).await;
    assert_eq!(send(addr, 65_536).await, (StatusCode::OK, "65536".into()));
    await_use(&budget, |used| used == 0).await;
}

#[tokio::test]
async fn tiny_chunks() {
    let budget = MemoryBudget::new(BUDGET);
    let addr = serve(&budget).await;
    let mut chunked = TcpStream::connect(addr).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    chunked.write_all(head).await.unwrap();
    let chunks = b"1\r\nx\r\n".repeat(64 << 10);
    chunked.write_all(&chunks).await.unwrap();
    await_use(&budget, |used| used == BUDGET).await;
    chunked.write_all(b"0\r\n\r\n").await.unwrap();
    await_use(&budget, |used| used == 0).await;
    assert_eq!(budget.refusals(), 0);
}
