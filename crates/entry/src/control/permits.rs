//! Moves permits between members to where they are needed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest};

use crate::node::Node;
use crate::peer_link::{self, MessageKind};
use crate::platform::Platform;

/// Shortest time between two evaluations of the demand.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a shortage of permits before the demand is evaluated anyway.
const SHORTAGE_WAIT: Duration = Duration::from_millis(200);
/// The request to a peer for permits.
const PERMITS: MessageKind = MessageKind {
    name: "units",
    path: "/peer/units",
    timeout: Duration::from_millis(400),
    max_bytes: 256 * 1024,
};

/// Evaluates the demand of waiting work and requests missing permits from peers.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    loop {
        tokio::time::sleep(MIN_INTERVAL).await;
        // The demand is evaluated after a notification and after a timeout alike.
        let _ = tokio::time::timeout(SHORTAGE_WAIT, node.membership.permit_shortage()).await;
        update_demand(&node);
        let requests = node.membership.lock().permit_requests();
        let pending = requests.into_iter().map(|request| request_permits(&node, request));
        futures_util::future::join_all(pending).await;
    }
}

/// Records in this member's account how many permits the waiting work would use.
fn update_demand<P: Platform>(node: &Node<P>) {
    let mut wanted: BTreeMap<TeamId, Permits> = BTreeMap::new();
    for pool in node.pools.all() {
        for team in pool.stats().teams {
            let waiting = Permits(u32::try_from(team.waiting).unwrap_or(u32::MAX));
            *wanted.entry(team.team).or_default() += waiting;
        }
    }
    for jobs in node.jobs.all() {
        for (team, permits) in &jobs.lock().blocked {
            *wanted.entry(team.clone()).or_default() += *permits;
        }
    }
    let mut membership = node.membership.lock();
    let known: Vec<TeamId> =
        membership.permits().holdings().map(|(team, _)| team.clone()).collect();
    for team in known {
        wanted.entry(team).or_default();
    }
    for (team, permits) in &wanted {
        membership.permits_mut().set_wanted(team, *permits);
    }
}

/// Requests permits from a peer and dispatches waiting calls if any arrive.
async fn request_permits<P: Platform>(node: &Node<P>, request: PermitRequest) {
    let Some(addr) = node.membership.peer_addr(&request.to) else { return };
    if let Ok(Some(reply)) = exchange(node, addr, &request).await {
        let moved = node.membership.lock().receive_permits(&reply);
        if !moved.is_empty() {
            dispatch_all(node);
        }
    }
}

/// Sends a request for permits to the peer at `addr`. The reply is `None` if the peer
/// gives none.
async fn exchange<P: Platform>(
    node: &Node<P>,
    addr: SocketAddr,
    request: &PermitRequest,
) -> Result<Option<PermitReply>, vg_net::Error> {
    peer_link::exchange(node, PERMITS, addr, request).await
}

/// Dispatches waiting calls of all pools after permits have arrived.
pub(crate) fn dispatch_all<P: Platform>(node: &Node<P>) {
    for pool in node.pools.all() {
        pool.dispatch_waiting();
    }
}
