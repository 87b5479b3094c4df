//! Heartbeats between members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_peer::Heartbeat;

use crate::control::{lists, units};
use crate::node::Node;
use crate::peer_link::{self, MessageKind};
use crate::platform::Platform;

/// Period in which due heartbeats are looked for.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// The heartbeat as a message.
const HEARTBEAT: MessageKind = MessageKind {
    name: "heartbeat",
    path: "/peer/heartbeat",
    limit: REPLY_TIMEOUT,
    max_bytes: 256 * 1024,
};
/// Asking a peer for its lists.
const LISTS: MessageKind = MessageKind {
    name: "peer-lists",
    path: "/peer/lists",
    limit: REPLY_TIMEOUT,
    max_bytes: vg_conf::stored::MAX_VALUE_BYTES * 2,
};

/// What peers wait for each other to know: fences and voters take effect only
/// when a majority has stated that it knows them.
type Awaited = (Epoch, BTreeSet<Member>);

/// Sends heartbeats when they are due, and at once when there is news that
/// others wait for.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let mut told = Awaited::default();
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        let now = node.clock.now();
        let awaited = awaited(&node);
        let due = if awaited == told {
            node.membership.lock().heartbeats_due(now)
        } else {
            node.membership.peers().into_iter().map(|(member, _)| member).collect()
        };
        told = awaited;
        for to in due {
            let Some(addr) = node.membership.peer_addr(&to) else { continue };
            let stamp = node.events.clock().stamp();
            let heartbeat = node.membership.lock().heartbeat(now, &to, stamp);
            tokio::spawn(exchange(node.clone(), addr, heartbeat));
        }
    }
}

fn awaited<P: Platform>(node: &Node<P>) -> Awaited {
    let membership = node.membership.lock();
    let book = membership.cluster_state();
    let fenced = book.members.iter().filter(|(_, record)| record.state.is_fenced());
    (book.voters_epoch, fenced.map(|(member, _)| member.clone()).collect())
}

async fn exchange<P: Platform>(node: Node<P>, addr: SocketAddr, heartbeat: Heartbeat) {
    if let Ok(reply) = peer_link::exchange(&node, HEARTBEAT, addr, &heartbeat).await {
        receive(&node, &reply).await;
    }
}

/// Takes in a heartbeat or its reply.
pub(crate) async fn receive<P: Platform>(node: &Node<P>, heartbeat: &Heartbeat) {
    node.events.clock().observe(heartbeat.stamp);
    let received = node.membership.lock().receive(node.clock.now(), heartbeat);
    for (team, units) in &received.permits {
        let from = Field::new("from", &heartbeat.from);
        let fields = [Field::new("team", team), Field::new("units", units), from];
        node.events.record(Code::PermitsMoved, fields);
    }
    if !received.permits.is_empty() {
        units::pump_all(node);
    }
    if received.revision.is_some() {
        fetch_lists(node, &heartbeat.from).await;
    }
}

/// Takes newer lists from a peer: the store may be out of reach here.
async fn fetch_lists<P: Platform>(node: &Node<P>, from: &Member) {
    let Some(addr) = node.membership.peer_addr(from) else { return };
    let value: Result<Vec<u8>, _> = peer_link::exchange(node, LISTS, addr, &()).await;
    if let Ok(value) = value {
        lists::offer(node, &value);
    }
}
