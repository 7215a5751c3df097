//! The platform over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use kernel::{Millis, Offset};
use serde::de::DeserializeOwned;
use wire::{CallError, Client, Connect, Reply};

use crate::Platform;
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
}

impl<C: Connect> HttpPlatform<C> {
    /// Makes a client that waits at most `wait` for each answer.
    pub fn new(client: Client<C>, addr: SocketAddr, wait: Millis) -> HttpPlatform<C> {
        HttpPlatform { client, addr, wait }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Millis) -> Result<T, ReadError> {
        let req = request("GET", path, Bytes::new());
        let reply = self
            .client
            .call(self.addr, req, wait.duration())
            .await
            .map_err(ReadError::Away)?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(ReadError::Broken),
            other => Err(ReadError::Status(other.as_u16())),
        }
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

    async fn list(&self) -> Result<Listing, ReadError> {
        self.get(LIST_PATH, self.wait).await
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
