//! Streamed bodies of faulty responses: slow ones and oversized ones.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;
use vg_net::Body;

/// Time between two bytes of a response that is sent byte by byte.
const TRICKLE_PERIOD: Duration = Duration::from_millis(10);

/// Number of chunks of an oversized response.
const OVERSIZED_CHUNKS: usize = 1024;

/// Size of each chunk of an oversized response.
const OVERSIZED_CHUNK_BYTES: usize = 64 * 1024;

/// Returns a response that sends `body` byte by byte and drops `guard` with the last
/// byte.
pub(crate) fn trickled_response<G: Send + 'static>(body: Bytes, guard: G) -> Response<Body> {
    let bytes = stream::unfold((body, Some(guard)), |(mut remaining, mut guard)| async move {
        if remaining.is_empty() {
            return None;
        }
        sleep(TRICKLE_PERIOD).await;
        let byte = remaining.split_to(1);
        if remaining.is_empty() {
            // The guard is dropped before the receiver can see the end of the body.
            guard = None;
        }
        Some((byte, (remaining, guard)))
    });
    chunked_response(bytes)
}

/// Returns a response that is longer than any client should accept.
pub(crate) fn oversized_response() -> Response<Body> {
    let chunk = Bytes::from(vec![b' '; OVERSIZED_CHUNK_BYTES]);
    chunked_response(stream::iter(std::iter::repeat_n(chunk, OVERSIZED_CHUNKS)))
}

fn chunked_response(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Response<Body> {
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    let stream_body = StreamBody::new(frames).map_err(|never| -> io::Error { match never {} });
    Response::new(BodyExt::boxed_unsync(stream_body))
}
