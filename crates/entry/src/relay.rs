//! Answers on their way back to the caller.

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use vg_base::prelude::*;
use vg_net::Body;

use crate::headers;
use crate::pipe::pipe;
use crate::problem::{Problem, ProblemCode, outcome_value};

/// Bytes of an answer that are held back until more follow or it ends. An
/// answer that is cut within them can still be told as unknown.
const HELD_BYTES: usize = 64 * 1024;

/// Reads the start of an answer; hands a short one on as a whole and streams
/// the rest of a long one.
///
/// # Errors
///
/// An unknown outcome if the answer is cut within its start. A longer answer
/// that is cut makes the connection to the caller end before the body's end.
pub(crate) async fn buffer_start(response: Response<Body>) -> Result<Response<Body>, Problem> {
    let (head, mut body) = response.into_parts();
    let mut held = BytesMut::new();
    while held.len() < HELD_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => held.extend(frame.into_data().ok()),
            Some(Err(_)) => return Err(cut(&head)),
            None => return Ok(rebuild(head, vg_net::full_body(held.freeze()))),
        }
    }
    let rest = stream_rest(held.freeze(), body);
    Ok(rebuild(head, rest))
}

fn rebuild(head: http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(head, body);
    response.headers_mut().insert(headers::OUTCOME, outcome_value(Outcome::Answered));
    response
}

fn cut(head: &http::response::Parts) -> Problem {
    let detail = format!("the endpoint answered {} and then broke off", head.status.as_u16());
    Problem::unknown(ProblemCode::EndpointBroke, detail)
}

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
                // Dropping the writer makes the caller's body fail.
                Some(Err(_)) => return,
                None => return writer.finish().await,
            }
        }
    });
    reader
}
