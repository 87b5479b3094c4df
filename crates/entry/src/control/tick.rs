//! Expires waiting calls at their deadlines and records changes of the node's authority.

use vg_base::prelude::*;
use vg_events::{Code, Field};

use crate::node::Node;
use crate::platform::Platform;

/// Interval at which waiting calls are checked. A call that can no longer meet its
/// deadline is answered within this time.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between two checks of the authority.
const TICKS_PER_CHECK: u32 = 10;

/// Dispatches the calls of all pools, and checks the node's authority to act.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let mut stale = true;
    let mut tick = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        for pool in node.pools.all() {
            pool.dispatch_waiting();
        }
        tick = (tick + 1) % TICKS_PER_CHECK;
        if tick == 0 {
            stale = record_authority(&node, stale);
        }
    }
}

/// Records whether this node has lost or regained its authority to act. `stale` is the
/// state at the last check; returns the current one.
fn record_authority<P: Platform>(node: &Node<P>, stale: bool) -> bool {
    let revision = node.config.current().revision;
    match (stale, node.membership.check_may_act()) {
        (false, Err(problem)) => {
            let fields = [Field::new("revision", revision), Field::new("reason", problem.detail)];
            node.events.record(Code::RevisionStale, fields);
            true
        }
        (true, Ok(())) => {
            node.events.record(Code::RevisionFresh, [Field::new("revision", revision)]);
            false
        }
        (stale, _) => stale,
    }
}
