//! One conformance suite for every implementation of the store: the store in memory,
//! the fault-injecting wrapper without faults, and the client of the JSON gateway
//! against the stand-in. Code that is tested against one of them must see the same
//! behaviour from the others.

use std::time::Duration;

use vg_base::SystemClock;
use vg_standin::StoreServer;
use vg_store::{
    Entry, Error, EtcdSettings, EtcdStore, FaultControl, FaultyStore, Key, MemStore, Store,
    StoreRevision, TXN_MAX_OPS, Txn, TxnOutcome, VALUE_MAX_BYTES, Watch,
};

const TTL: Duration = Duration::from_secs(2);

fn committed(outcome: TxnOutcome) -> StoreRevision {
    match outcome {
        TxnOutcome::Committed { revision } => revision,
        TxnOutcome::Conflict { found } => panic!("conflict with {found:?}"),
    }
}

fn key(text: &str) -> Key {
    Key::from(text)
}

async fn put<S: Store>(store: &S, name: &str, value: &'static str) -> StoreRevision {
    committed(store.commit(Txn::new().put(name, value)).await.unwrap())
}

/// Waits for the next batch with changes, and checks that its revision is not below
/// that of any of its entries.
async fn next_changes<W: Watch>(watch: &mut W) -> Vec<(Key, Option<Entry>)> {
    loop {
        let batch = watch.next().await.unwrap();
        if !batch.changes.is_empty() {
            let newest = batch.changes.iter().flat_map(|(_, entry)| entry).map(|e| e.modified);
            assert!(newest.max().is_none_or(|newest| newest <= batch.revision));
            return batch.changes;
        }
    }
}

/// Guards against reads that miss completed writes, and against prefixes that select
/// keys outside of the prefix.
async fn reads_see_writes<S: Store>(store: &S) {
    assert_eq!(store.get(&key("r/a")).await.unwrap(), None);
    let first = put(store, "r/a", "1").await;
    let second = put(store, "r/b", "").await;
    assert!(first < second);
    let entry = store.get(&key("r/a")).await.unwrap().unwrap();
    assert_eq!((entry.value.as_ref(), entry.modified, entry.lease), (&b"1"[..], first, None));
    put(store, "r0", "beside the prefix").await;
    let listing = store.range(&key("r/")).await.unwrap();
    let keys: Vec<_> = listing.entries.iter().map(|each| each.key.0.as_str()).collect();
    assert_eq!(keys, ["r/a", "r/b"]);
    assert!(listing.revision > second);
    assert!(store.range(&key("")).await.unwrap().entries.len() >= 3);
}

/// Guards against a transaction that is applied although a key has changed since it
/// was read, which would lose an update.
async fn transactions_compare_and_swap<S: Store>(store: &S) {
    let create = || Txn::new().expect("t/a", None).put("t/a", "1");
    let created = committed(store.commit(create()).await.unwrap());
    let TxnOutcome::Conflict { found } = store.commit(create()).await.unwrap() else {
        panic!("a key was created twice");
    };
    assert_eq!((found.len(), found[0].modified), (1, created));
    let swap =
        Txn::new().expect("t/a", Some(created)).put("t/a", "2").put("t/b", "2").delete("t/x");
    let swapped = committed(store.commit(swap.clone()).await.unwrap());
    assert!(matches!(store.commit(swap).await.unwrap(), TxnOutcome::Conflict { .. }));
    let listing = store.range(&key("t/")).await.unwrap();
    assert!(listing.entries.iter().all(|each| each.modified == swapped));
    // A deleted key can be created again, and a conflict does not report a deleted key.
    committed(store.commit(Txn::new().delete("t/a")).await.unwrap());
    let after_delete = Txn::new().expect("t/a", Some(swapped)).put("t/a", "3");
    assert_eq!(store.commit(after_delete).await.unwrap(), TxnOutcome::Conflict { found: vec![] });
    committed(store.commit(create()).await.unwrap());
}

/// Guards against invalid or oversized transactions that are applied in part or
/// reported with an unknown outcome.
async fn malformed_transactions_are_refused<S: Store>(store: &S) {
    let twice = Txn::new().put("m/a", "1").delete("m/a");
    let large = Txn::new().put("m/a", vec![0; VALUE_MAX_BYTES + 1]);
    let many = (0..=TXN_MAX_OPS).fold(Txn::new(), |txn, at| txn.put(format!("m/{at}"), ""));
    for txn in [twice, large, many, Txn::new().put("", "1")] {
        let error = store.commit(txn).await.unwrap_err();
        assert!(matches!(error, Error::Refused { .. }) && error.had_no_effect(), "{error}");
    }
    let largest = Txn::new().put("m/a", vec![0; VALUE_MAX_BYTES]);
    committed(store.commit(largest).await.unwrap());
    assert_eq!(store.get(&key("m/a")).await.unwrap().unwrap().value.len(), VALUE_MAX_BYTES);
}

/// Guards against keys that outlive their lease, and against keys that are deleted with
/// a lease that no longer holds them.
async fn leases_hold_keys<S: Store>(store: &S) {
    let lease = store.grant(TTL).await.unwrap();
    assert_eq!(store.renew(lease).await.unwrap(), TTL);
    let txn = Txn::new().put_leased("l/held", "1", lease).put_leased("l/moved", "1", lease);
    let written = committed(store.commit(txn).await.unwrap());
    assert_eq!(store.get(&key("l/held")).await.unwrap().unwrap().lease, Some(lease));
    put(store, "l/moved", "now without a lease").await;
    store.revoke(lease).await.unwrap();
    assert_eq!(store.get(&key("l/held")).await.unwrap(), None);
    assert!(store.get(&key("l/moved")).await.unwrap().is_some());
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
    assert_eq!(store.revoke(lease).await, Err(Error::LeaseExpired));
    let revoked = Txn::new().put_leased("l/held", "2", lease);
    assert_eq!(store.commit(revoked.clone()).await, Err(Error::LeaseExpired));
    // Comparisons are checked before the lease.
    let conflict = store.commit(revoked.expect("l/held", Some(written))).await.unwrap();
    assert!(matches!(conflict, TxnOutcome::Conflict { .. }));
}

/// Guards against a member that disappears unnoticed: an expired lease must delete its
/// keys and notify watches of it.
async fn an_expired_lease_deletes_its_keys_and_notifies_watches<S: Store>(store: &S) {
    let lease = store.grant(TTL).await.unwrap();
    let txn = Txn::new().put_leased("x/a", "1", lease).put_leased("x/b", "1", lease);
    let written = committed(store.commit(txn).await.unwrap());
    let mut watch = store.watch(&key("x/"), StoreRevision(written.0 + 1)).await.unwrap();
    let changes = next_changes(&mut watch).await;
    assert_eq!(changes, [(key("x/a"), None), (key("x/b"), None)]);
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
}

/// Guards against watches that lose or repeat changes where the past changes end and
/// the new ones begin.
async fn watches_deliver_each_change_once<S: Store>(store: &S) {
    let first = put(store, "w/a", "1").await;
    put(store, "v/a", "beside the prefix").await;
    // The watch starts at a past revision and continues with writes made meanwhile.
    let mut watch = store.watch(&key("w/"), first).await.unwrap();
    let past = next_changes(&mut watch).await;
    assert_eq!((past.len(), past[0].1.as_ref().unwrap().modified), (1, first));
    let mut seen = Vec::new();
    let writes = async {
        put(store, "w/b", "2").await;
        committed(store.commit(Txn::new().delete("w/a").put("w/c", "3")).await.unwrap());
    };
    let reads = async {
        while seen.len() < 3 {
            seen.extend(next_changes(&mut watch).await);
        }
    };
    tokio::join!(writes, reads);
    let seen: Vec<_> = seen.iter().map(|(key, e)| (key.0.as_str(), e.is_some())).collect();
    assert_eq!(seen, [("w/b", true), ("w/a", false), ("w/c", true)]);
}

/// Guards against a watch from revision 0 that delivers past changes.
async fn a_watch_from_zero_delivers_new_changes_only<S: Store>(store: &S) {
    put(store, "z/a", "past").await;
    let mut watch = store.watch(&key("z/"), StoreRevision(0)).await.unwrap();
    put(store, "z/b", "new").await;
    assert_eq!(next_changes(&mut watch).await[0].0, key("z/b"));
}

/// Guards against two concurrent transactions that both succeed with the same
/// comparison.
async fn racing_swaps_have_one_winner<S: Store>(store: &S) {
    let base = put(store, "c/a", "0").await;
    let mut racers = tokio::task::JoinSet::new();
    for at in 0..8 {
        let store = store.clone();
        let txn = Txn::new().expect("c/a", Some(base)).put("c/a", format!("{at}"));
        racers.spawn(async move { store.commit(txn).await.unwrap() });
    }
    let outcomes = racers.join_all().await;
    let wins = outcomes.iter().filter(|each| matches!(each, TxnOutcome::Committed { .. })).count();
    assert_eq!(wins, 1);
}

async fn check_conformance<S: Store>(store: S) {
    reads_see_writes(&store).await;
    transactions_compare_and_swap(&store).await;
    malformed_transactions_are_refused(&store).await;
    leases_hold_keys(&store).await;
    an_expired_lease_deletes_its_keys_and_notifies_watches(&store).await;
    watches_deliver_each_change_once(&store).await;
    a_watch_from_zero_delivers_new_changes_only(&store).await;
    racing_swaps_have_one_winner(&store).await;
}

/// Guards against an in-memory store that breaks one of these guarantees, which tests of
/// other crates rely on.
#[tokio::test]
async fn the_memory_store_conforms() {
    check_conformance(MemStore::new(SystemClock)).await;
}

/// Guards against a fault injection that changes the store although no fault is set.
#[tokio::test]
async fn the_faulty_store_without_faults_conforms() {
    check_conformance(FaultyStore::new(MemStore::new(SystemClock), FaultControl::new())).await;
}

/// Guards against a gateway client or a stand-in that loses a guarantee of the store on the
/// way over HTTP.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_gateway_client_conforms() {
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = StoreServer::start(addr, MemStore::new(SystemClock)).await.unwrap();
    check_conformance(EtcdStore::new(EtcdSettings::new(vec![server.addr()]))).await;
    assert!(server.counts().total() > 0);
}
