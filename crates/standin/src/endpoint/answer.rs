//! Unusual bodies of answers.

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

/// Time from one byte of a trickled answer to the next.
const TRICKLE_PERIOD: Duration = Duration::from_millis(10);

/// Number of chunks of an oversized answer.
const OVERSIZED_CHUNKS: usize = 1024;

/// Length of each chunk of an oversized answer.
const OVERSIZED_CHUNK_BYTES: usize = 64 * 1024;

/// Sends a body byte by byte, and keeps `guard` until the last one.
pub(crate) fn trickle<G: Send + 'static>(whole: Bytes, guard: G) -> Response<Body> {
    let bytes = stream::unfold((whole, Some(guard)), |(mut left, mut guard)| async move {
        if left.is_empty() {
            return None;
        }
        sleep(TRICKLE_PERIOD).await;
        let byte = left.split_to(1);
        if left.is_empty() {
            // Released before the receiver can see the end.
            guard = None;
        }
        Some((byte, (left, guard)))
    });
    streamed(bytes)
}

/// Sends far more than anyone should take.
pub(crate) fn oversized() -> Response<Body> {
    let chunk = Bytes::from(vec![b' '; OVERSIZED_CHUNK_BYTES]);
    streamed(stream::iter(std::iter::repeat_n(chunk, OVERSIZED_CHUNKS)))
}

fn streamed(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Response<Body> {
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    let body = StreamBody::new(frames).map_err(|never| -> io::Error { match never {} });
    Response::new(BodyExt::boxed_unsync(body))
}
