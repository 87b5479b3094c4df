//! The book: following it, and committing this member's changes.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_limit::faults::NoFaults;
use vg_peer::{ClusterState, MemberRecord, Transition};
use vg_store::{Entry, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

use crate::control::keys::{BOOK, CONTROL_PREFIX, member_key, member_of};
use crate::control::ownership;
use crate::follow::{Observed, bounded, follow, question_size, size};
use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;

/// Period in which the book and the members' keys are read anyway.
const READ_PERIOD: Duration = Duration::from_millis(800);
/// Period in which due changes are looked for.
const CHANGE_PERIOD: Duration = Duration::from_millis(100);
/// How long the first live member has to propose new lists alone.
const LISTS_TURN: Duration = Duration::from_millis(700);
/// Tries of one own transition against concurrent changes.
const TRIES: u32 = 20;

/// Follows the book and commits what is due.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let observe = |observed| match observed {
        Observed::Listed { asked, listing } => {
            node.metrics.record_store_call("book", true);
            node.metrics.record_control_message("store-book", Direction::Received, size(&listing));
            take_in(&node, asked, &listing);
        }
        Observed::Confirmed { asked, listing } => {
            node.metrics.record_store_call("book-confirm", true);
            node.metrics.record_control_message(
                "store-book",
                Direction::Sent,
                question_size(&listing),
            );
            take_in(&node, asked, &listing);
        }
        Observed::Failed(error) => {
            node.metrics.record_store_call("book", false);
            log::debug!("following the book: {error}");
        }
    };
    let prefix = Key::from(CONTROL_PREFIX);
    let following = follow(&node.store, &node.clock, prefix, READ_PERIOD, observe);
    tokio::join!(following, propose(&node));
}

fn take_in<P: Platform>(node: &Node<P>, asked: Instant, listing: &Listing) {
    let present: BTreeSet<Member> =
        listing.entries.iter().filter_map(|entry| member_of(&entry.key)).collect();
    if let Some(entry) = listing.entries.iter().find(|entry| entry.key.0 == BOOK) {
        apply_entry(node, entry);
    }
    node.membership.lock().note_leases(asked, &present);
}

fn apply_entry<P: Platform>(node: &Node<P>, entry: &Entry) {
    // Each confirmation brings the same value; it was taken in before.
    if node.book_revision().is_some_and(|(_, known)| known == entry.modified) {
        return;
    }
    match ClusterState::decode(&entry.value) {
        Ok(book) => apply(node, &book, entry.modified),
        Err(error) => {
            let fields = [Field::new("key", BOOK), Field::new("reason", error)];
            node.events.record(Code::ValueUnreadable, fields);
        }
    }
}

fn apply<P: Platform>(node: &Node<P>, book: &ClusterState, modified: StoreRevision) {
    let now = node.clock.now();
    let mut membership = node.membership.lock();
    let before = membership.cluster_state().clone();
    membership.apply(now, book, true);
    drop(membership);
    if book.epoch < before.epoch {
        return;
    }
    *node.book_revision() = Some((book.epoch, modified));
    if book.epoch > before.epoch {
        record_members(node, &before, book);
        ownership::refresh(node, &before);
    }
}

fn record_members<P: Platform>(node: &Node<P>, before: &ClusterState, book: &ClusterState) {
    for member in before.members.keys().filter(|member| !book.members.contains_key(*member)) {
        node.events.record(Code::PermitsReclaimed, [Field::new("member", member)]);
    }
    for (member, record) in &book.members {
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

/// Commits due changes, one compare-and-swap after the other.
async fn propose<P: Platform>(node: &Node<P>) {
    let mut lists_since = None;
    loop {
        // Either way what is due is looked for.
        let _ = tokio::time::timeout(CHANGE_PERIOD, node.due.notified()).await;
        let now = node.clock.now();
        let Some((epoch, modified)) = *node.book_revision() else { continue };
        let lists = lists_change(node, &mut lists_since, now);
        if let Some((book, guards)) = next_book(node, epoch, lists, now) {
            commit(node, &book, Some(modified), None, &guards).await;
        }
    }
}

/// Returns the book of `epoch` with all changes that are due, and the members
/// whose leased keys must not exist for it.
fn next_book<P: Platform>(
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
    let guards = Transition::fenced_members(&changes);
    membership.apply_transitions(&changes).map(|book| (book, guards))
}

/// Returns the change that brings newer lists into the book, if it is this
/// member's turn.
fn lists_change<P: Platform>(
    node: &Node<P>,
    since: &mut Option<Instant>,
    now: Instant,
) -> Option<Transition> {
    let config = node.config.current();
    let membership = node.membership.lock();
    let book = membership.cluster_state();
    if config.revision <= book.ledger.revision || !book.is_active(membership.me()) {
        *since = None;
        return None;
    }
    let first = book.live().next() == Some(membership.me());
    let since = *since.get_or_insert(now);
    if !first && now < since + LISTS_TURN {
        return None;
    }
    let limits: BTreeMap<TeamId, Permits> =
        config.lists.plans.values().map(|plan| (plan.team.clone(), plan.limit)).collect();
    let pools = config.lists.pools.keys().cloned().collect();
    Some(Transition::SetLists { revision: config.revision, limits, pools })
}

/// Writes a book in place of the one last written at `modified`; takes in what
/// the store has if that was not the latest. The leased keys of `guards` must
/// not exist: a member that is back must not be fenced. Returns whether it was
/// written.
async fn commit<P: Platform>(
    node: &Node<P>,
    book: &ClusterState,
    modified: Option<StoreRevision>,
    lease: Option<LeaseId>,
    guards: &[Member],
) -> bool {
    let Ok(value) = book.encode() else { return false };
    node.metrics.record_control_message("store-book", Direction::Sent, value.len());
    let mut txn = Txn::new().expect(BOOK, modified).put(BOOK, value);
    for member in guards {
        txn = txn.expect(member_key(member), None);
    }
    if let Some(lease) = lease {
        txn = txn.put_leased(member_key(&node.membership.me()), Vec::new(), lease);
    }
    let outcome = bounded(node.store.commit(txn)).await;
    node.metrics.record_store_call("commit", outcome.is_ok());
    match outcome {
        Ok(TxnOutcome::Committed { revision }) => {
            apply(node, book, revision);
            true
        }
        Ok(TxnOutcome::Conflict { found }) => {
            found.iter().filter(|entry| entry.key.0 == BOOK).for_each(|e| apply_entry(node, e));
            false
        }
        // In doubt: the next read of the book tells.
        Err(_) => {
            read(node).await;
            false
        }
    }
}

async fn read<P: Platform>(node: &Node<P>) -> Option<Option<Entry>> {
    let entry = bounded(node.store.get(&Key::from(BOOK))).await;
    node.metrics.record_store_call("get", entry.is_ok());
    let entry = entry.ok()?;
    if let Some(entry) = &entry {
        apply_entry(node, entry);
    }
    Some(entry)
}

/// Takes part, together with this member's leased key. Returns whether this
/// member is in the book and its key is written.
pub(super) async fn join<P: Platform>(
    node: &Node<P>,
    record: MemberRecord,
    lease: LeaseId,
) -> bool {
    let me = node.membership.me();
    for _ in 0..TRIES {
        let Some(entry) = read(node).await else { return false };
        let book = node.membership.lock().cluster_state().clone();
        let modified = entry.map(|entry| entry.modified);
        let known = book.member_state(&me);
        if book.is_retired(&me) {
            node.fenced.notify_one();
            return false;
        }
        let changed = match known {
            // Only the key is missing: its lease had lapsed.
            Some(_) => Some(book),
            None => {
                let join = Transition::Join { member: me.clone(), record: record.clone() };
                book.apply_allowed::<NoFaults>(&[join])
            }
        };
        let Some(changed) = changed else { return false };
        if commit(node, &changed, modified, Some(lease), &[]).await {
            return true;
        }
        tokio::time::sleep(CHANGE_PERIOD / 4).await;
    }
    false
}
