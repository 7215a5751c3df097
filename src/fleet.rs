//! The fleet as operators reach it: the VMs' callers' addresses, given or read
//! from the platform's list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use kernel::Millis;
use logstore::{LIST_PATH, MachineList};
use serde::de::DeserializeOwned;
use wire::{Client, PoolLimits, Reply, TcpConnect};

use crate::error::{AskError, CommandError};

/// Which fleet a command speaks to.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// A VM's callers' address; give several with commas between them.
    #[arg(long = "vm", value_name = "IP:PORT", value_delimiter = ',')]
    #[arg(env = "POMELOPOST_VMS", global = true)]
    pub vms: Vec<SocketAddr>,
    /// The platform's address, whose list names the VMs.
    #[arg(
        long,
        value_name = "IP:PORT",
        env = "POMELOPOST_PLATFORM",
        global = true
    )]
    pub platform: Option<SocketAddr>,
    /// The longest wait for each answer, such as 500ms or 3s.
    #[arg(long, default_value = "3s", value_name = "SPAN", global = true)]
    pub wait: Millis,
}

/// The VMs of a fleet.
#[derive(Clone)]
pub struct Fleet {
    /// Carries the requests.
    client: Client<TcpConnect>,
    /// The VMs' callers' addresses.
    vms: Vec<SocketAddr>,
    /// The longest wait for each answer.
    wait: Duration,
}

impl Fleet {
    /// Finds the VMs.
    ///
    /// # Errors
    ///
    /// Fails when neither VMs nor a platform are given, or the platform can't
    /// tell.
    pub async fn find(args: &FleetArgs) -> Result<Fleet, CommandError> {
        let mut fleet = Fleet::new(args.vms.clone(), args.wait);
        if !fleet.vms.is_empty() {
            return Ok(fleet);
        }
        let platform = args.platform.ok_or(CommandError::NoFleet)?;
        let listing: MachineList = fleet
            .get(platform, LIST_PATH)
            .await
            .map_err(|e| CommandError::List(platform, e))?;
        fleet.vms = listing.vms.iter().map(|vm| vm.callers).collect();
        match fleet.vms.is_empty() {
            true => Err(CommandError::Unreachable),
            false => Ok(fleet),
        }
    }

    /// Makes a fleet of known VMs.
    pub fn new(vms: Vec<SocketAddr>, wait: Millis) -> Fleet {
        Fleet {
            client: Client::new(TcpConnect, limits()),
            vms,
            wait: wait.duration(),
        }
    }

    /// Returns the VMs' callers' addresses.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms
    }

    /// Sends a request to one address.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes within `wait`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, AskError> {
        let answer = self.client.call(addr, req, wait).await;
        answer.map_err(AskError::Call)
    }

    /// Sends a request to the first VM that can be reached. The next one is
    /// tried only when nothing was sent.
    ///
    /// # Errors
    ///
    /// Fails when none can be reached, or the one reached does not answer.
    pub async fn send_any(
        &self,
        make: impl Fn() -> Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CommandError> {
        for addr in &self.vms {
            match self.client.call(*addr, make(), wait).await {
                Ok(reply) => return Ok(reply),
                Err(e) if !e.maybe_sent() => continue,
                Err(e) => return Err(CommandError::Ask(*addr, AskError::Call(e))),
            }
        }
        Err(CommandError::Unreachable)
    }

    /// Reads JSON from one address.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not come, is not 200 or can't be read.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, AskError> {
        let req = request(Method::GET, path, Bytes::new());
        let reply = self.send(addr, req, self.wait).await?;
        if reply.status != StatusCode::OK {
            return Err(AskError::Status(reply.status));
        }
        serde_json::from_slice(&reply.body).map_err(AskError::Json)
    }

    /// Reads JSON from every VM at once.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<T, AskError>)> {
        let asks = self.vms.iter().map(async |addr| {
            let answer = self.get(*addr, path).await;
            (*addr, answer)
        });
        join_all(asks).await
    }
}

/// A load keeps more connections open than one VM does to another.
fn limits() -> PoolLimits {
    PoolLimits {
        idle_count: 2048,
        ..PoolLimits::default()
    }
}

/// Builds a request with JSON in its body.
pub fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let json = hyper::header::HeaderValue::from_static("application/json");
    let host = hyper::header::HeaderValue::from_static("pomelopost");
    req.headers_mut().insert("content-type", json);
    req.headers_mut().insert("host", host);
    req
}
