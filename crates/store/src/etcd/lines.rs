//! Lines of a streamed answer.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Error;

/// Longest line; a line holds the changes of many revisions.
const LINE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Splits a body into lines as it arrives.
#[derive(Debug)]
pub(crate) struct Lines {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer that hold no line end.
    searched: usize,
}

impl Lines {
    /// Reads lines from a body.
    pub(crate) fn new(body: Incoming) -> Lines {
        Lines { body, buffer: BytesMut::new(), searched: 0 }
    }

    /// Returns the next line that is not empty.
    ///
    /// The future can be dropped before it is ready; nothing is lost by it.
    pub(crate) async fn next(&mut self) -> Result<Bytes, Error> {
        loop {
            if let Some(line) = self.take() {
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return Ok(line);
            }
            if self.buffer.len() > LINE_MAX_BYTES {
                return Err(Error::Malformed { reason: "a line is too long".to_owned() });
            }
            self.fill().await?;
        }
    }

    fn take(&mut self) -> Option<Bytes> {
        let end = self.buffer[self.searched..].iter().position(|&byte| byte == b'\n');
        let Some(end) = end.map(|at| at + self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        self.searched = 0;
        Some(line)
    }

    async fn fill(&mut self) -> Result<(), Error> {
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
