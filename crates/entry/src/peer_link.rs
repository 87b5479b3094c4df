//! Sends control messages to other entry hosts and counts their bytes.

use std::net::SocketAddr;

use http::{Request, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_net::Error;

use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;

/// A kind of control message with the limits on its reply.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageKind {
    /// Name in the metrics.
    pub(crate) name: &'static str,
    /// Path at the peer.
    pub(crate) path: &'static str,
    /// Longest wait for the reply.
    pub(crate) timeout: Duration,
    /// Longest reply that is read.
    pub(crate) max_bytes: usize,
}

/// Sends a control message to a peer with POST and decodes the reply.
///
/// # Errors
///
/// The same as those of [`vg_net::Client::post_msgpack`], and a status that is not
/// successful.
pub(crate) async fn exchange<P: Platform, Q: Serialize, A: DeserializeOwned>(
    node: &Node<P>,
    kind: MessageKind,
    to: SocketAddr,
    message: &Q,
) -> Result<A, Error> {
    let body = vg_net::to_msgpack(message)?;
    node.metrics.record_control_message(kind.name, Direction::Sent, body.len());
    let url = format!("http://{to}{}", kind.path);
    let request = Request::post(&url)
        .header(header::CONTENT_TYPE, "application/msgpack")
        .body(vg_net::full_body(body))
        .map_err(|source| Error::Request { source })?;
    let reply = node.client.call(request, kind.timeout, kind.max_bytes).await?;
    node.metrics.record_control_message(kind.name, Direction::Received, reply.body.len());
    if !reply.status.is_success() {
        return Err(Error::Status { to: url, status: reply.status.as_u16() });
    }
    vg_net::from_msgpack(&reply.body)
}
