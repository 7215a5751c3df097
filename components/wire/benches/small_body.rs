//! Measures a request with an ordinary small body over an open connection, from the client's
//! call to its answer.
//!
//! `cargo bench -p wire --bench small_body`

use std::time::Duration;

use bytes::Bytes;
use criterion::Criterion;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::runtime::Builder;
use wire::{
    Client, Handler, MemoryBudget, PoolLimits, RequestBody, Server, ServerLimits, TcpConnect,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the body in bytes, that of a job of the users' sites.
const BODY_SIZE: usize = 1_000;

#[derive(Clone)]
struct Read;

impl Handler for Read {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let body = req.into_body().read(1 << 18, TIMEOUT).await;
        let length = body.map_or(0, |b| b.len());
        Response::new(Full::from(length.to_string()))
    }
}

fn small_body(c: &mut Criterion) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let server = runtime.block_on(Server::bind(any, ServerLimits::default()));
    let server = server.unwrap().with_budget(MemoryBudget::new(1 << 20));
    let addr = server.addr().unwrap();
    runtime.spawn(server.serve(Read));
    let client = Client::new(TcpConnect, PoolLimits::default());
    let body = Bytes::from(vec![b'x'; BODY_SIZE]);
    c.bench_function("small_body", |b| {
        b.iter(|| {
            let req = Request::post("/")
                .header("host", "vm")
                .body(Full::new(body.clone()))
                .unwrap();
            let reply = runtime.block_on(client.call(addr, req, TIMEOUT)).unwrap();
            assert_eq!(reply.body, "1000");
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    small_body(&mut criterion);
    criterion.final_summary();
}
