//! Splits a streamed answer into lines.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Error;

/// Maximum length of a line. One line holds the changes of many revisions.
const LINE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Splits a response body into lines while it arrives.
#[derive(Debug)]
pub(crate) struct Lines {
    body: Incoming,
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that are known to contain no line end.
    searched: usize,
}

impl Lines {
    /// Creates a reader of the lines of a body.
    pub(crate) fn new(body: Incoming) -> Lines {
        Lines { body, buffer: BytesMut::new(), searched: 0 }
    }

    /// Returns the next line that is not empty.
    ///
    /// The future is cancel-safe: no data is lost if it is dropped before it is ready.
    pub(crate) async fn next(&mut self) -> Result<Bytes, Error> {
        loop {
            if let Some(line) = self.take_line() {
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return Ok(line);
            }
            if self.buffer.len() > LINE_MAX_BYTES {
                return Err(Error::Malformed { reason: "a line is too long".to_owned() });
            }
            self.read_frame().await?;
        }
    }

    /// Removes the first complete line from the buffer and returns it without its line end.
    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer[self.searched..].iter().position(|&byte| byte == b'\n');
        let Some(end) = end.map(|offset| offset + self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }

    /// Appends the next frame of the body to the buffer.
    async fn read_frame(&mut self) -> Result<(), Error> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                Ok(())
            }
            Some(Err(e)) => Err(Error::Unavailable { reason: e.to_string() }),
            None => Err(Error::Unavailable { reason: "the stream has ended".to_owned() }),
        }
    }
}
