//! Tests of the injected faults between one node and its store, and of the bounded history
//! of the in-memory store.

use std::time::Duration;

use vg_base::ManualClock;
use vg_store::{
    CallKind, Error, Fault, FaultControl, FaultOdds, FaultyStore, Key, MemStore, RateLimits, Store,
    StoreRevision, Txn, TxnOutcome, Watch,
};

type Faulty = FaultyStore<MemStore<ManualClock>>;

fn store() -> (Faulty, FaultControl) {
    let faults = FaultControl::new();
    (FaultyStore::new(MemStore::new(ManualClock::default()), faults.clone()), faults)
}

fn create() -> Txn {
    Txn::new().expect("k/a", None).put("k/a", "mine")
}

fn prefix() -> Key {
    Key::from("k/")
}

/// Returns the value of `k/a` in the wrapped store, without faults.
async fn value(store: &Faulty) -> Option<String> {
    let entry = store.inner().get(&Key::from("k/a")).await.unwrap();
    entry.map(|entry| String::from_utf8(entry.value.to_vec()).unwrap())
}

/// A writer whose answer was lost must be able to find out that its write took effect, or it
/// would write twice.
#[tokio::test]
async fn a_retry_after_a_lost_answer_shows_that_the_write_took_effect() {
    let (store, faults) = store();
    faults.script(CallKind::Txn, Fault::AnswerLost, 1);
    let error = store.commit(create()).await.unwrap_err();
    assert!(matches!(error, Error::AnswerLost { .. }) && !error.had_no_effect());
    // The same conditions again resolve it: the conflict returns the writer's own value.
    let TxnOutcome::Conflict { found } = store.commit(create()).await.unwrap() else {
        panic!("the write took effect twice");
    };
    assert_eq!(found[0].value, "mine");
}

/// A lost request looks like a lost answer, but a retry must take effect.
#[tokio::test]
async fn a_lost_request_has_no_effect_and_a_retry_takes_effect() {
    let (store, faults) = store();
    faults.script(CallKind::Txn, Fault::RequestLost, 1);
    assert!(matches!(store.commit(create()).await, Err(Error::AnswerLost { .. })));
    assert_eq!(value(&store).await, None);
    assert!(matches!(store.commit(create()).await, Ok(TxnOutcome::Committed { .. })));
}

/// A write whose answer was lost may take effect later. It must not overwrite a write that
/// was committed in between, since its condition no longer holds.
#[tokio::test(start_paused = true)]
async fn a_delayed_write_cannot_overwrite_a_write_committed_in_between() {
    let (store, faults) = store();
    faults.script(CallKind::Txn, Fault::DelayedEffect(Duration::from_secs(5)), 1);
    assert!(store.commit(create()).await.is_err());
    // A read alone would wrongly show the write as lost.
    assert_eq!(value(&store).await, None);
    let other = Txn::new().expect("k/a", None).put("k/a", "other");
    store.commit(other).await.unwrap();
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(value(&store).await.as_deref(), Some("other"));
}

/// Tests of outages rely on a fault handle that affects only its own node.
#[tokio::test]
async fn one_node_is_cut_off_without_the_others() {
    let shared = MemStore::new(ManualClock::default());
    let (left, right) = (FaultControl::new(), FaultControl::new());
    let cut = FaultyStore::new(shared.clone(), left.clone());
    let connected = FaultyStore::new(shared, right);
    let mut watch = cut.watch(&prefix(), StoreRevision(1)).await.unwrap();
    left.set_down(true);
    assert!(watch.next().await.is_err());
    assert!(matches!(cut.watch(&prefix(), StoreRevision(1)).await, Err(Error::Unavailable { .. })));
    let error = cut.commit(create()).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }) && error.had_no_effect());
    assert!(connected.commit(create()).await.is_ok());
    left.set_down(false);
    assert_eq!(cut.range(&prefix()).await.unwrap().entries.len(), 1);
}

/// A watch that misses compacted revisions without an error would leave its copy of the keys
/// wrong for ever.
#[tokio::test]
async fn a_compacted_watch_ends_with_the_oldest_revision() {
    let (store, faults) = store();
    let mut running = store.watch(&prefix(), StoreRevision(1)).await.unwrap();
    faults.compact_watches(StoreRevision(9));
    assert_eq!(running.next().await, Err(Error::Compacted { oldest: StoreRevision(9) }));
    store.commit(create()).await.unwrap();
    let now = store.inner().revision();
    store.inner().compact(now);
    let behind = store.watch(&prefix(), StoreRevision(1)).await;
    assert_eq!(behind.unwrap_err(), Error::Compacted { oldest: now });
    let mut current = store.watch(&prefix(), now).await.unwrap();
    assert_eq!(current.next().await.unwrap().changes.len(), 1);
}

/// A connection may stall without an error. The watch must deliver nothing meanwhile, and
/// must lose nothing.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_delivers_everything_later() {
    let (store, faults) = store();
    let mut watch = store.watch(&prefix(), StoreRevision(1)).await.unwrap();
    faults.set_silent(true);
    store.commit(create()).await.unwrap();
    let silent = tokio::time::timeout(Duration::from_secs(60), watch.next()).await;
    assert!(silent.is_err());
    faults.set_silent(false);
    assert_eq!(watch.next().await.unwrap().changes.len(), 1);
}

/// Tests of expired leases rely on a forced expiry that looks like a real one.
#[tokio::test]
async fn a_forced_expiry_deletes_the_keys_and_wakes_the_watch() {
    let (store, faults) = store();
    let mut watch = store.watch(&prefix(), StoreRevision(1)).await.unwrap();
    let lease = store.grant(Duration::from_secs(60)).await.unwrap();
    store.commit(Txn::new().put_leased("k/a", "1", lease)).await.unwrap();
    assert!(watch.next().await.unwrap().changes[0].1.is_some());
    faults.script(CallKind::Lease, Fault::LeaseExpired, 1);
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
    assert!(watch.next().await.unwrap().changes[0].1.is_none());

    let lease = store.grant(Duration::from_secs(60)).await.unwrap();
    store.expire_leases().await;
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
}

/// A lagging follower answers reads with old values, but its transactions still compare with
/// the present state.
#[tokio::test]
async fn a_stale_read_repeats_the_last_answer() {
    let (store, faults) = store();
    assert_eq!(store.get(&Key::from("k/a")).await.unwrap(), None);
    let before = store.range(&prefix()).await.unwrap();
    store.commit(create()).await.unwrap();
    faults.set_stale(true);
    assert_eq!(store.get(&Key::from("k/a")).await.unwrap(), None);
    assert_eq!(store.range(&prefix()).await.unwrap(), before);
    // The conditions of a transaction are never stale.
    assert!(matches!(store.commit(create()).await, Ok(TxnOutcome::Conflict { .. })));
    faults.set_stale(false);
    assert!(store.get(&Key::from("k/a")).await.unwrap().is_some());
}

/// A failure under random faults can be reproduced only if the same seed gives the same faults.
#[tokio::test]
async fn random_faults_repeat_with_their_seed_and_calls_are_counted() {
    let odds = FaultOdds {
        unavailable: 200,
        request_lost: 100,
        answer_lost: 100,
        delayed_effect: 0,
        lease_expired: 0,
    };
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (store, faults) = store();
        faults.set_odds(7, odds);
        let mut run = Vec::new();
        for at in 0..200 {
            run.push(store.commit(Txn::new().put(format!("k/{at}"), "")).await.is_ok());
        }
        assert_eq!((faults.counts().txn, faults.counts().total()), (200, 200));
        faults.clear();
        assert!(store.get(&prefix()).await.is_ok());
        assert_eq!((faults.counts().get, faults.counts().writes()), (1, 200));
        runs.push(run);
    }
    assert_eq!(runs[0], runs[1]);
    let failed = runs[0].iter().filter(|ok| !**ok).count();
    assert!((1..200).contains(&failed));
}

/// The history is bounded by the number of changes. If only a part of a revision were removed,
/// a watch would see half of a transaction.
#[tokio::test]
async fn a_bounded_history_removes_only_whole_revisions() {
    let store = MemStore::new(ManualClock::default());
    let pair = || Txn::new().put("k/a", "").put("k/b", "");
    let mut last = StoreRevision(0);
    for _ in 0..6_000 {
        if let TxnOutcome::Committed { revision } = store.commit(pair()).await.unwrap() {
            last = revision;
        }
    }
    let Err(Error::Compacted { oldest }) = store.watch(&prefix(), StoreRevision(1)).await else {
        panic!("the history is not bounded");
    };
    let mut watch = store.watch(&prefix(), oldest).await.unwrap();
    let kept = usize::try_from(last.0 - oldest.0 + 1).unwrap();
    assert_eq!(watch.next().await.unwrap().changes.len(), 2 * kept);
}

/// Large values must not exhaust the memory of tests and stand-ins, and a watch that follows
/// closely must still get the newest change.
#[tokio::test]
async fn the_history_is_bounded_in_bytes_and_keeps_the_newest_change() {
    let store = MemStore::new(ManualClock::default());
    for _ in 0..80 {
        store.commit(Txn::new().put("k/a", vec![0; 1024 * 1024])).await.unwrap();
    }
    assert!(matches!(store.watch(&prefix(), StoreRevision(2)).await, Err(Error::Compacted { .. })));
    let mut watch = store.watch(&prefix(), store.revision()).await.unwrap();
    assert_eq!(watch.next().await.unwrap().changes.len(), 1);
}

/// A refused call must have no effect, so that the caller may repeat it, and the limit must
/// end with its window of one second.
#[tokio::test(start_paused = true)]
async fn calls_above_the_rate_limit_are_refused_without_effect() {
    let (store, faults) = store();
    faults.set_rates(Some(RateLimits { reads: 2, writes: 1 }));
    assert!(store.commit(create()).await.is_ok());
    let error = store.commit(Txn::new().delete("k/a")).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    let _watch = store.watch(&prefix(), StoreRevision(1)).await.unwrap();
    assert!(store.get(&prefix()).await.is_ok());
    assert!(store.get(&prefix()).await.is_err());
    assert_eq!((faults.counts().throttled, faults.counts().total()), (2, 5));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(store.get(&prefix()).await.is_ok());
    assert!(value(&store).await.is_some());
}
