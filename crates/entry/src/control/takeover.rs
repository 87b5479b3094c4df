//! Taking a pool over from its earlier owner.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_route::{BusySlots, MemberLoss, Receipt};

use crate::dispatch::PoolDispatch;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;

/// Longest wait for a member's part of a pool.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest part of a pool that is read.
const FETCH_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Period in which an earlier owner is asked for the ends of its calls.
const ENDS_PERIOD: Duration = Duration::from_millis(25);
/// Time past the deadline of a lost owner's calls in which they may still run.
const LOST_GRACE: Duration = Duration::from_millis(250);
/// Longest time after a fence for which a lost owner's slots count as in use.
const ADOPT_MAX: Duration = Duration::from_secs(4);

/// What a member knows of a pool that it doesn't own (any more).
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Handover {
    /// Slots in use by calls that it started as the owner.
    busy: Vec<BusySlots>,
    /// Receipts of the pool's keys.
    receipts: Vec<Receipt>,
    /// Members that were lost with the receipts that they held.
    losses: Vec<MemberLoss>,
}

/// Returns what this node knows of a pool.
pub(crate) fn handover<P: Platform>(node: &Node<P>, pool: &PoolId) -> Handover {
    let busy = busy(node, pool);
    let table = node.receipts.lock();
    let now = node.clock.now();
    let (receipts, losses) = (table.export(pool, now), table.losses(now));
    drop(table);
    Handover { busy, receipts, losses }
}

/// Learns what the earlier owner and the other members know, then begins to
/// dispatch.
pub(super) async fn run<P: Platform>(
    node: &Node<P>,
    dispatch: Arc<PoolDispatch<P::Clock>>,
    earlier: &Member,
    epoch: Epoch,
) {
    let pool = dispatch.pool().clone();
    let lost = node
        .membership
        .lock()
        .cluster_state()
        .member_state(earlier)
        .is_none_or(|state| state.is_fenced());
    let mut complete = true;
    let mut told = false;
    for (member, addr) in node.membership.peers() {
        let url = format!("http://{addr}/peer/pools/{pool}/handover");
        let part: Result<Handover, _> =
            node.client.post_msgpack(&url, &(), FETCH_TIMEOUT, FETCH_MAX_BYTES).await;
        match part {
            Ok(part) => {
                if member == *earlier {
                    dispatch.import(&part.busy);
                    told = true;
                    follow_ends(node, &dispatch, addr, part.busy.is_empty());
                }
                let now = node.clock.now();
                let mut receipts = node.receipts.lock();
                receipts.import_losses(part.losses, now);
                let left = receipts.import(part.receipts, now);
                drop(receipts);
                complete &= left == 0;
            }
            // Whatever it holds may be missed, as if it were lost.
            Err(_) => node.receipts.lock().record_loss(member, node.clock.now()),
        }
    }
    if !told {
        // Its receipts are gone with it, also if it has stopped in order.
        node.receipts.lock().record_loss(earlier.clone(), node.clock.now());
    }
    if lost || !told {
        dispatch.adopt(quiet_at(node, earlier, &pool));
    }
    let now = node.clock.now();
    let mut receipts = node.receipts.lock();
    receipts.take_over(&pool, now);
    if !complete {
        receipts.open_gap(pool.clone(), now);
    }
    drop(receipts);
    // It may have gone on to another owner meanwhile.
    if node.membership.check_owner(&pool, epoch).is_ok() {
        node.pools.add(Arc::clone(&dispatch), epoch);
        dispatch.pump();
    } else {
        node.pools.drop_claim(&pool, epoch);
    }
}

/// Follows the ends of an earlier owner's calls, so that their slots are used
/// again at once and not only after the calls' deadlines.
fn follow_ends<P: Platform>(
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
            tokio::time::sleep(ENDS_PERIOD).await;
            let busy: Result<Vec<BusySlots>, _> =
                node.client.post_msgpack(&url, &(), FETCH_TIMEOUT, FETCH_MAX_BYTES).await;
            // Without its word, its calls' deadlines stand.
            let Ok(busy) = busy else { return };
            dispatch.settle_earlier(&busy);
            if busy.is_empty() {
                return;
            }
        }
    });
}

/// Returns the slots in use by calls that this node started as a pool's owner
/// before.
pub(crate) fn busy<P: Platform>(node: &Node<P>, pool: &PoolId) -> Vec<BusySlots> {
    let longest = longest_call(node, pool);
    let retired = node.pools.tell_retired(pool);
    retired.iter().flat_map(|each| each.busy(longest)).collect()
}

/// Returns when the calls of a lost owner are over.
///
/// It has started none since it was fenced. Calls that take longer than
/// [`ADOPT_MAX`] are not waited for: the pool would stand still for them, while
/// at worst an endpoint gets a ninth call, which it refuses or holds.
fn quiet_at<P: Platform>(node: &Node<P>, lost: &Member, pool: &PoolId) -> Instant {
    let fenced = node.membership.lock().view().fenced_at(lost);
    let longest = longest_call(node, pool).min(ADOPT_MAX);
    fenced.unwrap_or_else(|| node.clock.now()) + longest + LOST_GRACE
}

/// Returns the longest time that a call of a pool may take.
fn longest_call<P: Platform>(node: &Node<P>, pool: &PoolId) -> Duration {
    let config = node.config.current();
    let queues = config.lists.queues.values().filter(|queue| queue.pool == *pool);
    let longest = queues.map(|queue| queue.deadline).max();
    longest.unwrap_or_default().min(Options::CALL_MAX)
}
