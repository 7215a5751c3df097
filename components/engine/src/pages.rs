//! The readiness and metrics pages of a VM.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use metrics::TextPage;
use wire::{Handler, RequestBody};

use crate::control::Minions;
use crate::engine::Engine;

/// Serves the metrics in the Prometheus text format. A gauge with a label tells of
/// each failure domain whether it is being evacuated.
#[derive(Debug)]
pub struct MetricsPage<M> {
    /// Page of the engine's metrics.
    pub page: Arc<TextPage>,
    /// Engine whose evacuations are reported.
    pub engine: Engine<M>,
}

impl<M> Clone for MetricsPage<M> {
    fn clone(&self) -> MetricsPage<M> {
        MetricsPage {
            page: self.page.clone(),
            engine: self.engine.clone(),
        }
    }
}

/// Name of the gauge of each domain.
const DOMAIN_GAUGE: &str = "pomelopost_domain_evacuated";

impl<M: Minions> MetricsPage<M> {
    fn render(&self) -> String {
        let mut text = self.page.render();
        text.push_str(&format!(
            "# HELP {DOMAIN_GAUGE} 1 while the failure domain is being evacuated, else 0.\n\
             # TYPE {DOMAIN_GAUGE} gauge\n"
        ));
        for (domain, evacuated) in self.engine.evacuated_domains() {
            // A backslash is the only character of a domain's name with a meaning
            // in a label.
            let label = domain.as_str().replace('\\', "\\\\");
            let value = u8::from(evacuated);
            text.push_str(&format!("{DOMAIN_GAUGE}{{domain=\"{label}\"}} {value}\n"));
        }
        text
    }
}

impl<M: Minions> Handler for MetricsPage<M> {
    async fn handle(&self, _req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::new(Bytes::from(self.render())));
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
    async fn handle(&self, _req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let status = match self.engine.ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut res = Response::new(Full::default());
        *res.status_mut() = status;
        res
    }
}
