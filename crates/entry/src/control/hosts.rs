//! Follows the platform's host list.

use std::sync::Arc;

use vg_events::{Code, Field};
use vg_route::{EndpointChange, EndpointInfo, ListRevision, ListUpdate};

use crate::dispatch::PoolDispatch;
use crate::hosts::{HostKind, HostState, fetch};
use crate::node::Node;
use crate::platform::Platform;

/// Reads the host list at the interval given in the node's options.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let mut tag = None;
    loop {
        let list = fetch(&node.client, &node.metrics, node.options.host_list, &mut tag).await;
        if let Ok(Some(list)) = list
            && node.hosts.offer(list)
        {
            node.pools.all().iter().for_each(|pool| apply(&node, pool));
        }
        tokio::time::sleep(node.options.host_period).await;
    }
}

/// Applies a pool's part of the newest host list.
pub(super) fn apply<P: Platform>(node: &Node<P>, pool: &Arc<PoolDispatch<P::Clock>>) {
    let list = node.hosts.current();
    let pool_hosts = list.hosts.iter().filter(|host| host.kind == HostKind::Endpoint);
    let pool_hosts = pool_hosts.filter(|host| host.pool.as_ref() == Some(pool.pool()));
    let endpoints: Vec<EndpointInfo> = pool_hosts
        .map(|host| EndpointInfo {
            id: host.id.clone(),
            addr: host.addr,
            zone: host.zone.clone(),
            leaving: host.state == HostState::Leaving,
        })
        .collect();
    let ListUpdate::Applied(changes) = pool.apply_hosts(ListRevision(list.revision), &endpoints)
    else {
        return;
    };
    for change in changes {
        let (code, host) = match change {
            EndpointChange::Leaving(host) => (Code::EndpointLeaving, host),
            EndpointChange::Removed(host) => (Code::EndpointRemoved, host),
            EndpointChange::Joined(host) | EndpointChange::Resumed(host) => {
                (Code::EndpointJoined, host)
            }
        };
        node.events.record(code, [Field::new("host", host), Field::new("pool", pool.pool())]);
    }
}
