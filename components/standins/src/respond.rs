//! HTTP responses of the stand-ins.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode};
use kernel::key_hash;
use serde::Serialize;

/// Returns a response with an empty body.
pub fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::default();
    *res.status_mut() = status;
    res
}

/// Returns a response with a JSON body, or status 500 if the value can't be
/// serialised.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut res = Response::new(Full::from(text));
    *res.status_mut() = status;
    res
}

/// Returns a JSON response with an entity tag, or status 304 if the request's
/// `If-None-Match` has the same tag.
pub(crate) fn tagged<B, T: Serialize>(req: &Request<B>, value: &T) -> Response<Full<Bytes>> {
    let mut res = json(StatusCode::OK, value);
    let Ok(text) = serde_json::to_vec(value) else {
        return res;
    };
    let Ok(tag) = HeaderValue::from_str(&format!("\"{:032x}\"", key_hash(&text))) else {
        return res;
    };
    if req.headers().get(IF_NONE_MATCH) == Some(&tag) {
        res = empty(StatusCode::NOT_MODIFIED);
    }
    res.headers_mut().insert(ETAG, tag);
    res
}
