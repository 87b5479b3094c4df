//! A body that is filled while it is read.
//!
//! The end has to be told: a writer that vanishes makes the body fail, so that
//! a cut answer never passes as a whole one.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::sync::mpsc;
use vg_net::Body;

/// Frames in flight between the writer and the reader.
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

/// Makes a pipe.
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
    /// Writes bytes; waits while the reader is behind. Returns whether the
    /// reader is still there.
    pub(crate) async fn write(&self, data: Bytes) -> bool {
        self.parts.send(Part::Data(data)).await.is_ok()
    }

    /// Tells the reader that the body is whole.
    pub(crate) async fn finish(self) {
        // A reader that has gone away needs no end.
        let _ = self.parts.send(Part::End).await;
    }
}
