//! Changes of the lists in a store that loses answers and delays writes, while other
//! operators change the lists concurrently.

use std::collections::BTreeMap;

use crate::support::faulty::{Fault, FaultyStore};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use vg_base::prelude::{Duration, Revision};
use vg_cli::revision::{ApplyOutcome, Proposal, Resolution, RevisionError, Revisions};
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
    Revisions::new(store.clone()).with_retry_delay(Duration::ZERO)
}

fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(future)
}

fn stored(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Stored { revision: Revision(revision) }
}

/// Applies one change on top of revision 1. The faults apply to its calls in order:
/// the read, the commit, and then the calls that resolve a lost answer.
async fn one_change(faults: &[Fault]) -> (FaultyStore, Result<ApplyOutcome, RevisionError>) {
    let store = FaultyStore::new([]);
    revisions(&store).apply(&proposal(0, 1)).await.unwrap();
    store.set_faults(faults.iter().copied());
    let outcome = revisions(&store).apply(&proposal(1, 2)).await;
    (store, outcome)
}

/// If the answer to a commit is lost, the change may be stored or not. A wrong report
/// would let the operator apply the change twice or not at all.
#[test]
fn a_lost_answer_is_resolved_by_reading() {
    run(async {
        let (_, outcome) = one_change(&[Fault::None, Fault::AnswerLost]).await;
        assert_eq!(outcome.unwrap(), stored(2));
        let (store, outcome) = one_change(&[Fault::None, Fault::RequestLost]).await;
        assert_eq!(outcome.unwrap(), ApplyOutcome::NotStored);
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

/// A write whose answer was lost may reach the store later. If it took effect after the
/// change was reported as not stored, lists that nobody expects would come into force.
#[test]
fn a_delayed_write_has_no_effect_after_the_change_was_reported_as_not_stored() {
    run(async {
        let (store, outcome) = one_change(&[Fault::None, Fault::Delayed]).await;
        assert_eq!(outcome.unwrap(), ApplyOutcome::NotStored);
        store.apply_delayed().await;
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

/// Before the first revision there is no value that could be written again to stop a
/// delayed write. Resolving has to write an empty value then, and the next change has
/// to succeed on top of it.
#[test]
fn the_first_change_is_resolved_too() {
    run(async {
        let store = FaultyStore::new([Fault::None, Fault::Delayed]);
        let first = revisions(&store).apply(&proposal(0, 1)).await.unwrap();
        assert_eq!(first, ApplyOutcome::NotStored);
        store.apply_delayed().await;
        let second = revisions(&store).apply(&proposal(0, 2)).await.unwrap();
        assert_eq!(second, stored(1));
    });
}

/// The store adapter may send a transaction again after a lost answer. The second copy
/// conflicts with the first one, and this must not be reported as a change by another
/// operator.
#[test]
fn a_transaction_that_is_sent_twice_is_not_a_conflict() {
    run(async {
        let (_, outcome) = one_change(&[Fault::None, Fault::SentTwice]).await;
        assert_eq!(outcome.unwrap(), stored(2));
    });
}

/// If the store becomes unreachable right after the commit, the outcome can't be
/// resolved. It must be reported as unknown, and it must be possible to resolve it
/// later, with and without the base.
#[test]
fn an_outage_after_the_commit_gives_an_unknown_outcome_that_is_resolved_later() {
    run(async {
        let faults = [Fault::None, Fault::AnswerLost].into_iter().chain([Fault::Unreachable; 5]);
        let faults: Vec<Fault> = faults.collect();
        let (store, outcome) = one_change(&faults).await;
        assert!(matches!(outcome.unwrap(), ApplyOutcome::Unknown { .. }));
        for base in [None, Some(Revision(1))] {
            let resolved = revisions(&store).resolve(ChangeId::new(2), base).await.unwrap();
            assert_eq!(resolved, Resolution::Stored { revision: Revision(2) });
        }
    });
}

/// A commit that never reached the store must be reported as an error, because an
/// unknown outcome would make the operator resolve a change that can't be stored.
#[test]
fn an_outage_before_the_commit_changes_nothing() {
    run(async {
        let (store, outcome) = one_change(&[Fault::None, Fault::Unreachable]).await;
        assert!(matches!(outcome, Err(RevisionError::Store { .. })));
        assert_eq!(revisions(&store).current().await.unwrap().revision(), Revision(1));
    });
}

/// A change that was made from an older revision would revert the changes of other
/// operators. The changes since a base that is newer than the store's revision are not
/// known, so that such a change must not be stored, either.
#[test]
fn a_stale_base_is_a_conflict_and_a_future_base_is_an_error() {
    run(async {
        let (store, _) = one_change(&[]).await;
        let stale = revisions(&store).apply(&proposal(1, 9)).await.unwrap();
        assert!(
            matches!(stale, ApplyOutcome::Conflict { newest } if newest.revision == Revision(2))
        );
        let future = revisions(&store).apply(&proposal(7, 9)).await;
        assert!(matches!(future, Err(RevisionError::OlderRevision { .. })));
        let resolved = revisions(&store).resolve(ChangeId::new(9), Some(Revision(1))).await;
        assert_eq!(resolved.unwrap(), Resolution::NotStored);
    });
}

/// Entry hosts reject invalid lists, so these must not get into the store. The first
/// store call would fail here, which shows that the lists are checked before it.
#[test]
fn invalid_lists_are_rejected_without_a_store_call() {
    run(async {
        let store = FaultyStore::new([Fault::Unreachable]);
        let invalid = Proposal { plans: "[plan a]".to_owned(), ..proposal(0, 1) };
        let refused = revisions(&store).apply(&invalid).await;
        assert!(matches!(refused, Err(RevisionError::Invalid { .. })));
    });
}

/// The history must not grow without bound. A change that is older than the history
/// can't be resolved, and must not be reported as not stored.
#[test]
fn the_history_keeps_the_newest_revisions_only() {
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
            let resolved = revisions(&store).resolve(ChangeId::new(0), base).await.unwrap();
            assert_eq!(resolved, Resolution::HistoryExpired);
        }
    });
}

/// After the store was restored from an old copy, entry hosts reject all revisions up
/// to the newest one that they have seen. The change must skip the lost revisions, and
/// resolving must find a change that skipped some.
#[test]
fn after_lost_revisions_a_change_becomes_a_later_revision() {
    let above = |change| Proposal { above: Revision(9), ..proposal(2, change) };
    run(async {
        let (store, _) = one_change(&[]).await;
        store.set_faults([Fault::None, Fault::Delayed]);
        assert_eq!(revisions(&store).apply(&above(3)).await.unwrap(), ApplyOutcome::NotStored);
        store.set_faults([Fault::None, Fault::AnswerLost]);
        assert_eq!(revisions(&store).apply(&above(4)).await.unwrap(), stored(10));
        store.apply_delayed().await;
        let next = revisions(&store).apply(&proposal(10, 5)).await.unwrap();
        assert_eq!(next, stored(11));
        let resolve = async |change| {
            let resolved =
                revisions(&store).resolve(ChangeId::new(change), Some(Revision(2))).await;
            resolved.unwrap()
        };
        assert_eq!(resolve(3).await, Resolution::NotStored);
        assert_eq!(resolve(4).await, Resolution::Stored { revision: Revision(10) });
    });
}

/// Returns every value that the lists ever had, in the order of the store.
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
        Fault::Unreachable,
        Fault::RequestLost,
        Fault::AnswerLost,
        Fault::Delayed,
        Fault::SentTwice,
    ];
    vec(select(all), 0..60)
}

/// Simulates an operator who edits the newest revision repeatedly, regardless of the
/// outcome of the last attempt. Returns the outcome of each attempt.
async fn operator(store: &FaultyStore, id: u128) -> Vec<(ChangeId, Option<ApplyOutcome>)> {
    let revisions = revisions(store);
    let mut outcomes = Vec::new();
    for attempt in 0..4 {
        let Ok(current) = revisions.current().await else { continue };
        let each = proposal(current.revision().get(), id * 100 + attempt);
        let outcome = revisions.apply(&each).await;
        outcomes.push((each.change, outcome.ok()));
    }
    outcomes
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Three operators change the lists concurrently while store calls fail at random.
    /// A change that is reported as stored must be in the store under its revision, and
    /// a change that is reported as not stored must never get there. Revisions must not
    /// go back or skip a number.
    #[test]
    fn stored_changes_are_never_reverted_by_faults_or_other_operators(faults in faults()) {
        run(async {
            let store = FaultyStore::new(faults);
            let (a, b, c) =
                tokio::join!(operator(&store, 1), operator(&store, 2), operator(&store, 3));
            store.apply_delayed().await;
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
            for (change, outcome) in a.into_iter().chain(b).chain(c) {
                let found = first.get(&change).copied();
                match outcome {
                    Some(ApplyOutcome::Stored { revision }) => prop_assert_eq!(found, Some(revision)),
                    Some(ApplyOutcome::Unknown { .. }) => {}
                    Some(ApplyOutcome::Conflict { .. } | ApplyOutcome::NotStored) | None => {
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
