//! Responses.

use std::io;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use vg_net::{Body, full_body};

use crate::web::Problem;

/// How a handler ends.
pub(crate) type Reply = Result<Response<Body>, Problem>;

/// Answers 200 with a JSON message.
pub(crate) fn json<A: Serialize>(message: &A) -> Reply {
    json_as(StatusCode::OK, message)
}

/// Answers with a status and a JSON message.
pub(crate) fn json_as<A: Serialize>(status: StatusCode, message: &A) -> Reply {
    let body = serde_json::to_vec(message).map_err(|e| {
        Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "unrepresentable-answer", e)
    })?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

/// Sends `start` and then tears the connection, so that no whole answer comes;
/// with nothing to send, not even the head does.
pub(crate) fn torn(start: Bytes) -> Response<Body> {
    let data = (!start.is_empty()).then_some(Ok(Frame::data(start)));
    let written = data.is_some();
    let tear = stream::once(async move {
        if written {
            // The connection writes out what it has while it waits.
            tokio::task::yield_now().await;
        }
        Err(io::Error::other("torn on purpose"))
    });
    let frames = stream::iter(data).chain(tear);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
