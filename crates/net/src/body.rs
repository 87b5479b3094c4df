//! Creates and reads bodies of requests and responses.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited};
use snafu::ResultExt;

use crate::error::{Error, TruncatedBodySnafu};

/// The body of a request or response, in the type that `gotham` uses.
pub type Body = gotham::helpers::http::Body;

fn unreachable_error(error: Infallible) -> io::Error {
    match error {}
}

/// Creates a body without bytes.
pub fn empty_body() -> Body {
    Body::new(Empty::new().map_err(unreachable_error))
}

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(unreachable_error))
}

/// Creates a body that forwards the frames of `body` as they arrive.
pub fn stream_body<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    Body::new(body.map_err(io::Error::other))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// - [`Error::BodyTooLong`] if the body has more than `limit` bytes.
/// - [`Error::TruncatedBody`] if the sender stopped before the end, so that a
///   truncated body is never mistaken for a complete body.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::BodyTooLong { limit }),
        Err(e) => Err(io::Error::other(e)).context(TruncatedBodySnafu),
    }
}

/// Reads a complete body of at most `limit` bytes. Returns `None` if no bytes
/// arrive for `stall`.
///
/// # Errors
///
/// The errors of [`read_body`].
pub(crate) async fn read_flowing_body<B>(
    mut body: B,
    limit: usize,
    stall: Duration,
) -> Result<Option<Bytes>, Error>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut read = BytesMut::new();
    loop {
        let Ok(next) = tokio::time::timeout(stall, body.frame()).await else { return Ok(None) };
        let Some(frame) = next else { return Ok(Some(read.freeze())) };
        let frame = frame.map_err(io::Error::other).context(TruncatedBodySnafu)?;
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > limit {
            return Err(Error::BodyTooLong { limit });
        }
        read.extend_from_slice(&data);
    }
}
