//! A VM that does not know the platform's list of machines can't know which VMs
//! to ask about a job, and concludes nothing from the answers of those it knows.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{Fleet, config};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use logstore::LIST_PATH;
use standins::Endpoint;
use wire::{Client, Handler, PoolLimits, Server, ServerLimits, TcpConnect};

/// Timeout of a forwarded request, longer than any long poll of a VM.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// A platform that never answers requests for the list of machines.
#[derive(Clone)]
struct ListlessPlatform {
    /// Address of the platform that answers the other requests.
    target: SocketAddr,
    /// Client for the forwarded requests.
    client: Client<TcpConnect>,
    /// Whether the log is refused as well.
    is_down: Arc<AtomicBool>,
}

impl Handler for ListlessPlatform {
    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        let req = Request::from_parts(head, Full::new(body));
        let refuses = req.uri().path() == LIST_PATH || self.is_down.load(Ordering::SeqCst);
        let reply = match refuses {
            true => None,
            false => {
                let call = self.client.call(self.target, req, FORWARD_TIMEOUT);
                call.await.ok()
            }
        };
        let mut res = Response::new(Full::default());
        match reply {
            Some(reply) => {
                *res.status_mut() = reply.status;
                *res.body_mut() = Full::new(reply.body);
            }
            None => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        }
        res
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unlisted_owner() {
    // Guards against a false "not run": the VM knows no peer that it could ask,
    // and takes this for "no peer has run the job".
    let mut fleet = Fleet::start(1, 1).await;
    let platform = ListlessPlatform {
        target: fleet.platform.addr(),
        client: Client::new(TcpConnect, PoolLimits::default()),
        is_down: Arc::default(),
    };
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::bind(addr, ServerLimits::default()).await.unwrap();
    let addr = server.addr().unwrap();
    fleet.net.register(addr, Endpoint::platform());
    tokio::spawn(server.serve(platform.clone()));
    fleet.add_unlisted_vm(config(1, addr)).await;
    fleet.until(1, |s| s["log"] == "answers").await;
    platform.is_down.store(true, Ordering::SeqCst);
    fleet.until(1, |s| s["log"] == "away").await;
    let first = fleet.submit(0, "bare", &[10]).await;
    assert_eq!(first.0, 200, "{first:?}");
    let reply = fleet.submit(1, "bare", &[10]).await;
    assert_eq!(reply.1["reason"], "log_away", "{reply:?}");
    assert_eq!(reply.1["outcome"], "unknown", "{reply:?}");
    assert_eq!(fleet.starts_of("bare"), 1);
}
