//! Heartbeats between members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_peer::Heartbeat;

use crate::control::{lists, permits};
use crate::node::Node;
use crate::peer_link::{self, MessageKind};
use crate::platform::Platform;

/// Interval at which due heartbeats are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the reply to either message.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// The heartbeat message.
const HEARTBEAT: MessageKind = MessageKind {
    name: "heartbeat",
    path: "/peer/heartbeat",
    timeout: REPLY_TIMEOUT,
    max_bytes: 256 * 1024,
};
/// The request for a peer's lists.
const LISTS: MessageKind = MessageKind {
    name: "peer-lists",
    path: "/peer/lists",
    timeout: REPLY_TIMEOUT,
    max_bytes: vg_conf::stored::MAX_VALUE_BYTES * 2,
};

/// The facts that peers must acknowledge: the epoch of the voters and the fenced members.
/// The fencing of a member or a change of voters takes effect only when a majority has
/// reported that it knows this fact.
type PeerFacts = (Epoch, BTreeSet<Member>);

/// Sends heartbeats when they are due, and immediately when there are new facts that
/// peers must acknowledge.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let mut announced = PeerFacts::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = node.clock.now();
        let peer_facts = peer_facts(&node);
        let due = if peer_facts == announced {
            node.membership.lock().heartbeats_due(now)
        } else {
            node.membership.peers().into_iter().map(|(member, _)| member).collect()
        };
        announced = peer_facts;
        for to in due {
            let Some(addr) = node.membership.peer_addr(&to) else { continue };
            let stamp = node.events.clock().stamp();
            let heartbeat = node.membership.lock().heartbeat(now, &to, stamp);
            tokio::spawn(exchange(node.clone(), addr, heartbeat));
        }
    }
}

/// Returns the facts that peers must acknowledge now.
fn peer_facts<P: Platform>(node: &Node<P>) -> PeerFacts {
    let membership = node.membership.lock();
    let cluster_state = membership.cluster_state();
    let fenced = cluster_state.members.iter().filter(|(_, record)| record.state.is_fenced());
    (cluster_state.voters_epoch, fenced.map(|(member, _)| member.clone()).collect())
}

/// Sends a heartbeat and applies the reply. A heartbeat that fails is not repeated.
async fn exchange<P: Platform>(node: Node<P>, addr: SocketAddr, heartbeat: Heartbeat) {
    if let Ok(reply) = peer_link::exchange(&node, HEARTBEAT, addr, &heartbeat).await {
        receive(&node, &reply).await;
    }
}

/// Applies a heartbeat or the reply to one.
pub(crate) async fn receive<P: Platform>(node: &Node<P>, heartbeat: &Heartbeat) {
    node.events.clock().observe(heartbeat.stamp);
    let received = node.membership.lock().receive(node.clock.now(), heartbeat);
    for (team, permits) in &received.permits {
        let from = Field::new("from", &heartbeat.from);
        let fields = [Field::new("team", team), Field::new("units", permits), from];
        node.events.record(Code::PermitsMoved, fields);
    }
    if !received.permits.is_empty() {
        permits::dispatch_all(node);
    }
    if received.revision.is_some() {
        fetch_lists(node, &heartbeat.from).await;
    }
}

/// Fetches newer lists from a peer, since the store may be unreachable from here.
async fn fetch_lists<P: Platform>(node: &Node<P>, from: &Member) {
    let Some(addr) = node.membership.peer_addr(from) else { return };
    let value: Result<Vec<u8>, _> = peer_link::exchange(node, LISTS, addr, &()).await;
    if let Ok(value) = value {
        lists::offer(node, &value);
    }
}
