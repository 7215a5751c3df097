//! Answers of the stand-ins.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Answers a status with an empty body.
pub(crate) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::default();
    *res.status_mut() = status;
    res
}

/// Answers a status with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut res = Response::new(Full::from(text));
    *res.status_mut() = status;
    res
}
