//! The stream of a connection, which notes whether the client takes what is written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::budget::Connection;

/// A TCP stream that fails if the client takes nothing for some time.
#[derive(Debug)]
pub(crate) struct Stream {
    socket: TcpStream,
    connection: Connection,
    /// Longest time for which a write waits.
    stall: Duration,
    /// Ends when a write has waited too long.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps the socket of a connection.
    pub(crate) fn new(socket: TcpStream, connection: Connection, stall: Duration) -> Stream {
        Stream { socket, connection, stall, timer: None }
    }

    /// Notes the result of a write.
    fn note(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.timer.take().is_some() {
                self.connection.resumed();
            }
            return written;
        }
        self.connection.stalled();
        let stall = self.stall;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(stall)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.note(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.note(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(context))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
