//! Comparison of two states of the lists: what changes, and for which teams.

mod differ;
mod difference;
mod effect;
mod subject;

use std::collections::{BTreeMap, BTreeSet};

use crate::lists::Lists;

pub use difference::Difference;
pub use effect::Effect;
pub use subject::Subject;

use differ::Differ;

/// Returns the differences between two states of the lists: plans first, then
/// pools, then queues.
pub fn diff(before: &Lists, after: &Lists) -> Vec<Difference> {
    let mut differ = Differ::new(before, after);
    for (id, old, new) in pairs(&before.plans, &after.plans) {
        differ.plan(id, old, new);
    }
    for (id, old, new) in pairs(&before.pools, &after.pools) {
        differ.pool(id, old, new);
    }
    for (id, old, new) in pairs(&before.queues, &after.queues) {
        differ.queue(id, old, new);
    }
    differ.differences
}

/// An id with the values before and after, of which at least one is there.
type ValuePair<'a, K, V> = (&'a K, Option<&'a V>, Option<&'a V>);

/// Pairs the values before and after by id, in the order of the ids.
fn pairs<'a, K: Ord, V>(
    before: &'a BTreeMap<K, V>,
    after: &'a BTreeMap<K, V>,
) -> Vec<ValuePair<'a, K, V>> {
    let ids: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    ids.into_iter().map(|id| (id, before.get(id), after.get(id))).collect()
}
