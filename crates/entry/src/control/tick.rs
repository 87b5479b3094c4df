//! Starts waiting calls, refuses those that can no longer meet their deadlines, and records
//! when the node loses or regains its authority to act.

use vg_base::prelude::*;
use vg_events::{Code, Field};

use crate::node::Node;
use crate::platform::Platform;

/// Interval at which waiting calls are checked. A call that can no longer meet its
/// deadline is answered within this time.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between two checks of the authority.
const TICKS_PER_CHECK: u32 = 10;

/// Dispatches the waiting calls of all pools at each tick, and checks the node's authority to act
/// at every [`TICKS_PER_CHECK`]th tick.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    // This is `true` at the start, so that the first successful check is recorded.
    let mut lacked_authority = true;
    let mut tick = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        for pool in node.pools.all() {
            pool.dispatch_waiting();
        }
        tick = (tick + 1) % TICKS_PER_CHECK;
        if tick == 0 {
            lacked_authority = record_authority(&node, lacked_authority);
        }
    }
}

/// Records an event if this node has lost or regained its authority to act since the last
/// check. `lacked_authority` tells whether the node lacked it at that check; returns whether
/// it lacks it now.
///
/// The events are named after the revision of the lists, but the check fails also if the node
/// is no member, or if its lease has expired and it may not act without one. The field
/// `reason` says which of these causes was found.
fn record_authority<P: Platform>(node: &Node<P>, lacked_authority: bool) -> bool {
    let revision = node.config.current().revision;
    match (lacked_authority, node.membership.check_may_act()) {
        (false, Err(problem)) => {
            let fields = [Field::new("revision", revision), Field::new("reason", problem.detail)];
            node.events.record(Code::RevisionStale, fields);
            true
        }
        (true, Ok(())) => {
            node.events.record(Code::RevisionFresh, [Field::new("revision", revision)]);
            false
        }
        (lacked_authority, _) => lacked_authority,
    }
}
