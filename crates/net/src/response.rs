//! The body of a response, which tells its connection when it has ended.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::body::Body;
use crate::budget::Connection;

/// Returns a body whose end is noted by `connection`.
pub(crate) fn counted(body: Body, connection: Connection) -> Body {
    Body::new(Counted { body, connection })
}

struct Counted {
    body: Body,
    connection: Connection,
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.connection.end_response();
    }
}
