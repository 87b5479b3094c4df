//! Deadlines of waiting calls, and events of the node's own standing.

use vg_base::prelude::*;
use vg_events::{Code, Field};

use crate::node::Node;
use crate::platform::Platform;

/// Period in which waiting calls are looked over: a call that can't meet its
/// deadline any more gets its answer at once.
const PERIOD: Duration = Duration::from_millis(10);
/// Periods between two looks at the standing.
const STANDING_EVERY: u32 = 10;

/// Looks after pools and standing.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let mut stale = true;
    let mut turn = 0;
    loop {
        tokio::time::sleep(PERIOD).await;
        for pool in node.pools.all() {
            pool.pump();
        }
        turn = (turn + 1) % STANDING_EVERY;
        if turn == 0 {
            stale = note_standing(&node, stale);
        }
    }
}

fn note_standing<P: Platform>(node: &Node<P>, stale: bool) -> bool {
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
