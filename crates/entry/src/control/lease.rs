//! The node's lease in the store, and joining with it.

use vg_base::prelude::*;
use vg_peer::{MemberRecord, MemberState};
use vg_store::{Error, LeaseId, Store};

use crate::control::book;
use crate::follow::bounded;
use crate::node::Node;
use crate::platform::Platform;

/// Renewals in one time to live.
const RENEWALS: u32 = 6;
/// Wait after a failed call.
const RETRY: Duration = Duration::from_millis(200);

/// Keeps a lease and joins with it whenever this member is not in the book.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    loop {
        let Some(lease) = grant(&node).await else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        keep(&node, lease).await;
        node.membership.lock().authority_mut().note_expiry();
    }
}

/// Obtains a lease and puts this member's key under it.
async fn grant<P: Platform>(node: &Node<P>) -> Option<LeaseId> {
    let sent = node.clock.now();
    let lease = bounded(node.store.grant(node.options.lease_ttl)).await;
    node.metrics.record_store_call("grant", lease.is_ok());
    let lease = lease.ok()?;
    let record = MemberRecord {
        peer_addr: node.peer_addr,
        call_addr: node.call_addr,
        zone: node.options.zone.clone(),
        region: node.options.region.clone(),
        state: MemberState::Live,
    };
    if !book::join(node, record, lease).await {
        return None;
    }
    node.membership.lock().authority_mut().note_lease(sent, node.options.lease_ttl);
    Some(lease)
}

/// Renews until the lease has lapsed.
async fn keep<P: Platform>(node: &Node<P>, lease: LeaseId) {
    let mut pause = node.options.lease_ttl / RENEWALS;
    loop {
        tokio::time::sleep(pause).await;
        pause = node.options.lease_ttl / RENEWALS;
        let sent = node.clock.now();
        let renewed = bounded(node.store.renew(lease)).await;
        node.metrics.record_store_call("renew", renewed.is_ok());
        match renewed {
            Ok(ttl) => node.membership.lock().authority_mut().note_lease(sent, ttl),
            Err(Error::LeaseExpired) => return,
            // In doubt or out of reach: the lease may still hold. When the
            // store is back, a lapsed lease has to be replaced soon.
            Err(_) => pause = RETRY,
        }
    }
}
