//! The readiness and metrics pages of a VM.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use metrics::TextPage;
use wire::Handler;

use crate::control::Minions;
use crate::engine::Engine;

/// Serves the metrics in the Prometheus text format.
#[derive(Debug, Clone)]
pub struct MetricsPage(pub Arc<TextPage>);

impl Handler for MetricsPage {
    async fn handle(&self, _req: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::new(Bytes::from(self.0.render())));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, kind);
        res
    }
}

/// Answers the load balancer's readiness probe: 200 if this VM accepts requests,
/// 503 if not.
#[derive(Debug)]
pub struct ReadyPage<M> {
    /// Engine whose readiness is reported.
    pub engine: Engine<M>,
}

impl<M> Clone for ReadyPage<M> {
    fn clone(&self) -> ReadyPage<M> {
        ReadyPage {
            engine: self.engine.clone(),
        }
    }
}

impl<M: Minions> Handler for ReadyPage<M> {
    async fn handle(&self, _req: Request<Incoming>) -> Response<Full<Bytes>> {
        let status = match self.engine.ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut res = Response::new(Full::default());
        *res.status_mut() = status;
        res
    }
}
