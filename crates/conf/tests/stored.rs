//! Stored revisions: encoding, and never back.

use vg_base::prelude::*;
use vg_conf::stored::{StoredError, history_key};
use vg_conf::{ChangeId, StoredLists};

fn stored(revision: u64, change: u128) -> StoredLists {
    StoredLists {
        revision: Revision(revision),
        plans: "[plan a]\nteam = a\nshare = 1\nlimit = 1\n".to_owned(),
        uses: String::new(),
        change: ChangeId::new(change),
        author: "ops".into(),
        at_ms: 5,
    }
}

#[test]
fn a_value_reads_back_with_its_lists() {
    let value = stored(3, u128::MAX);
    let (read, lists) = StoredLists::decode(&value.encode().unwrap(), None).unwrap();
    assert_eq!(read, value);
    assert_eq!(lists.plans.len(), 1);
}

#[test]
fn a_revision_never_goes_back() {
    let known = stored(3, 1);
    let same = StoredLists::decode(&stored(3, 1).encode().unwrap(), Some(&known));
    assert!(same.is_ok());
    let older = StoredLists::decode(&stored(2, 2).encode().unwrap(), Some(&known));
    assert!(matches!(older, Err(StoredError::OlderRevision { .. })));
    let forked = StoredLists::decode(&stored(3, 2).encode().unwrap(), Some(&known));
    assert!(matches!(forked, Err(StoredError::ConflictingChange { .. })));
}

#[test]
fn faulty_and_malformed_values_are_refused() {
    let mut faulty = stored(4, 1);
    faulty.plans.push_str("limit = 2\n");
    let refused = StoredLists::decode(&faulty.encode().unwrap(), None);
    assert!(matches!(refused, Err(StoredError::Invalid { revision: Revision(4), .. })));
    assert!(matches!(StoredLists::decode(b"{}", None), Err(StoredError::Malformed { .. })));
    faulty.uses = "\n".repeat(600_000);
    assert!(matches!(faulty.encode(), Err(StoredError::TooLarge { .. })));
}

#[test]
fn history_keys_sort_by_revision() {
    assert!(history_key(Revision(9)) < history_key(Revision(10)));
    assert!(history_key(Revision(10)) < history_key(Revision(u64::MAX)));
}
