//! The platform over HTTP.

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
use crate::message::{Appended, Chunk, LIST_PATH, Listing, STREAM_PATH, Stream};

/// The platform's services at an address.
#[derive(Clone)]
pub struct HttpPlatform<C> {
    /// Carries the requests.
    client: Client<C>,
    /// Where the platform is.
    addr: SocketAddr,
    /// The longest wait for an answer.
    wait: Millis,
    /// The list of machines as last read.
    cache: ListCache,
}

impl<C: Connect> HttpPlatform<C> {
    /// Makes a client that waits at most `wait` for each answer.
    pub fn new(client: Client<C>, addr: SocketAddr, wait: Millis) -> HttpPlatform<C> {
        HttpPlatform {
            client,
            addr,
            wait,
            cache: ListCache::default(),
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Millis) -> Result<T, ReadError> {
        let req = request("GET", path, Bytes::new());
        read(&self.call(req, wait).await?)
    }

    async fn call(&self, req: Request<Full<Bytes>>, wait: Millis) -> Result<Reply, ReadError> {
        let answer = self.client.call(self.addr, req, wait.duration()).await;
        answer.map_err(ReadError::Away)
    }
}

impl<C: Connect> Platform for HttpPlatform<C> {
    async fn append(&self, stream: Stream, record: Bytes) -> Result<Offset, AppendError> {
        let req = request("POST", &format!("{STREAM_PATH}{stream}"), record);
        let answer = self.client.call(self.addr, req, self.wait.duration()).await;
        appended(answer)
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Millis) -> Result<Chunk, ReadError> {
        let path = format!("{STREAM_PATH}{stream}?from={from}&wait_ms={}", wait.0);
        self.get(&path, Millis(self.wait.0 + wait.0)).await
    }

    async fn list(&self) -> Result<Arc<Listing>, ReadError> {
        let mut req = request("GET", LIST_PATH, Bytes::new());
        if let Some(tag) = self.cache.tag() {
            req.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let reply = self.call(req, self.wait).await?;
        if reply.status == StatusCode::NOT_MODIFIED
            && let Some(same) = self.cache.same()
        {
            return Ok(same);
        }
        let listing = read(&reply)?;
        Ok(self.cache.put(listing, reply.headers.get(ETAG).cloned()))
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

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, ReadError> {
    match reply.status {
        StatusCode::OK => serde_json::from_slice(&reply.body).map_err(ReadError::Broken),
        other => Err(ReadError::Status(other.as_u16())),
    }
}

/// Only a plain refusal, or nothing sent, means that nothing was appended.
fn appended(answer: Result<Reply, CallError>) -> Result<Offset, AppendError> {
    match answer {
        Ok(reply) if reply.status == StatusCode::OK => {
            let told: Result<Appended, _> = serde_json::from_slice(&reply.body);
            told.map(|a| a.offset).map_err(|_| AppendError::Unknown)
        }
        Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => Err(AppendError::Refused),
        Ok(reply) if reply.status.is_client_error() => Err(AppendError::Refused),
        Ok(_) => Err(AppendError::Unknown),
        Err(e) if e.maybe_sent() => Err(AppendError::Unknown),
        Err(_) => Err(AppendError::Refused),
    }
}
