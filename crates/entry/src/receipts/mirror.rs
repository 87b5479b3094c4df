//! Copies of receipts at a second entry host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_route::{KeyedRequest, Receipt, ReceiptName};

use crate::call::Call;
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::{MIRROR_MAX_BYTES, MIRROR_TIMEOUT};

/// A request to a peer to store a copy of a receipt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Mirror {
    pub(super) receipt: Receipt,
    pub(super) attempt: RequestId,
    pub(super) idempotent: bool,
    /// Milliseconds until the call's deadline.
    pub(super) remaining_ms: u64,
}

/// The outcome of a call whose receipt was copied.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct MirrorOutcome {
    pub(super) name: ReceiptName,
    pub(super) attempt: RequestId,
    pub(super) outcome: Outcome,
}

/// Asks the peers, one after another, to store a copy of a receipt. Returns the address
/// of the peer that did, or `None` if there are no other members.
///
/// # Errors
///
/// [`ProblemCode::NoOwner`] if no peer stored the copy.
pub(super) async fn mirror<P: Platform>(
    node: &Node<P>,
    call: &Call,
    request: &KeyedRequest,
) -> Result<Option<SocketAddr>, Problem> {
    let peers = node.membership.peers();
    let remaining = call.remaining(node.clock.now()).as_millis();
    let message = Mirror {
        receipt: Receipt::of_request(request),
        attempt: request.attempt,
        idempotent: request.idempotent,
        remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
    };
    // The random id of the call selects the first peer, which spreads the copies.
    let first = call.id.value() as usize;
    for at in 0..peers.len() {
        let (_, addr) = &peers[first.wrapping_add(at) % peers.len()];
        let url = format!("http://{addr}/peer/receipts");
        let reply =
            node.client.post_msgpack(&url, &message, MIRROR_TIMEOUT, MIRROR_MAX_BYTES).await;
        if matches!(reply, Ok(true)) {
            return Ok(Some(*addr));
        }
    }
    if peers.is_empty() {
        return Ok(None);
    }
    let detail = "no second entry host could keep the receipt of the idempotency key";
    Err(Problem::not_run(ProblemCode::NoOwner, detail))
}
