//! Units on their way to where the demand is.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest};

use crate::node::Node;
use crate::peer_link::{self, MessageKind};
use crate::platform::Platform;

/// Shortest time between two looks at the demand.
const LOOK_MIN: Duration = Duration::from_millis(20);
/// Longest time between two looks at the demand.
const LOOK_MAX: Duration = Duration::from_millis(200);
/// Asking a peer for units.
const UNITS: MessageKind = MessageKind {
    name: "units",
    path: "/peer/units",
    limit: Duration::from_millis(400),
    max_bytes: 256 * 1024,
};

/// States what waiting work wants and asks peers for it.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    loop {
        tokio::time::sleep(LOOK_MIN).await;
        // Either way the demand is looked at.
        let _ = tokio::time::timeout(LOOK_MAX, node.membership.permit_shortage()).await;
        state_demand(&node);
        let requests = node.membership.lock().permit_requests();
        let asked = requests.into_iter().map(|request| ask(&node, request));
        futures_util::future::join_all(asked).await;
    }
}

/// Tells the ledger how many units the waiting work would use.
fn state_demand<P: Platform>(node: &Node<P>) {
    let mut wanted: BTreeMap<TeamId, Permits> = BTreeMap::new();
    for pool in node.pools.all() {
        for team in pool.stats().teams {
            let waiting = Permits(u32::try_from(team.waiting).unwrap_or(u32::MAX));
            *wanted.entry(team.team).or_default() += waiting;
        }
    }
    for jobs in node.jobs.all() {
        for (team, units) in &jobs.lock().blocked {
            *wanted.entry(team.clone()).or_default() += *units;
        }
    }
    let mut membership = node.membership.lock();
    let known: Vec<TeamId> =
        membership.permits().holdings().map(|(team, _)| team.clone()).collect();
    for team in known {
        wanted.entry(team).or_default();
    }
    for (team, units) in &wanted {
        membership.permits_mut().set_wanted(team, *units);
    }
}

async fn ask<P: Platform>(node: &Node<P>, request: PermitRequest) {
    let Some(addr) = node.membership.peer_addr(&request.to) else { return };
    if let Ok(Some(reply)) = send(node, addr, &request).await {
        let moved = node.membership.lock().receive_permits(&reply);
        if !moved.is_empty() {
            pump_all(node);
        }
    }
}

async fn send<P: Platform>(
    node: &Node<P>,
    addr: SocketAddr,
    request: &PermitRequest,
) -> Result<Option<PermitReply>, vg_net::Error> {
    peer_link::exchange(node, UNITS, addr, request).await
}

/// Lets all pools use units that have come in.
pub(crate) fn pump_all<P: Platform>(node: &Node<P>) {
    for pool in node.pools.all() {
        pool.pump();
    }
}
