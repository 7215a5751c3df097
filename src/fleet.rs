//! HTTP client for the VMs of a fleet, at the addresses where they serve
//! callers. The addresses are given or read from the platform's machine list.

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

use crate::error::{CommandError, RequestError};

/// Options that select the fleet.
#[derive(Debug, Clone, Args)]
pub struct FleetArgs {
    /// Address at which a VM serves callers; separate several with commas.
    #[arg(long = "vm", value_name = "IP:PORT", value_delimiter = ',')]
    #[arg(env = "POMELOPOST_VMS", global = true)]
    pub vms: Vec<SocketAddr>,
    /// Address of the platform, whose machine list names the VMs.
    #[arg(
        long,
        value_name = "IP:PORT",
        env = "POMELOPOST_PLATFORM",
        global = true
    )]
    pub platform: Option<SocketAddr>,
    /// Timeout for each answer, such as 500ms or 3s.
    #[arg(long, default_value = "3s", value_name = "SPAN", global = true)]
    pub wait: Millis,
}

/// Client for the VMs of a fleet.
#[derive(Clone)]
pub struct Fleet {
    /// HTTP client with its pool of connections.
    client: Client<TcpConnect>,
    /// Addresses at which the VMs serve callers.
    vms: Vec<SocketAddr>,
    /// Timeout for each answer.
    timeout: Duration,
}

impl Fleet {
    /// Creates a client for the VMs that the options name, or that the platform
    /// lists.
    ///
    /// # Errors
    ///
    /// Fails when neither VMs nor a platform are given, or when the platform
    /// does not answer or lists no VMs.
    pub async fn discover(args: &FleetArgs) -> Result<Fleet, CommandError> {
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

    /// Creates a client for VMs at known addresses.
    pub fn new(vms: Vec<SocketAddr>, timeout: Millis) -> Fleet {
        Fleet {
            client: Client::new(TcpConnect, pool_limits()),
            vms,
            timeout: timeout.duration(),
        }
    }

    /// Returns the addresses at which the VMs serve callers.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms
    }

    /// Sends a request to one address.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives within `timeout`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, RequestError> {
        let answer = self.client.call(addr, req, timeout).await;
        answer.map_err(RequestError::Call)
    }

    /// Sends a request to the first VM that can be reached. Tries the next VM
    /// only if no byte of the request was sent.
    ///
    /// # Errors
    ///
    /// Fails when no VM can be reached, or when the one reached does not
    /// answer.
    pub async fn send_any(
        &self,
        build: impl Fn() -> Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Reply, CommandError> {
        for addr in &self.vms {
            match self.client.call(*addr, build(), timeout).await {
                Ok(reply) => return Ok(reply),
                Err(e) if !e.maybe_sent() => continue,
                Err(e) => return Err(CommandError::Request(*addr, RequestError::Call(e))),
            }
        }
        Err(CommandError::Unreachable)
    }

    /// Fetches JSON from one address.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time, or when it is not status 200 with
    /// the expected JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, RequestError> {
        let req = request(Method::GET, path, Bytes::new());
        let reply = self.send(addr, req, self.timeout).await?;
        if reply.status != StatusCode::OK {
            return Err(RequestError::Status(reply.status));
        }
        serde_json::from_slice(&reply.body).map_err(RequestError::Json)
    }

    /// Fetches text from one address.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives in time, or when it is not status 200 with
    /// UTF-8 text.
    pub async fn get_text(&self, addr: SocketAddr, path: &str) -> Result<String, RequestError> {
        let req = request(Method::GET, path, Bytes::new());
        let reply = self.send(addr, req, self.timeout).await?;
        if reply.status != StatusCode::OK {
            return Err(RequestError::Status(reply.status));
        }
        String::from_utf8(reply.body.to_vec()).map_err(RequestError::Text)
    }

    /// Fetches JSON from all VMs concurrently.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<T, RequestError>)> {
        let requests = self.vms.iter().map(async |addr| {
            let answer = self.get(*addr, path).await;
            (*addr, answer)
        });
        join_all(requests).await
    }
}

/// Returns limits for a load, which keeps more connections open than one VM
/// does to another.
fn pool_limits() -> PoolLimits {
    PoolLimits {
        idle_count: 2048,
        ..PoolLimits::default()
    }
}

/// Builds a request with a JSON body.
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
