//! Opens connections, numbers them, and closes them by a reset.
//!
//! A call that is given up must not be carried out later. Its bytes may be held up on the way,
//! as long as a partition lasts, and the system goes on delivering them after a usual close.
//! A reset discards them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Position of an event among the openings of connections and the calls of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position(u64);

/// Counts the openings of connections and the calls of a client.
#[derive(Debug, Clone, Default)]
pub(super) struct Sequence {
    last: Arc<AtomicU64>,
}

impl Sequence {
    pub(super) fn next(&self) -> Position {
        Position(self.last.fetch_add(1, Ordering::Relaxed))
    }
}

/// When a connection was opened; each response has that of its connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Opened(pub(super) Position);

/// Opens connections that know when they were opened.
#[derive(Debug, Clone)]
pub(super) struct Connector {
    connector: HttpConnector,
    sequence: Sequence,
}

impl Connector {
    pub(super) fn new(connect_timeout: Duration, sequence: Sequence) -> Connector {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        Connector { connector, sequence }
    }
}

impl Service<Uri> for Connector {
    type Response = NumberedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<NumberedStream, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let connecting = self.connector.call(to);
        let sequence = self.sequence.clone();
        Box::pin(async move {
            let stream = connecting.await?;
            if let Err(error) = stream.inner().set_zero_linger() {
                log::warn!(target: "net", "a connection won't be reset when it is closed: {error}");
            }
            Ok(NumberedStream { stream, opened: Opened(sequence.next()) })
        })
    }
}

/// A connection that knows when it was opened.
#[derive(Debug)]
pub(super) struct NumberedStream {
    stream: TokioIo<TcpStream>,
    opened: Opened,
}

impl Connection for NumberedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.opened)
    }
}

impl Read for NumberedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for NumberedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Does nothing: the reset when the stream is dropped must not follow a usual close.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
