//! Follows the operators' lists in the store.

use vg_base::prelude::*;
use vg_conf::Lists;
use vg_conf::stored::LISTS_KEY;
use vg_events::{Code, Field};
use vg_share::PoolRules;
use vg_store::{Key, Listing};

use crate::config::{ActiveConfig, OfferOutcome};
use crate::follow::{Observed, confirmation_size, follow, listing_size};
use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;

/// Interval at which the lists are confirmed to be current. It is well below the time for
/// which a confirmation is valid, so that one lost answer does no harm.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the lists in the store.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let observe = |observed| match observed {
        Observed::Listed { sent, listing } => {
            node.metrics.record_store_call("lists", true);
            node.metrics.record_control_message(
                "store-lists",
                Direction::Received,
                listing_size(&listing),
            );
            apply_listing(&node, sent, &listing);
        }
        Observed::Confirmed { sent, listing } => {
            node.metrics.record_store_call("lists-confirm", true);
            node.metrics.record_control_message(
                "store-lists",
                Direction::Sent,
                confirmation_size(&listing),
            );
            apply_listing(&node, sent, &listing);
        }
        Observed::Failed(error) => {
            node.metrics.record_store_call("lists", false);
            log::debug!("following the lists: {error}");
        }
    };
    let prefix = Key::from(LISTS_KEY);
    follow(&node.store, &node.clock, prefix, CONFIRM_INTERVAL, observe).await;
}

/// Applies the entry of the lists, if there is one, and records that its revision was
/// current at some time after `sent`.
fn apply_listing<P: Platform>(node: &Node<P>, sent: Instant, listing: &Listing) {
    let entry = listing.entries.iter().find(|entry| entry.key.0 == LISTS_KEY);
    let Some(entry) = entry else { return };
    if offer(node, &entry.value) {
        let revision = node.config.current().revision;
        node.membership.lock().authority_mut().note_revision(sent, revision);
    }
}

/// Puts lists in force if they are newer and valid. Returns whether the lists in force
/// are now at least as new as the offered value.
pub(crate) fn offer<P: Platform>(node: &Node<P>, bytes: &[u8]) -> bool {
    let before = node.config.current();
    match node.config.offer(bytes) {
        Ok(OfferOutcome::AlreadyApplied) => true,
        Ok(OfferOutcome::Applied) => {
            apply(node, &before);
            true
        }
        Err(error) => {
            // A bad value is recorded once, not each time it is read.
            if node.config.note_rejected(bytes) {
                let fields = [Field::new("reason", error), Field::new("in-force", before.revision)];
                node.events.record(Code::ListsRefused, fields);
            }
            false
        }
    }
}

/// Applies the lists in force to the membership and the pools. `before` are the lists
/// that were in force until now.
fn apply<P: Platform>(node: &Node<P>, before: &ActiveConfig) {
    let config = node.config.current();
    record_withdrawn_keys(node, &before.lists, &config.lists);
    node.membership.lock().set_revision(config.revision);
    for pool in node.pools.all() {
        pool.configure(PoolRules::from_lists(&config.lists, pool.pool()));
    }
    let fields = [Field::new("revision", config.revision), Field::new("before", before.revision)];
    node.events.record(Code::RevisionInForce, fields);
}

/// Records the teams that have keys which are no longer in force, with the number of keys
/// but never the keys themselves.
fn record_withdrawn_keys<P: Platform>(node: &Node<P>, before: &Lists, now: &Lists) {
    for plan in before.plans.values() {
        let withdrawn = plan.keys.iter().filter(|key| now.plan_of_digest(key).is_none()).count();
        if withdrawn > 0 {
            let fields = [Field::new("team", &plan.team), Field::new("keys", withdrawn)];
            node.events.record(Code::KeyWithdrawn, fields);
        }
    }
}
