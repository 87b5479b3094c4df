//! Granting and withdrawing keys in the text of the list `plans`, and the examples.

use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_conf::examples::{RECALL, SIGNBRIDGE};
use vg_conf::lists::{EditError, grant_key, parse, withdraw_key};

const PLANS: &str = "; kept\n[plan a]\nteam = a\nkeys =\n; kept, too\nshare = 1\nlimit = 1\n\
    [plan b]\nteam = b\nshare = 1\nlimit = 1\n";

fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

/// An edit that renders the list anew would lose the comments of the operators.
#[test]
fn granted_keys_can_be_withdrawn_and_comments_are_kept() {
    let (one, two) = (KeyDigest::of("1"), KeyDigest::of("2"));
    let granted = grant_key(&grant_key(PLANS, &team("a"), one).unwrap(), &team("a"), two).unwrap();
    let lists = parse(&granted, "").unwrap();
    assert_eq!(lists.plan_of_team(&team("a")).unwrap().keys.len(), 2);
    let first = withdraw_key(&granted, &team("a"), one).unwrap();
    assert_eq!(withdraw_key(&first, &team("a"), two).unwrap(), PLANS);
}

/// Removing the whole line would withdraw the other key, too, so that the work of its
/// holder is refused.
#[test]
fn withdrawing_one_of_two_keys_on_a_line_keeps_the_other() {
    let (one, two) = (KeyDigest::of("1"), KeyDigest::of("2"));
    let plans = PLANS.replace("keys =", &format!("keys: {one}, {two}"));
    let remaining = withdraw_key(&plans, &team("a"), one).unwrap();
    assert_eq!(remaining, PLANS.replace("keys =", &format!("keys: {two}")));
}

/// The entry `keys` is optional, so granting can't rely on a line to extend.
#[test]
fn granting_adds_the_entry_keys_if_the_plan_has_none() {
    let plans = grant_key(PLANS, &team("b"), KeyDigest::of("1")).unwrap();
    assert!(parse(&plans, "").unwrap().plan_of_key("1").is_some());
}

/// A key in two plans would belong to two teams. A withdrawal that finds no key must
/// not be reported as done.
#[test]
fn duplicate_keys_unknown_keys_and_unknown_teams_are_errors() {
    let digest = KeyDigest::of("1");
    let plans = grant_key(PLANS, &team("a"), digest).unwrap();
    assert!(matches!(grant_key(&plans, &team("b"), digest), Err(EditError::DuplicateKey { .. })));
    assert!(matches!(withdraw_key(&plans, &team("b"), digest), Err(EditError::UnknownKey { .. })));
    assert!(matches!(withdraw_key(&plans, &team("c"), digest), Err(EditError::NoPlan { .. })));
}

/// The demo and other tests use the examples, which are text and can get out of step
/// with the checks.
#[test]
fn examples_are_valid_and_accept_keys() {
    for (example, first) in [(RECALL, "bakery"), (SIGNBRIDGE, "hospitals")] {
        let lists = example.lists().unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
        assert_eq!((lists.plans.len(), lists.pools.len()), (6, 5));
        assert_eq!(lists.pools.values().map(|pool| pool.hosts).sum::<u32>(), 50);
        assert_eq!(lists.pools.values().filter(|pool| pool.spare).count(), 1);
        let keys = [(&team(first), KeyDigest::of("secret"))];
        let plans = example.plans_with_keys(keys).unwrap();
        assert!(parse(&plans, example.uses).unwrap().plan_of_key("secret").is_some());
    }
}
