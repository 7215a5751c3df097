//! Answers of the stand-ins.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode};
use kernel::key_hash;
use serde::Serialize;

/// Answers a status with an empty body.
pub fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::default();
    *res.status_mut() = status;
    res
}

/// Answers a status with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut res = Response::new(Full::from(text));
    *res.status_mut() = status;
    res
}

/// Answers a JSON body with its entity tag, or without the body where the
/// asker has it already.
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
