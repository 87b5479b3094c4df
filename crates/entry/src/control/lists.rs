//! Following the operators' lists.

use vg_base::prelude::*;
use vg_conf::Lists;
use vg_conf::stored::LISTS_KEY;
use vg_events::{Code, Field};
use vg_share::PoolRules;
use vg_store::{Key, Listing};

use crate::config::{ActiveConfig, OfferOutcome};
use crate::follow::{Observed, follow, question_size, size};
use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;

/// Period in which the lists are confirmed to be current. Well below the time
/// for which a confirmation counts, so that one lost answer does no harm.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Follows the lists in the store.
pub(super) async fn run<P: Platform>(node: Node<P>) {
    let observe = |observed| match observed {
        Observed::Listed { asked, listing } => {
            node.metrics.record_store_call("lists", true);
            node.metrics.record_control_message("store-lists", Direction::Received, size(&listing));
            take_in(&node, asked, &listing);
        }
        Observed::Confirmed { asked, listing } => {
            node.metrics.record_store_call("lists-confirm", true);
            node.metrics.record_control_message(
                "store-lists",
                Direction::Sent,
                question_size(&listing),
            );
            take_in(&node, asked, &listing);
        }
        Observed::Failed(error) => {
            node.metrics.record_store_call("lists", false);
            log::debug!("following the lists: {error}");
        }
    };
    let prefix = Key::from(LISTS_KEY);
    follow(&node.store, &node.clock, prefix, CONFIRM_PERIOD, observe).await;
}

fn take_in<P: Platform>(node: &Node<P>, asked: Instant, listing: &Listing) {
    let entry = listing.entries.iter().find(|entry| entry.key.0 == LISTS_KEY);
    let Some(entry) = entry else { return };
    if offer(node, &entry.value) {
        let revision = node.config.current().revision;
        node.membership.lock().authority_mut().note_revision(asked, revision);
    }
}

/// Puts lists in force if they are newer and sound. Returns whether what is in
/// force is now at least as new as the offered value.
pub(crate) fn offer<P: Platform>(node: &Node<P>, bytes: &[u8]) -> bool {
    let before = node.config.current();
    match node.config.offer(bytes) {
        Ok(OfferOutcome::AlreadyApplied) => true,
        Ok(OfferOutcome::Applied) => {
            enforce(node, &before);
            true
        }
        Err(error) => {
            // Once for each bad value, not for each look at it.
            if node.config.note_refused(bytes) {
                let fields = [Field::new("reason", error), Field::new("in-force", before.revision)];
                node.events.record(Code::ListsRefused, fields);
            }
            false
        }
    }
}

fn enforce<P: Platform>(node: &Node<P>, before: &ActiveConfig) {
    let config = node.config.current();
    record_withdrawn(node, &before.lists, &config.lists);
    node.membership.lock().set_revision(config.revision);
    for pool in node.pools.all() {
        pool.configure(PoolRules::from_lists(&config.lists, pool.pool()));
    }
    let fields = [Field::new("revision", config.revision), Field::new("before", before.revision)];
    node.events.record(Code::RevisionInForce, fields);
}

/// Records whose keys are not in force any more, never the keys themselves.
fn record_withdrawn<P: Platform>(node: &Node<P>, before: &Lists, now: &Lists) {
    for plan in before.plans.values() {
        let gone = plan.keys.iter().filter(|key| now.plan_of_digest(key).is_none()).count();
        if gone > 0 {
            let fields = [Field::new("team", &plan.team), Field::new("keys", gone)];
            node.events.record(Code::KeyWithdrawn, fields);
        }
    }
}
