//! What a change of the lists means.

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

/// Lists the differences between two states of the lists, plans first.
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
    differ.found
}

type Pair<'a, K, V> = (&'a K, Option<&'a V>, Option<&'a V>);

fn pairs<'a, K: Ord, V>(
    before: &'a BTreeMap<K, V>,
    after: &'a BTreeMap<K, V>,
) -> Vec<Pair<'a, K, V>> {
    let ids: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    ids.into_iter().map(|id| (id, before.get(id), after.get(id))).collect()
}
