//! Test of how a writer resolves a write whose answer was lost.
//!
//! The writer repeats the same transaction, which also writes a receipt together with the
//! change. Whatever is lost, delayed or concurrent, each change must take effect exactly once,
//! and its writer must know that it did.

use std::time::Duration;

use proptest::prelude::*;
use tokio::runtime::Builder;
use vg_base::ManualClock;
use vg_store::{
    Error, FaultControl, FaultOdds, FaultyStore, Key, MemStore, Store, Txn, TxnOutcome,
};

type Faulty = FaultyStore<MemStore<ManualClock>>;

const LIST: &str = "s/list";
const NODES: u64 = 3;
const CHANGES: usize = 8;

/// Appends `id` to the list. Returns as soon as it is certain that the list contains it.
async fn append(store: &Faulty, id: &str) {
    loop {
        // The answer may be stale: the condition of the transaction then fails.
        let Ok(entry) = store.get(&Key::from(LIST)).await else { continue };
        let before = entry.as_ref().map(|entry| entry.modified);
        let mut list = entry.map(|entry| entry.value.to_vec()).unwrap_or_default();
        list.extend_from_slice(format!("{id} ").as_bytes());
        let receipt = format!("s/receipts/{id}");
        let txn = Txn::new()
            .expect(LIST, before)
            .expect(receipt.as_str(), None)
            .put(LIST, list)
            .put(receipt.as_str(), "");
        if resolve(store, txn, &Key::from(receipt)).await {
            return;
        }
        // A lagging follower catches up eventually.
        store.faults().set_stale(false);
    }
}

/// Commits a transaction until its outcome is known. Returns whether it took effect. If it did
/// not, it never will, since a revision that a condition names can't come back.
async fn resolve(store: &Faulty, txn: Txn, receipt: &Key) -> bool {
    loop {
        match store.commit(txn.clone()).await {
            Ok(TxnOutcome::Committed { .. }) => return true,
            Ok(TxnOutcome::Conflict { found }) => {
                return found.iter().any(|entry| entry.key == *receipt);
            }
            Err(Error::Unavailable { .. } | Error::AnswerLost { .. }) => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Err(other) => panic!("{other}"),
        }
    }
}

/// Runs several nodes that append to the list concurrently, with random faults. Returns the
/// elements of the list.
async fn race(seed: u64, odds: FaultOdds, stale: bool) -> Vec<String> {
    let shared = MemStore::new(ManualClock::default());
    let mut nodes = tokio::task::JoinSet::new();
    for node in 0..NODES {
        let faults = FaultControl::new();
        faults.set_odds(seed ^ node, odds);
        let store = FaultyStore::new(shared.clone(), faults.clone());
        nodes.spawn(async move {
            for at in 0..CHANGES {
                faults.set_stale(stale && node == 0);
                append(&store, &format!("{node}-{at}")).await;
            }
        });
    }
    nodes.join_all().await;
    // Delayed writes whose outcome is already resolved arrive now.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let list = shared.get(&Key::from(LIST)).await.unwrap().unwrap().value;
    let list = String::from_utf8(list.to_vec()).unwrap();
    list.split_whitespace().map(str::to_owned).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A writer that treats a lost answer as a failed write would append twice, and a writer
    /// that treats a lost answer as a success would lose its change.
    #[test]
    fn each_change_takes_effect_once_and_its_writer_knows(
        seed in any::<u64>(),
        unavailable in 0..150u32,
        request_lost in 0..150u32,
        answer_lost in 0..150u32,
        delayed_effect in 0..300u32,
        stale in any::<bool>(),
    ) {
        let odds = FaultOdds {
            unavailable,
            request_lost,
            answer_lost,
            delayed_effect,
            lease_expired: 0,
        };
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build()?;
        let mut list = runtime.block_on(race(seed, odds, stale));
        list.sort_unstable();
        let expected = (0..NODES).flat_map(|node| (0..CHANGES).map(move |at| format!("{node}-{at}")));
        prop_assert_eq!(list, expected.collect::<Vec<_>>());
    }
}
