//! Creates and reads bodies of requests and responses.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full};
use snafu::ResultExt;

use crate::budget::{Connection, Reading};
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
    let mut body = pin!(body);
    let mut read = Vec::new();
    while let Some(data) = next_data(body.as_mut()).await? {
        if let Some(growth) = growth(&read, data.len(), limit)? {
            read.reserve_exact(growth);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.into())
}

/// Reads the complete body of a request that a [`Server`](crate::Server) serves, of at most
/// `limit` bytes and for at most `within`. The budget of the server counts what it holds.
///
/// # Errors
///
/// The errors of [`read_body`], [`Error::Overloaded`] if the budget is exhausted, and
/// [`Error::SlowBody`] if the body takes longer than `within` or the server's limits allow.
pub async fn read_request<B>(body: B, limit: usize, within: Duration) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Some(connection) = Connection::current() else { return read_body(body, limit).await };
    let reading = connection.read();
    let limits = connection.limits();
    let read = read_counted(body, limit, limits.body_stall, &reading);
    tokio::select! {
        biased;
        () = connection.refused() => Err(Error::Overloaded),
        read = tokio::time::timeout(within.min(limits.body_timeout), read) => {
            read.unwrap_or(Err(Error::SlowBody))
        }
    }
}

async fn read_counted<B>(
    body: B,
    limit: usize,
    stall: Duration,
    reading: &Reading,
) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = pin!(body);
    let mut read = Vec::new();
    // One timer for all pieces: very small ones would each set another.
    let mut checks = tokio::time::interval(stall);
    let mut checked = None;
    loop {
        let next = tokio::select! {
            biased;
            next = next_data(body.as_mut()) => next?,
            _ = checks.tick() => {
                if checked.replace(read.len()) == Some(read.len()) {
                    return Err(Error::SlowBody);
                }
                continue;
            }
        };
        let Some(data) = next else { return Ok(read.into()) };
        if let Some(growth) = growth(&read, data.len(), limit)? {
            let more = read.len() + growth - read.capacity();
            reading.grow(more).await.map_err(|_| Error::Overloaded)?;
            read.reserve_exact(growth);
        }
        read.extend_from_slice(&data);
    }
}

/// Returns the next data of a body, or `None` at its end.
async fn next_data<B>(mut body: Pin<&mut B>) -> Result<Option<Bytes>, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other).context(TruncatedBodySnafu)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Returns by how many bytes beyond its length a buffer has to grow for `more` bytes, or
/// `None` if they fit. It doubles, up to `limit`.
fn growth(read: &Vec<u8>, more: usize, limit: usize) -> Result<Option<usize>, Error> {
    let needed = read.len() + more;
    if needed > limit {
        return Err(Error::BodyTooLong { limit });
    }
    let is_full = needed > read.capacity();
    Ok(is_full.then(|| needed.max(read.capacity() * 2).min(limit) - read.len()))
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
