//! Changes of the lists against a store that loses answers, delays writes and
//! serves racing operators.

use std::collections::BTreeMap;

use crate::support::faulty::{Fault, FaultyStore};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use vg_base::prelude::{Duration, Revision};
use vg_cli::revise::{Proposal, RevisionError, Revisions, Settlement, Verdict};
use vg_conf::stored::{HISTORY_PREFIX, HISTORY_REVISIONS, LISTS_KEY};
use vg_conf::{ChangeId, StoredLists};
use vg_store::{Store, StoreRevision, Watch};

fn proposal(base: u64, change: u128) -> Proposal {
    Proposal {
        base: Revision(base),
        above: Revision::ZERO,
        plans: format!("[plan a]\nteam = a\nshare = 1\nlimit = {}\n", change + 1),
        uses: String::new(),
        change: ChangeId::new(change),
        author: "ops".into(),
        at_ms: 0,
    }
}

fn revisions(store: &FaultyStore) -> Revisions<FaultyStore> {
    Revisions::new(store.clone()).with_pause(Duration::ZERO)
}

fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(future)
}

fn stored(revision: u64) -> Verdict {
    Verdict::Stored { revision: Revision(revision) }
}

/// Applies one change on top of revision 1 with faults for its calls: the
/// read, the commit, and then those of the settlement.
async fn one_change(faults: &[Fault]) -> (FaultyStore, Result<Verdict, RevisionError>) {
    let store = FaultyStore::new([]);
    revisions(&store).apply(&proposal(0, 1)).await.unwrap();
    store.plan(faults.iter().copied());
    let verdict = revisions(&store).apply(&proposal(1, 2)).await;
    (store, verdict)
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    run(async {
        let (_, verdict) = one_change(&[Fault::None, Fault::LostAfter]).await;
        assert_eq!(verdict.unwrap(), stored(2));
        let (store, verdict) = one_change(&[Fault::None, Fault::LostBefore]).await;
        assert_eq!(verdict.unwrap(), Verdict::NotStored);
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

#[test]
fn a_write_that_comes_late_has_no_effect_once_it_is_called_not_stored() {
    run(async {
        let (store, verdict) = one_change(&[Fault::None, Fault::Delayed]).await;
        assert_eq!(verdict.unwrap(), Verdict::NotStored);
        store.flush().await;
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

#[test]
fn the_first_change_of_all_is_settled_too() {
    run(async {
        let store = FaultyStore::new([Fault::None, Fault::Delayed]);
        let first = revisions(&store).apply(&proposal(0, 1)).await.unwrap();
        assert_eq!(first, Verdict::NotStored);
        store.flush().await;
        let second = revisions(&store).apply(&proposal(0, 2)).await.unwrap();
        assert_eq!(second, stored(1));
    });
}

#[test]
fn a_transaction_that_was_sent_twice_is_no_conflict() {
    run(async {
        let (_, verdict) = one_change(&[Fault::None, Fault::SentTwice]).await;
        assert_eq!(verdict.unwrap(), stored(2));
    });
}

#[test]
fn an_outage_after_the_commit_is_unknown_and_settled_later() {
    run(async {
        let faults = [Fault::None, Fault::LostAfter].into_iter().chain([Fault::Unreached; 5]);
        let faults: Vec<Fault> = faults.collect();
        let (store, verdict) = one_change(&faults).await;
        assert!(matches!(verdict.unwrap(), Verdict::Unknown { .. }));
        for base in [None, Some(Revision(1))] {
            let settled = revisions(&store).settle(ChangeId::new(2), base).await.unwrap();
            assert_eq!(settled, Settlement::Stored { revision: Revision(2) });
        }
    });
}

#[test]
fn an_outage_before_the_commit_changes_nothing() {
    run(async {
        let (store, verdict) = one_change(&[Fault::None, Fault::Unreached]).await;
        assert!(matches!(verdict, Err(RevisionError::Store { .. })));
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

#[test]
fn a_stale_base_is_a_conflict_and_a_future_one_an_error() {
    run(async {
        let (store, _) = one_change(&[]).await;
        let stale = revisions(&store).apply(&proposal(1, 9)).await.unwrap();
        assert!(matches!(stale, Verdict::Conflict { newest } if newest.revision == Revision(2)));
        let future = revisions(&store).apply(&proposal(7, 9)).await;
        assert!(matches!(future, Err(RevisionError::OlderRevision { .. })));
        let settled = revisions(&store).settle(ChangeId::new(9), Some(Revision(1))).await;
        assert_eq!(settled.unwrap(), Settlement::NotStored);
    });
}

#[test]
fn faulty_lists_are_refused_before_the_store_is_asked() {
    run(async {
        let store = FaultyStore::new([Fault::Unreached]);
        let faulty = Proposal { plans: "[plan a]".to_owned(), ..proposal(0, 1) };
        let refused = revisions(&store).apply(&faulty).await;
        assert!(matches!(refused, Err(RevisionError::Invalid { .. })));
    });
}

#[test]
fn the_history_keeps_the_newest_and_older_changes_are_forgotten() {
    run(async {
        let store = FaultyStore::new([]);
        let last = HISTORY_REVISIONS + 3;
        for revision in 0..last {
            let each = proposal(revision, u128::from(revision));
            revisions(&store).apply(&each).await.unwrap();
        }
        let history = revisions(&store).history().await.unwrap();
        assert_eq!(history.len() as u64, HISTORY_REVISIONS);
        assert_eq!(history.last().unwrap().revision, Revision(last));
        for base in [None, Some(Revision(0))] {
            let settled = revisions(&store).settle(ChangeId::new(0), base).await.unwrap();
            assert_eq!(settled, Settlement::Forgotten);
        }
    });
}

#[test]
fn a_store_that_went_back_gets_a_revision_later_than_the_lost_ones() {
    let above = |change| Proposal { above: Revision(9), ..proposal(2, change) };
    run(async {
        let (store, _) = one_change(&[]).await;
        store.plan([Fault::None, Fault::Delayed]);
        assert_eq!(revisions(&store).apply(&above(3)).await.unwrap(), Verdict::NotStored);
        store.plan([Fault::None, Fault::LostAfter]);
        assert_eq!(revisions(&store).apply(&above(4)).await.unwrap(), stored(10));
        store.flush().await;
        let next = revisions(&store).apply(&proposal(10, 5)).await.unwrap();
        assert_eq!(next, stored(11));
        let settle = async |change| {
            let settled = revisions(&store).settle(ChangeId::new(change), Some(Revision(2))).await;
            settled.unwrap()
        };
        assert_eq!(settle(3).await, Settlement::NotStored);
        assert_eq!(settle(4).await, Settlement::Stored { revision: Revision(10) });
    });
}

/// Returns each value that the lists ever had, in the store's order.
async fn values(store: &FaultyStore) -> Vec<StoredLists> {
    let mut watch = store.inner.watch(&LISTS_KEY.into(), StoreRevision(1)).await.unwrap();
    let last = store.inner.get(&LISTS_KEY.into()).await.unwrap().map(|entry| entry.modified);
    let (mut found, mut seen) = (Vec::new(), StoreRevision(0));
    while last.is_some_and(|last| seen < last) {
        let batch = watch.next().await.unwrap();
        seen = seen.max(batch.revision);
        let entries = batch.changes.into_iter().filter_map(|(_, entry)| entry);
        found.extend(entries.map(|entry| StoredLists::decode_unchecked(&entry.value).unwrap()));
    }
    found
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let all = vec![
        Fault::None,
        Fault::None,
        Fault::Unreached,
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::Delayed,
        Fault::SentTwice,
    ];
    vec(select(all), 0..60)
}

/// One operator: edits the newest revision time after time, whatever came of
/// the last attempt, and returns each attempt's verdict.
async fn operator(store: &FaultyStore, id: u128) -> Vec<(ChangeId, Option<Verdict>)> {
    let revisions = revisions(store);
    let mut verdicts = Vec::new();
    for attempt in 0..4 {
        let Ok(current) = revisions.current().await else { continue };
        let each = proposal(current.revision().get(), id * 100 + attempt);
        let verdict = revisions.apply(&each).await;
        verdicts.push((each.change, verdict.ok()));
    }
    verdicts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn accepted_never_reverts_whatever_operators_and_store_do(faults in faults()) {
        run(async {
            let store = FaultyStore::new(faults);
            let (a, b, c) =
                tokio::join!(operator(&store, 1), operator(&store, 2), operator(&store, 3));
            store.flush().await;
            let values = values(&store).await;
            let mut first: BTreeMap<ChangeId, Revision> = BTreeMap::new();
            let mut newest = Revision::ZERO;
            for value in &values {
                let known = first.get(&value.change);
                if known.is_none() && value.revision > Revision::ZERO {
                    prop_assert_eq!(value.revision, newest.next());
                    first.insert(value.change, value.revision);
                }
                prop_assert!(value.revision >= newest);
                newest = value.revision;
            }
            for (change, verdict) in a.into_iter().chain(b).chain(c) {
                let found = first.get(&change).copied();
                match verdict {
                    Some(Verdict::Stored { revision }) => prop_assert_eq!(found, Some(revision)),
                    Some(Verdict::Unknown { .. }) => {}
                    Some(Verdict::Conflict { .. } | Verdict::NotStored) | None => {
                        prop_assert_eq!(found, None);
                    }
                }
            }
            let history = store.inner.range(&HISTORY_PREFIX.into()).await.unwrap();
            prop_assert_eq!(history.entries.len(), first.len());
            Ok(())
        })?;
    }
}
