//! Passes answers back to the caller.

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use vg_base::prelude::*;
use vg_net::Body;

use crate::headers;
use crate::pipe::pipe;
use crate::problem::{Problem, ProblemCode, outcome_value};

/// Bytes of an answer that are buffered before it is passed on. An answer that is
/// truncated within them can still be reported as unknown.
const BUFFER_BYTES: usize = 64 * 1024;

/// Buffers the start of an answer. A short answer is passed on as a whole, and the rest
/// of a long one is streamed.
///
/// # Errors
///
/// An unknown outcome if the answer is truncated within its start. If a longer answer is
/// truncated, the connection to the caller is closed before the end of the body.
pub(crate) async fn buffer_start(response: Response<Body>) -> Result<Response<Body>, Problem> {
    let (head, mut body) = response.into_parts();
    let mut buffered = BytesMut::new();
    while buffered.len() < BUFFER_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => buffered.extend(frame.into_data().ok()),
            Some(Err(_)) => return Err(truncated(&head)),
            None => return Ok(rebuild(head, vg_net::full_body(buffered.freeze()))),
        }
    }
    let rest = stream_rest(buffered.freeze(), body);
    Ok(rebuild(head, rest))
}

/// Combines an answer's head and body, and sets the outcome header to *answered*.
fn rebuild(head: http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(head, body);
    response.headers_mut().insert(headers::OUTCOME, outcome_value(Outcome::Answered));
    response
}

/// Returns the problem for an answer that was truncated within its start.
fn truncated(head: &http::response::Parts) -> Problem {
    let detail = format!("the endpoint answered {} and then broke off", head.status.as_u16());
    Problem::unknown(ProblemCode::EndpointBroke, detail)
}

/// Returns a body that starts with `start` and continues with the rest of `body`.
fn stream_rest(start: Bytes, mut body: Body) -> Body {
    let (writer, reader) = pipe();
    tokio::spawn(async move {
        if !writer.write(start).await {
            return;
        }
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !writer.write(data).await {
                        return;
                    }
                }
                // Dropping the writer makes reading the caller's body fail.
                Some(Err(_)) => return,
                None => return writer.finish().await,
            }
        }
    });
    reader
}
