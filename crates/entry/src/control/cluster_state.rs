//! Follows the cluster state in the store and commits this member's changes to it.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_limit::faults::NoFaults;
use vg_peer::{ClusterState, MemberRecord, Transition};
use vg_store::{Entry, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

use crate::control::keys::{CLUSTER_STATE_KEY, CONTROL_PREFIX, member_key, member_of};
use crate::control::ownership;
use crate::follow::{Observed, confirmation_size, follow, listing_size, with_timeout};
use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;

/// Interval at which the cluster state and the members' keys are confirmed when the watch
/// reports no change.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(800);
/// Interval at which this member checks for due changes, even if it is not notified of
/// any.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the first live member proposes new lists alone before the other members do so
/// too.
const LISTS_DELAY: Duration = Duration::from_millis(700);
/// Attempts to join in spite of concurrent changes of the cluster state.
const JOIN_ATTEMPTS: u32 = 20;

/// Follows the cluster state and commits the changes that are due.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let observe = |observed| match observed {
        Observed::Listed { sent, listing } => {
            node.metrics.record_store_call("book", true);
            node.metrics.record_control_message(
                "store-book",
                Direction::Received,
                listing_size(&listing),
            );
            apply_listing(&node, sent, &listing);
        }
        Observed::Confirmed { sent, listing } => {
            node.metrics.record_store_call("book-confirm", true);
            node.metrics.record_control_message(
                "store-book",
                Direction::Sent,
                confirmation_size(&listing),
            );
            apply_listing(&node, sent, &listing);
        }
        Observed::Failed(error) => {
            node.metrics.record_store_call("book", false);
            log::debug!("following the book: {error}");
        }
    };
    let prefix = Key::from(CONTROL_PREFIX);
    let following = follow(&node.store, &node.clock, prefix, CONFIRM_INTERVAL, observe);
    tokio::join!(following, propose(&node));
}

/// Applies a list of the membership's keys: the cluster state and the members whose
/// leased keys exist. `sent` is the time before the list was requested.
fn apply_listing<P: Platform>(node: &Node<P>, sent: Instant, listing: &Listing) {
    let present: BTreeSet<Member> =
        listing.entries.iter().filter_map(|entry| member_of(&entry.key)).collect();
    if let Some(entry) = listing.entries.iter().find(|entry| entry.key.0 == CLUSTER_STATE_KEY) {
        apply_entry(node, entry);
    }
    node.membership.lock().note_leases(sent, &present);
}

/// Decodes and applies the entry of the cluster state, unless it was applied before. A
/// value that cannot be decoded is recorded and ignored.
fn apply_entry<P: Platform>(node: &Node<P>, entry: &Entry) {
    // Every confirmation repeats the same value, which has already been applied.
    if node.state_revision().is_some_and(|(_, known)| known == entry.modified) {
        return;
    }
    match ClusterState::decode(&entry.value) {
        Ok(cluster_state) => apply(node, &cluster_state, entry.modified),
        Err(error) => {
            let fields = [Field::new("key", CLUSTER_STATE_KEY), Field::new("reason", error)];
            node.events.record(Code::ValueUnreadable, fields);
        }
    }
}

/// Applies a cluster state that was written at `modified`. A new epoch also updates the
/// pools of this node.
fn apply<P: Platform>(node: &Node<P>, cluster_state: &ClusterState, modified: StoreRevision) {
    let now = node.clock.now();
    let mut membership = node.membership.lock();
    let before = membership.cluster_state().clone();
    membership.apply(now, cluster_state, true);
    drop(membership);
    if cluster_state.epoch < before.epoch {
        return;
    }
    *node.state_revision() = Some((cluster_state.epoch, modified));
    if cluster_state.epoch > before.epoch {
        record_member_changes(node, &before, cluster_state);
        ownership::update_pools(node, &before);
    }
}

/// Records the members that have joined, begun to leave, stopped or been lost since
/// `before`, and those that were removed, whose permits are free again.
fn record_member_changes<P: Platform>(
    node: &Node<P>,
    before: &ClusterState,
    cluster_state: &ClusterState,
) {
    for member in
        before.members.keys().filter(|member| !cluster_state.members.contains_key(*member))
    {
        node.events.record(Code::PermitsReclaimed, [Field::new("member", member)]);
    }
    for (member, record) in &cluster_state.members {
        let known = before.member_state(member);
        if known == Some(record.state) {
            continue;
        }
        let code = match (known, record.state.is_fenced()) {
            (_, true) if record.state.is_stopped() => Code::MemberStopped,
            (_, true) => Code::MemberLost,
            (None, false) => Code::MemberJoined,
            (Some(_), false) => Code::MemberLeaving,
        };
        if code == Code::MemberLost {
            node.receipts.lock().record_loss(member.clone(), node.clock.now());
        }
        node.events.record(code, [Field::new("member", member)]);
    }
}

/// Commits due changes, one compare-and-swap at a time.
async fn propose<P: Platform>(node: &Node<P>) {
    let mut lists_since = None;
    loop {
        // Due changes are checked for after a notification and after a timeout alike.
        let _ = tokio::time::timeout(PROPOSE_INTERVAL, node.changes_due.notified()).await;
        let now = node.clock.now();
        let Some((epoch, modified)) = *node.state_revision() else { continue };
        let lists = lists_transition(node, &mut lists_since, now);
        if let Some((cluster_state, fenced)) = next_state(node, epoch, lists, now) {
            commit(node, &cluster_state, Some(modified), None, &fenced).await;
        }
    }
}

/// Returns the cluster state that follows the one of `epoch` when all due changes are
/// applied, together with the members that it fences. The leased keys of these members
/// must not exist when it is committed. Returns `None` if nothing is due or `epoch` is
/// not the latest.
fn next_state<P: Platform>(
    node: &Node<P>,
    epoch: Epoch,
    lists: Option<Transition>,
    now: Instant,
) -> Option<(ClusterState, Vec<Member>)> {
    let mut membership = node.membership.lock();
    if membership.cluster_state().epoch != epoch {
        return None;
    }
    let mut changes: Vec<Transition> = lists.into_iter().collect();
    changes.extend(membership.due_transitions(now));
    if changes.is_empty() {
        return None;
    }
    let fenced = Transition::fenced_members(&changes);
    membership.apply_transitions(&changes).map(|cluster_state| (cluster_state, fenced))
}

/// Returns the change that brings newer lists into the cluster state, or `None` if there
/// are no newer lists, this member is not active or it is not yet its turn to propose them.
/// `since` is the time since which newer lists have been known here.
fn lists_transition<P: Platform>(
    node: &Node<P>,
    since: &mut Option<Instant>,
    now: Instant,
) -> Option<Transition> {
    let config = node.config.current();
    let membership = node.membership.lock();
    let cluster_state = membership.cluster_state();
    if config.revision <= cluster_state.ledger.revision || !cluster_state.is_active(membership.me())
    {
        *since = None;
        return None;
    }
    let first = cluster_state.live().next() == Some(membership.me());
    let since = *since.get_or_insert(now);
    if !first && now < since + LISTS_DELAY {
        return None;
    }
    let limits: BTreeMap<TeamId, Permits> =
        config.lists.plans.values().map(|plan| (plan.team.clone(), plan.limit)).collect();
    let pools = config.lists.pools.keys().cloned().collect();
    Some(Transition::SetLists { revision: config.revision, limits, pools })
}

/// Replaces the cluster state that was last written at `modified`. If the store has a
/// newer one, that one is applied instead. With a `lease`, this member's leased key is
/// written in the same transaction. The leased keys of the `fenced` members must not exist,
/// so that a member that has come back is not fenced. Returns whether the cluster state was
/// written.
async fn commit<P: Platform>(
    node: &Node<P>,
    cluster_state: &ClusterState,
    modified: Option<StoreRevision>,
    lease: Option<LeaseId>,
    fenced: &[Member],
) -> bool {
    let Ok(value) = cluster_state.encode() else { return false };
    node.metrics.record_control_message("store-book", Direction::Sent, value.len());
    let mut txn = Txn::new().expect(CLUSTER_STATE_KEY, modified).put(CLUSTER_STATE_KEY, value);
    for member in fenced {
        txn = txn.expect(member_key(member), None);
    }
    if let Some(lease) = lease {
        txn = txn.put_leased(member_key(&node.membership.me()), Vec::new(), lease);
    }
    let outcome = with_timeout(node.store.commit(txn)).await;
    node.metrics.record_store_call("commit", outcome.is_ok());
    match outcome {
        Ok(TxnOutcome::Committed { revision }) => {
            apply(node, cluster_state, revision);
            true
        }
        Ok(TxnOutcome::Conflict { found }) => {
            found
                .iter()
                .filter(|entry| entry.key.0 == CLUSTER_STATE_KEY)
                .for_each(|e| apply_entry(node, e));
            false
        }
        // The write may have taken effect. Reading the cluster state shows whether it
        // did.
        Err(_) => {
            read_state(node).await;
            false
        }
    }
}

/// Reads and applies the entry of the cluster state. The outer option is `None` if the
/// store did not answer, the inner one if there is no cluster state yet.
async fn read_state<P: Platform>(node: &Node<P>) -> Option<Option<Entry>> {
    let entry = with_timeout(node.store.get(&Key::from(CLUSTER_STATE_KEY))).await;
    node.metrics.record_store_call("get", entry.is_ok());
    let entry = entry.ok()?;
    if let Some(entry) = &entry {
        apply_entry(node, entry);
    }
    Some(entry)
}

/// Adds this member to the cluster state together with its leased key. Returns whether
/// this member is in the cluster state and its key is written.
pub(super) async fn join<P: Platform>(
    node: &Node<P>,
    record: MemberRecord,
    lease: LeaseId,
) -> bool {
    let me = node.membership.me();
    for _ in 0..JOIN_ATTEMPTS {
        let Some(entry) = read_state(node).await else { return false };
        let cluster_state = node.membership.lock().cluster_state().clone();
        let modified = entry.map(|entry| entry.modified);
        let known = cluster_state.member_state(&me);
        if cluster_state.is_retired(&me) {
            node.fenced.notify_one();
            return false;
        }
        let next = match known {
            // Only the key is missing, because its lease has expired.
            Some(_) => Some(cluster_state),
            None => {
                let join = Transition::Join { member: me.clone(), record: record.clone() };
                cluster_state.apply_allowed::<NoFaults>(&[join])
            }
        };
        let Some(next) = next else { return false };
        if commit(node, &next, modified, Some(lease), &[]).await {
            return true;
        }
        tokio::time::sleep(PROPOSE_INTERVAL / 4).await;
    }
    false
}
