//! Responses of the stand-ins.

use std::io;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use vg_net::{Body, full_body};

use crate::web::Problem;

/// Result of a handler: a response, or a problem that is sent as one.
pub(crate) type Reply = Result<Response<Body>, Problem>;

/// Returns a response with status 200 and a JSON body.
pub(crate) fn json<A: Serialize>(message: &A) -> Reply {
    json_with_status(StatusCode::OK, message)
}

/// Returns a response with the given status and a JSON body.
pub(crate) fn json_with_status<A: Serialize>(status: StatusCode, message: &A) -> Reply {
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

/// Returns a response that sends `start` and then closes the connection, so that
/// the client never gets a complete response. If `start` is empty, not even the
/// response head is sent.
pub(crate) fn aborted_response(start: Bytes) -> Response<Body> {
    let data = (!start.is_empty()).then_some(Ok(Frame::data(start)));
    let has_data = data.is_some();
    let abort = stream::once(async move {
        if has_data {
            // Yields once, so that the connection sends the data before the error.
            tokio::task::yield_now().await;
        }
        Err(io::Error::other("torn on purpose"))
    });
    let frames = stream::iter(data).chain(abort);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
