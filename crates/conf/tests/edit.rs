//! Granting and withdrawing keys in the text, and the examples.

use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_conf::examples::{RECALL, SIGNBRIDGE};
use vg_conf::lists::{EditError, grant_key, parse, withdraw_key};

const PLANS: &str = "; kept\n[plan a]\nteam = a\nkeys =\n; kept, too\nshare = 1\nlimit = 1\n\
    [plan b]\nteam = b\nshare = 1\nlimit = 1\n";

fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

#[test]
fn keys_come_and_go_and_comments_stay() {
    let (one, two) = (KeyDigest::of("1"), KeyDigest::of("2"));
    let granted = grant_key(&grant_key(PLANS, &team("a"), one).unwrap(), &team("a"), two).unwrap();
    let lists = parse(&granted, "").unwrap();
    assert_eq!(lists.plan_of_team(&team("a")).unwrap().keys.len(), 2);
    let first = withdraw_key(&granted, &team("a"), one).unwrap();
    assert_eq!(withdraw_key(&first, &team("a"), two).unwrap(), PLANS);
}

#[test]
fn keys_on_one_line_lose_only_the_withdrawn_one() {
    let (one, two) = (KeyDigest::of("1"), KeyDigest::of("2"));
    let plans = PLANS.replace("keys =", &format!("keys: {one}, {two}"));
    let left = withdraw_key(&plans, &team("a"), one).unwrap();
    assert_eq!(left, PLANS.replace("keys =", &format!("keys: {two}")));
}

#[test]
fn a_plan_without_the_key_word_gets_it() {
    let plans = grant_key(PLANS, &team("b"), KeyDigest::of("1")).unwrap();
    assert!(parse(&plans, "").unwrap().plan_of_key("1").is_some());
}

#[test]
fn a_held_or_missing_key_and_an_unknown_team_are_refused() {
    let digest = KeyDigest::of("1");
    let plans = grant_key(PLANS, &team("a"), digest).unwrap();
    assert!(matches!(grant_key(&plans, &team("b"), digest), Err(EditError::DuplicateKey { .. })));
    assert!(matches!(withdraw_key(&plans, &team("b"), digest), Err(EditError::UnknownKey { .. })));
    assert!(matches!(withdraw_key(&plans, &team("c"), digest), Err(EditError::NoPlan { .. })));
}

#[test]
fn the_examples_pass_the_checks_and_take_keys() {
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
