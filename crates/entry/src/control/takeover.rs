//! Takeover of a pool from its previous owner.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_route::{BusySlots, MemberLoss, Receipt};

use crate::dispatch::PoolDispatch;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;

/// Longest wait for a member's state of a pool.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest state of a pool that is read.
const FETCH_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Interval at which a previous owner is asked which of its calls are still running.
const COMPLETION_INTERVAL: Duration = Duration::from_millis(25);
/// Time past the deadline of a lost owner's calls during which they may still run.
const LOST_GRACE: Duration = Duration::from_millis(250);
/// Longest time after its fencing for which a lost owner's slots count as in use, to which
/// [`LOST_GRACE`] is added.
const MAX_ASSUMED_BUSY: Duration = Duration::from_secs(4);

/// What a member knows about a pool that it does not own, or no longer owns.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Handover {
    /// Slots that are in use by calls which the member started as the owner.
    busy: Vec<BusySlots>,
    /// Receipts of the pool's idempotency keys.
    receipts: Vec<Receipt>,
    /// Members that were lost together with the receipts that they held.
    losses: Vec<MemberLoss>,
}

/// Returns what this node knows about a pool.
pub(crate) fn handover<P: Platform>(node: &Node<P>, pool: &PoolId) -> Handover {
    let busy = busy_slots(node, pool);
    let table = node.receipts.lock();
    let now = node.clock.now();
    let (receipts, losses) = (table.export(pool, now), table.losses(now));
    drop(table);
    Handover { busy, receipts, losses }
}

/// Collects what the previous owner and the other members know about a pool, then starts
/// to dispatch it.
pub(super) async fn run<P: Platform>(
    node: &Node<P>,
    dispatch: Arc<PoolDispatch<P::Clock>>,
    previous: &Member,
    epoch: Epoch,
) {
    let pool = dispatch.pool().clone();
    let lost = node
        .membership
        .lock()
        .cluster_state()
        .member_state(previous)
        .is_none_or(|state| state.is_fenced());
    let mut complete = true;
    let mut answered = false;
    for (member, addr) in node.membership.peers() {
        let url = format!("http://{addr}/peer/pools/{pool}/handover");
        let part: Result<Handover, _> =
            node.client.post_msgpack(&url, &(), FETCH_TIMEOUT, FETCH_MAX_BYTES).await;
        match part {
            Ok(part) => {
                if member == *previous {
                    dispatch.import_busy(&part.busy);
                    answered = true;
                    follow_completions(node, &dispatch, addr, part.busy.is_empty());
                }
                let now = node.clock.now();
                let mut receipts = node.receipts.lock();
                receipts.import_losses(part.losses, now);
                let unstored = receipts.import(part.receipts, now);
                drop(receipts);
                complete &= unstored == 0;
            }
            // The receipts that this member holds may be missed, as if the member were
            // lost.
            Err(_) => node.receipts.lock().record_loss(member, node.clock.now()),
        }
    }
    if !answered {
        // The receipts of the previous owner are lost with it, even if it stopped in an
        // orderly way.
        node.receipts.lock().record_loss(previous.clone(), node.clock.now());
    }
    if lost || !answered {
        dispatch.assume_busy(assumed_end(node, previous, &pool));
    }
    let now = node.clock.now();
    let mut receipts = node.receipts.lock();
    receipts.take_over(&pool, now);
    if !complete {
        receipts.open_gap(pool.clone(), now);
    }
    drop(receipts);
    // The pool may have been assigned to another owner in the meantime.
    if node.membership.check_owner(&pool, epoch).is_ok() {
        node.pools.add(Arc::clone(&dispatch), epoch);
        dispatch.dispatch_waiting();
    } else {
        node.pools.cancel_claim(&pool, epoch);
    }
}

/// Polls a previous owner for the completion of its calls, so that their slots can be
/// used again immediately and not only after the calls' deadlines.
fn follow_completions<P: Platform>(
    node: &Node<P>,
    dispatch: &Arc<PoolDispatch<P::Clock>>,
    addr: SocketAddr,
    idle: bool,
) {
    if idle {
        return;
    }
    let (node, dispatch) = (node.clone(), Arc::clone(dispatch));
    tokio::spawn(async move {
        let url = format!("http://{addr}/peer/pools/{}/busy", dispatch.pool());
        let until = node.clock.now() + Options::CALL_MAX;
        while node.clock.now() < until {
            tokio::time::sleep(COMPLETION_INTERVAL).await;
            let busy: Result<Vec<BusySlots>, _> =
                node.client.post_msgpack(&url, &(), FETCH_TIMEOUT, FETCH_MAX_BYTES).await;
            // Without an answer, the slots stay in use until the calls' deadlines.
            let Ok(busy) = busy else { return };
            dispatch.update_inherited(&busy);
            if busy.is_empty() {
                return;
            }
        }
    });
}

/// Returns the slots that are in use by calls which this node started as an earlier owner
/// of the pool, and marks this state as exported to the next owner.
pub(crate) fn busy_slots<P: Platform>(node: &Node<P>, pool: &PoolId) -> Vec<BusySlots> {
    let longest = longest_call(node, pool);
    let retired = node.pools.export_retired(pool);
    retired.iter().flat_map(|each| each.busy_slots(longest)).collect()
}

/// Returns the time at which the calls of a lost owner count as finished.
///
/// The lost owner has started no calls since it was fenced. Calls that take longer than
/// [`MAX_ASSUMED_BUSY`] are not waited for, because the pool would stand still until they
/// end. At worst an endpoint receives a ninth call, one more than its eight slots, and
/// refuses it or holds it back.
fn assumed_end<P: Platform>(node: &Node<P>, lost: &Member, pool: &PoolId) -> Instant {
    let fenced = node.membership.lock().view().fenced_at(lost);
    let longest = longest_call(node, pool).min(MAX_ASSUMED_BUSY);
    fenced.unwrap_or_else(|| node.clock.now()) + longest + LOST_GRACE
}

/// Returns the longest time that a call of a pool may take.
fn longest_call<P: Platform>(node: &Node<P>, pool: &PoolId) -> Duration {
    let config = node.config.current();
    let queues = config.lists.queues.values().filter(|queue| queue.pool == *pool);
    let longest = queues.map(|queue| queue.deadline).max();
    longest.unwrap_or_default().min(Options::CALL_MAX)
}
