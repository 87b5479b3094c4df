//! Errors of the HTTP layer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// An error of a connection, a request or a body.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The server can't listen on the address.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// No connection could be established. No byte of the request was written.
    #[snafu(display("cannot connect to {to}: {source}"))]
    Connect {
        /// Address and port of the server.
        to: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The request may have been written, but no complete response arrived.
    #[snafu(display("no whole answer from {to}: {source}"))]
    IncompleteExchange {
        /// Address and port of the server.
        to: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// No response arrived within the time limit. The request may have been
    /// written.
    #[snafu(display("no answer from {to} within {} ms", limit.as_millis()))]
    Timeout {
        /// Address and port of the server.
        to: String,
        /// The time limit.
        limit: Duration,
    },
    /// The body ended or failed before it was complete.
    #[snafu(display("the body was cut: {source}"))]
    TruncatedBody {
        /// The cause.
        source: io::Error,
    },
    /// The process has no room for the body. Nothing of the request has been done.
    #[snafu(display("too many unfinished requests"))]
    Overloaded,
    /// The body did not arrive in time. Nothing of the request has been done.
    #[snafu(display("the body did not arrive in time"))]
    SlowBody,
    /// The body is longer than allowed.
    #[snafu(display("the body has more than {limit} bytes"))]
    BodyTooLong {
        /// Maximum number of bytes.
        limit: usize,
    },
    /// The request can't be created, for instance because its address is
    /// malformed.
    #[snafu(display("malformed request: {source}"))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// A message can't be encoded, or the bytes are not a message of the expected
    /// type.
    #[snafu(display("malformed message: {reason}"))]
    Decode {
        /// The message of the encoder or decoder.
        reason: String,
    },
    /// The server answered with a status that is not a success.
    #[snafu(display("{to} answered {status}"))]
    Status {
        /// URL, or address and port, of the server.
        to: String,
        /// HTTP status code.
        status: u16,
    },
}

impl Error {
    /// Returns whether the connection was refused: nothing listens at the address, or
    /// the network says so.
    pub fn is_refused(&self) -> bool {
        let Error::Connect { source, .. } = self else { return false };
        let causes =
            std::iter::successors(std::error::Error::source(source), |cause| cause.source());
        let mut kinds = causes.filter_map(|cause| cause.downcast_ref::<io::Error>());
        kinds.any(|cause| {
            matches!(
                cause.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            )
        })
    }

    /// Returns whether the connection ended while the response was awaited or read.
    pub fn is_broken(&self) -> bool {
        matches!(self, Error::IncompleteExchange { .. } | Error::TruncatedBody { .. })
    }

    /// Returns whether it is certain that no byte of the request was written.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::Connect { .. } | Error::Request { .. })
    }
}
