//! A response body that is written while it is read.
//!
//! The writer must mark the end of the body explicitly. If the writer is dropped before,
//! reading the body fails, so that a truncated answer is never taken for a complete one.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::sync::mpsc;
use vg_net::Body;

/// Number of frames buffered between the writer and the reader.
const DEPTH_FRAMES: usize = 4;

enum Part {
    Data(Bytes),
    End,
}

/// The writing side of a pipe.
#[derive(Debug)]
pub(crate) struct PipeWriter {
    parts: mpsc::Sender<Part>,
}

/// Creates a pipe.
pub(crate) fn pipe() -> (PipeWriter, Body) {
    let (parts, reader) = mpsc::channel(DEPTH_FRAMES);
    let frames = stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.recv().await {
            Some(Part::Data(data)) => Some((Ok(Frame::data(data)), Some(reader))),
            Some(Part::End) => None,
            None => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
        }
    });
    (PipeWriter { parts }, Body::new(StreamBody::new(frames)))
}

impl PipeWriter {
    /// Writes bytes, and waits while the buffer is full. Returns whether the reader still
    /// exists.
    pub(crate) async fn write(&self, data: Bytes) -> bool {
        self.parts.send(Part::Data(data)).await.is_ok()
    }

    /// Marks the body as complete.
    pub(crate) async fn finish(self) {
        // A reader that has been dropped does not need the end mark.
        let _ = self.parts.send(Part::End).await;
    }
}
