//! Encoding of stored revisions, and the check that a revision never goes back.

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

/// The history and the entry hosts read the value again, so that no field may get lost
/// in encoding.
#[test]
fn an_encoded_value_decodes_to_itself_with_its_lists() {
    let value = stored(3, u128::MAX);
    let (read, lists) = StoredLists::decode(&value.encode().unwrap(), None).unwrap();
    assert_eq!(read, value);
    assert_eq!(lists.plans.len(), 1);
}

/// A store that was restored from an old copy serves older revisions, or other changes
/// under a known revision. Neither may replace lists that were already in force.
#[test]
fn older_revisions_and_conflicting_changes_are_errors() {
    let known = stored(3, 1);
    let same = StoredLists::decode(&stored(3, 1).encode().unwrap(), Some(&known));
    assert!(same.is_ok());
    let older = StoredLists::decode(&stored(2, 2).encode().unwrap(), Some(&known));
    assert!(matches!(older, Err(StoredError::OlderRevision { .. })));
    let conflicting = StoredLists::decode(&stored(3, 2).encode().unwrap(), Some(&known));
    assert!(matches!(conflicting, Err(StoredError::ConflictingChange { .. })));
}

/// An entry host must not put lists into force that it can't check, and the store does
/// not accept values above its limit.
#[test]
fn invalid_malformed_and_too_large_values_are_errors() {
    let mut invalid = stored(4, 1);
    invalid.plans.push_str("limit = 2\n");
    let refused = StoredLists::decode(&invalid.encode().unwrap(), None);
    assert!(matches!(refused, Err(StoredError::Invalid { revision: Revision(4), .. })));
    assert!(matches!(StoredLists::decode(b"{}", None), Err(StoredError::Malformed { .. })));
    invalid.uses = "\n".repeat(600_000);
    assert!(matches!(invalid.encode(), Err(StoredError::TooLarge { .. })));
}

/// The history is read in the order of its keys, so that revision 10 must come after
/// revision 9.
#[test]
fn history_keys_sort_by_revision() {
    assert!(history_key(Revision(9)) < history_key(Revision(10)));
    assert!(history_key(Revision(10)) < history_key(Revision(u64::MAX)));
}
