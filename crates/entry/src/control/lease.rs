//! Keeps the node's lease in the store and joins the cluster with it.

use vg_base::prelude::*;
use vg_peer::{MemberRecord, MemberState};
use vg_store::{Error, LeaseId, Store};

use crate::control::cluster_state;
use crate::follow::with_timeout;
use crate::node::Node;
use crate::platform::Platform;

/// Renewals of the lease within its time to live.
const RENEWALS_PER_TTL: u32 = 6;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Keeps a lease, and joins the cluster with each newly granted lease.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    loop {
        let Some(lease) = acquire(&node).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        renew_until_expired(&node, lease).await;
        node.membership.lock().authority_mut().note_expiry();
    }
}

/// Obtains a lease and attaches this member's key to it.
async fn acquire<P: Platform>(node: &Node<P>) -> Option<LeaseId> {
    let sent = node.clock.now();
    let lease = with_timeout(node.store.grant(node.options.lease_ttl)).await;
    node.metrics.record_store_call("grant", lease.is_ok());
    let lease = lease.ok()?;
    let record = MemberRecord {
        peer_addr: node.peer_addr,
        call_addr: node.call_addr,
        zone: node.options.zone.clone(),
        region: node.options.region.clone(),
        state: MemberState::Live,
    };
    if !cluster_state::join(node, record, lease).await {
        return None;
    }
    node.membership.lock().authority_mut().note_lease(sent, node.options.lease_ttl);
    Some(lease)
}

/// Renews the lease until it has expired.
async fn renew_until_expired<P: Platform>(node: &Node<P>, lease: LeaseId) {
    let mut delay = node.options.lease_ttl / RENEWALS_PER_TTL;
    loop {
        tokio::time::sleep(delay).await;
        delay = node.options.lease_ttl / RENEWALS_PER_TTL;
        let sent = node.clock.now();
        let renewed = with_timeout(node.store.renew(lease)).await;
        node.metrics.record_store_call("renew", renewed.is_ok());
        match renewed {
            Ok(ttl) => node.membership.lock().authority_mut().note_lease(sent, ttl),
            Err(Error::LeaseExpired) => return,
            // The outcome is unknown or the store is unreachable, so the lease may still
            // be valid. The short delay is for the time when the store is back: an
            // expired lease must be replaced soon.
            Err(_) => delay = RETRY_DELAY,
        }
    }
}
