//! HTTP client for the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::{Request, StatusCode};
use kernel::{Millis, Offset};
use serde::de::DeserializeOwned;
use wire::{CallError, Client, Connect, Reply};

use crate::Platform;
use crate::cache::ListCache;
use crate::error::{AppendError, ReadError};
use crate::message::{Appended, Chunk, LIST_PATH, MachineList, STREAM_PATH, Stream};

/// A client for a platform at a fixed address.
#[derive(Clone)]
pub struct HttpPlatform<C> {
    /// The HTTP client with its connection pool.
    client: Client<C>,
    /// The address of the platform.
    addr: SocketAddr,
    /// Timeout for each response.
    timeout: Millis,
    /// Cache of the machine list.
    cache: ListCache,
}

impl<C: Connect> HttpPlatform<C> {
    /// Creates a client that waits up to `timeout` for each response.
    pub fn new(client: Client<C>, addr: SocketAddr, timeout: Millis) -> HttpPlatform<C> {
        HttpPlatform {
            client,
            addr,
            timeout,
            cache: ListCache::default(),
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, timeout: Millis) -> Result<T, ReadError> {
        let req = request("GET", path, Bytes::new());
        parse(&self.call(req, timeout).await?)
    }

    async fn call(&self, req: Request<Full<Bytes>>, timeout: Millis) -> Result<Reply, ReadError> {
        let result = self.client.call(self.addr, req, timeout.duration()).await;
        result.map_err(ReadError::Unreachable)
    }
}

impl<C: Connect> Platform for HttpPlatform<C> {
    async fn append(&self, stream: Stream, record: Bytes) -> Result<Offset, AppendError> {
        let req = request("POST", &format!("{STREAM_PATH}{stream}"), record);
        let result = self
            .client
            .call(self.addr, req, self.timeout.duration())
            .await;
        append_result(result)
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Millis) -> Result<Chunk, ReadError> {
        let path = format!("{STREAM_PATH}{stream}?from={from}&wait_ms={}", wait.0);
        self.get(&path, Millis(self.timeout.0 + wait.0)).await
    }

    async fn list(&self) -> Result<Arc<MachineList>, ReadError> {
        let mut req = request("GET", LIST_PATH, Bytes::new());
        if let Some(tag) = self.cache.tag() {
            req.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let reply = self.call(req, self.timeout).await?;
        if reply.status == StatusCode::NOT_MODIFIED
            && let Some(listing) = self.cache.listing()
        {
            return Ok(listing);
        }
        let listing = parse(&reply)?;
        Ok(self.cache.store(listing, reply.headers.get(ETAG).cloned()))
    }
}

fn request(method: &str, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method.parse().unwrap_or_default();
    *req.uri_mut() = path.parse().unwrap_or_default();
    req.headers_mut()
        .insert("host", hyper::header::HeaderValue::from_static("platform"));
    req
}

fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, ReadError> {
    match reply.status {
        StatusCode::OK => serde_json::from_slice(&reply.body).map_err(ReadError::Malformed),
        other => Err(ReadError::Status(other.as_u16())),
    }
}

/// Converts the result of an append call. Only an explicit refusal or a request
/// that was never sent proves that nothing was appended.
fn append_result(result: Result<Reply, CallError>) -> Result<Offset, AppendError> {
    match result {
        Ok(reply) if reply.status == StatusCode::OK => {
            let appended: Result<Appended, _> = serde_json::from_slice(&reply.body);
            appended.map(|a| a.offset).map_err(|_| AppendError::Unknown)
        }
        Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => Err(AppendError::Refused),
        Ok(reply) if reply.status.is_client_error() => Err(AppendError::Refused),
        Ok(_) => Err(AppendError::Unknown),
        Err(e) if e.maybe_sent() => Err(AppendError::Unknown),
        Err(_) => Err(AppendError::Refused),
    }
}
