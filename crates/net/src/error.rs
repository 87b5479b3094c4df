//! Errors of the HTTP layer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// What went wrong with a connection, request or body.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// No connection could be made: no byte of the request was written.
    #[snafu(display("cannot connect to {to}: {source}"))]
    Connect {
        /// The address and port.
        to: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The request may have been written, and no whole answer came.
    #[snafu(display("no whole answer from {to}: {source}"))]
    IncompleteExchange {
        /// The address and port.
        to: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The time given for the request ran out; it may have been written.
    #[snafu(display("no answer from {to} within {} ms", limit.as_millis()))]
    Timeout {
        /// The address and port.
        to: String,
        /// The time given.
        limit: Duration,
    },
    /// The body ended before its declared end.
    #[snafu(display("the body was cut: {source}"))]
    TruncatedBody {
        /// Cause.
        source: io::Error,
    },
    /// The body is longer than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLong {
        /// Most bytes allowed.
        limit: usize,
    },
    /// The request can't be formed, for instance from a malformed address.
    #[snafu(display("malformed request: {source}"))]
    Request {
        /// Cause.
        source: http::Error,
    },
    /// The bytes are not a message of the expected type.
    #[snafu(display("malformed message: {reason}"))]
    Decode {
        /// What the decoder said.
        reason: String,
    },
    /// The other side answered with a status that is not a success.
    #[snafu(display("{to} answered {status}"))]
    Status {
        /// The address and port.
        to: String,
        /// HTTP status code.
        status: u16,
    },
}

impl Error {
    /// Whether no byte of the request can have been written.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::Connect { .. } | Error::Request { .. })
    }
}
