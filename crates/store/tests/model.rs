//! Model test of the in-memory store: random operations are compared with a simple oracle,
//! and a watch is applied to a replica of all keys.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::FutureExt;
use proptest::prelude::*;
use proptest::sample::select;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::runtime::Runtime;
use vg_base::ManualClock;
use vg_store::{
    Change, Compare, Entry, Error, Key, LeaseId, MemStore, MemWatch, Put, Store, StoreRevision,
    Txn, TxnOutcome, Watch,
};

const KEYS: [&str; 4] = ["p/a", "p/b", "p/bc", "q"];

/// An operation on the store. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Commit(Txn),
    Grant(u64),
    Renew(LeaseId),
    Revoke(LeaseId),
    Advance(u64),
    Compact(i64),
}

/// The expected result of a step.
#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Txn(Result<TxnOutcome, Error>),
    Lease(Result<(), Error>),
    Nothing,
}

/// The reference model of the store.
#[derive(Debug, Clone)]
struct Oracle {
    now: u64,
    revision: i64,
    keys: BTreeMap<Key, Entry>,
    /// Time to live and time of expiry of each lease, in milliseconds.
    leases: BTreeMap<LeaseId, (u64, u64)>,
    granted: i64,
    outcome: Outcome,
    /// The changes of the last step in their order.
    changes: Vec<(Key, Option<Entry>)>,
}

impl Oracle {
    fn drop_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let attached = self.keys.values().filter(|entry| entry.lease == Some(lease));
        let deleted: Vec<_> = attached.map(|entry| (entry.key.clone(), None)).collect();
        self.keys.retain(|_, entry| entry.lease != Some(lease));
        self.revision += i64::from(!deleted.is_empty());
        self.changes.extend(deleted);
    }

    fn advance(&mut self, step: u64) {
        self.now += step;
        let expired: Vec<_> = self.leases.iter().filter(|(_, lease)| lease.1 <= self.now).collect();
        let mut expired: Vec<_> = expired.into_iter().map(|(id, lease)| (lease.1, *id)).collect();
        expired.sort_unstable();
        expired.into_iter().for_each(|(_, id)| self.drop_lease(id));
    }

    fn commit(&mut self, txn: &Txn) -> Result<TxnOutcome, Error> {
        let modified = |key: &Key| self.keys.get(key).map(|entry| entry.modified);
        if txn.compares.iter().any(|each| modified(&each.key) != each.modified) {
            let found = txn.compares.iter().filter_map(|each| self.keys.get(&each.key).cloned());
            return Ok(TxnOutcome::Conflict { found: found.collect() });
        }
        let has_unknown_lease = |change: &Change| match change {
            Change::Put(Put { lease: Some(lease), .. }) => !self.leases.contains_key(lease),
            _ => false,
        };
        if txn.changes.iter().any(has_unknown_lease) {
            return Err(Error::LeaseExpired);
        }
        let next = StoreRevision(self.revision + 1);
        for change in &txn.changes {
            match change.clone() {
                Change::Delete(key) => {
                    if self.keys.remove(&key).is_some() {
                        self.changes.push((key, None));
                    }
                }
                Change::Put(Put { key, value, lease }) => {
                    let entry = Entry { key: key.clone(), value, modified: next, lease };
                    self.keys.insert(key.clone(), entry.clone());
                    self.changes.push((key, Some(entry)));
                }
            }
        }
        self.revision += i64::from(!self.changes.is_empty());
        Ok(TxnOutcome::Committed { revision: StoreRevision(self.revision) })
    }
}

fn any_txn(oracle: &Oracle) -> BoxedStrategy<Txn> {
    let oracle = oracle.clone();
    let keys = proptest::sample::subsequence(KEYS.to_vec(), 0..=KEYS.len());
    let compares = proptest::sample::subsequence(KEYS.to_vec(), 0..=2);
    let lease = proptest::option::weighted(0.4, 1..=oracle.granted.max(1) + 1);
    (keys, compares, lease, 0..8u8, any::<u8>(), any::<u8>())
        .prop_map(move |(keys, compares, lease, wrong, puts, value)| {
            let compare = |key: &&str| {
                let key = Key::from(*key);
                let current = oracle.keys.get(&key).map(|entry| entry.modified);
                let modified = if wrong == 0 { Some(StoreRevision(1)) } else { current };
                Compare { key, modified }
            };
            let change = |(at, key): (usize, &&str)| {
                let key = Key::from(*key);
                if puts & (1 << at) == 0 {
                    return Change::Delete(key);
                }
                let value = vec![value].into();
                Change::Put(Put { key, value, lease: lease.map(LeaseId) })
            };
            Txn {
                compares: compares.iter().map(compare).collect(),
                changes: keys.iter().enumerate().map(change).collect(),
            }
        })
        .boxed()
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle {
            now: 0,
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            granted: 0,
            outcome: Outcome::Nothing,
            changes: Vec::new(),
        })
        .boxed()
    }

    fn transitions(oracle: &Oracle) -> BoxedStrategy<Step> {
        // The id after the last granted one is included, as a lease that does not exist.
        let lease = (1..=oracle.granted + 1).prop_map(LeaseId);
        prop_oneof![
            6 => any_txn(oracle).prop_map(Step::Commit),
            2 => select(vec![50, 100, 150]).prop_map(Step::Grant),
            2 => lease.clone().prop_map(Step::Renew),
            1 => lease.prop_map(Step::Revoke),
            2 => select(vec![1, 49, 50, 200]).prop_map(Step::Advance),
            1 => (0..3i64).prop_map(Step::Compact),
        ]
        .boxed()
    }

    fn apply(mut oracle: Oracle, step: &Step) -> Oracle {
        oracle.changes.clear();
        let outcome = match step {
            Step::Commit(txn) => Outcome::Txn(oracle.commit(txn)),
            Step::Grant(ttl) => {
                oracle.granted += 1;
                oracle.leases.insert(LeaseId(oracle.granted), (*ttl, oracle.now + ttl));
                Outcome::Nothing
            }
            Step::Renew(id) => {
                let now = oracle.now;
                let lease = oracle.leases.get_mut(id).ok_or(Error::LeaseExpired);
                Outcome::Lease(lease.map(|lease| lease.1 = now + lease.0))
            }
            Step::Revoke(id) if oracle.leases.contains_key(id) => {
                oracle.drop_lease(*id);
                Outcome::Lease(Ok(()))
            }
            Step::Revoke(_) => Outcome::Lease(Err(Error::LeaseExpired)),
            Step::Advance(step) => {
                oracle.advance(*step);
                Outcome::Nothing
            }
            Step::Compact(_) => Outcome::Nothing,
        };
        Oracle { outcome, ..oracle }
    }
}

/// The store under test, with a watch and its replica.
struct Tested {
    runtime: Runtime,
    clock: ManualClock,
    store: MemStore<ManualClock>,
    watch: MemWatch<ManualClock>,
    /// All keys according to the watch.
    replica: BTreeMap<Key, Entry>,
}

impl Tested {
    /// Checks the next batch of the watch and applies it to the replica. Lists the keys again if
    /// the watch was compacted.
    fn check_watch(&mut self, expected: &[(Key, Option<Entry>)]) {
        let entered = self.runtime.enter();
        let next = self.watch.next().now_or_never();
        drop(entered);
        match next {
            Some(Ok(batch)) => {
                assert_eq!(batch.changes, expected, "what the watch delivers");
                for (key, entry) in batch.changes {
                    match entry {
                        Some(entry) => self.replica.insert(key, entry),
                        None => self.replica.remove(&key),
                    };
                }
            }
            Some(Err(Error::Compacted { oldest })) => {
                let all = Key::from("");
                let listing = self.runtime.block_on(self.store.range(&all)).unwrap();
                assert!(oldest <= listing.revision);
                let next = StoreRevision(listing.revision.0 + 1);
                let watch = self.store.watch(&all, next);
                self.watch = self.runtime.block_on(watch).unwrap();
                self.replica = listing.entries.into_iter().map(|e| (e.key.clone(), e)).collect();
            }
            Some(Err(other)) => panic!("{other}"),
            None => assert!(expected.is_empty(), "the watch misses {expected:?}"),
        }
    }
}

struct MemStoreTest;

impl StateMachineTest for MemStoreTest {
    type SystemUnderTest = Tested;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Tested {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let clock = ManualClock::default();
        let store = MemStore::new(clock.clone());
        let watch = runtime.block_on(store.watch(&Key::from(""), StoreRevision(1))).unwrap();
        Tested { runtime, clock, store, watch, replica: BTreeMap::new() }
    }

    fn apply(mut tested: Tested, oracle: &Oracle, step: Step) -> Tested {
        let store = tested.store.clone();
        let outcome = match step {
            Step::Commit(txn) => Outcome::Txn(tested.runtime.block_on(store.commit(txn))),
            Step::Grant(ttl) => {
                let ttl = Duration::from_millis(ttl);
                let lease = tested.runtime.block_on(store.grant(ttl)).unwrap();
                assert_eq!(lease, LeaseId(oracle.granted));
                Outcome::Nothing
            }
            Step::Renew(id) => Outcome::Lease(tested.runtime.block_on(store.renew(id)).map(|_| ())),
            Step::Revoke(id) => Outcome::Lease(tested.runtime.block_on(store.revoke(id))),
            Step::Advance(ms) => {
                tested.clock.advance(Duration::from_millis(ms));
                Outcome::Nothing
            }
            Step::Compact(back) => {
                store.compact(StoreRevision(store.revision().0 - back));
                Outcome::Nothing
            }
        };
        assert_eq!(outcome, oracle.outcome);
        tested.check_watch(&oracle.changes);
        tested
    }

    fn check_invariants(tested: &Tested, oracle: &Oracle) {
        for prefix in ["", "p/", "p/b", "none"] {
            let prefix = Key::from(prefix);
            let listing = tested.runtime.block_on(tested.store.range(&prefix)).unwrap();
            let expected = oracle.keys.values().filter(|entry| entry.key.is_under(&prefix));
            assert!(listing.entries.iter().eq(expected), "under {prefix}");
            assert_eq!(listing.revision, StoreRevision(oracle.revision));
        }
        assert_eq!(tested.replica, oracle.keys, "the replica of the watch");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Tests of other crates rely on the in-memory store. If it differed from the service in
    /// its conditions, leases, revisions or watches, those tests would prove nothing.
    #[test]
    fn the_in_memory_store_matches_the_oracle(sequential 1..60 => MemStoreTest);
}
