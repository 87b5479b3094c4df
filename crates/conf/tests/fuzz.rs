//! Random texts and lists: no text causes a panic or an unbounded number of
//! diagnostics, and accepted lists stay the same through rendering, editing and
//! comparing.

use std::collections::BTreeMap;

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use vg_base::prelude::{Duration, Permits, PlanId, PoolId, QueueId, Share, TeamId, ZoneId};
use vg_conf::lists::{diff, grant_key, parse, render, withdraw_key};
use vg_conf::settings::{RawSettings, Settings};
use vg_conf::{Access, Class, KeyDigest, Lists, Plan, Pool, Queue};

/// Largest number of diagnostics that a result may hold.
const MAX_DIAGNOSTICS: usize = 100;

/// Mostly valid lines, so that the random texts get past the first check.
fn line() -> impl Strategy<Value = String> {
    let known = select(vec![
        "[plan a]",
        "[plan b]",
        "[pool p]",
        "[queue q]",
        "[node]",
        "[times]",
        "team = a",
        "share = 1",
        "limit = 1",
        "hosts = 4",
        "budget = 1",
        "zones = x,y",
        "pool = p",
        "plans = a, b",
        "open = a",
        "class = urgent",
        "deadline = 3s",
        "period = 6w",
        "keys =",
        "    sha256:00",
        "  ",
        "; text",
        "name = e1",
        "lease = 5s",
        "spare = yes",
        "share = 0",
    ]);
    prop_oneof![8 => known.prop_map(str::to_owned), 1 => "\\PC{0,40}", 1 => "[\\[\\]=:;# \t\r\\\\]{0,12}"]
}

fn text() -> impl Strategy<Value = String> {
    vec(line(), 0..40).prop_map(|lines| lines.join("\n"))
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9][a-z0-9._-]{0,8}"
}

fn plan() -> impl Strategy<Value = (Vec<u64>, u32, u32)> {
    (vec(any::<u64>(), 0..3), 1..=1_000_000u32, 1..=1_000_000u32)
}

fn plans() -> impl Strategy<Value = BTreeMap<PlanId, Plan>> {
    btree_map(name(), plan(), 1..6).prop_map(|plans| {
        let each = plans.into_iter().map(|(name, (keys, share, limit))| {
            let id: PlanId = name.parse().unwrap();
            let digest = |key: &u64| KeyDigest::of(&format!("{name}{key}"));
            let mut keys: Vec<KeyDigest> = keys.iter().map(digest).collect();
            keys.sort();
            keys.dedup();
            let team = name.parse().unwrap();
            (id.clone(), Plan { id, team, keys, share: Share(share), limit: Permits(limit) })
        });
        each.collect()
    })
}

fn pools() -> impl Strategy<Value = BTreeMap<PoolId, Pool>> {
    let zones = subsequence(vec!["a", "b", "c"], 0..=3);
    let pool = (1..1000u32, any::<u32>(), zones, any::<[bool; 3]>(), 1..5_000_000u64);
    btree_map(name(), pool, 1..4).prop_map(|pools| {
        let each = pools.into_iter().map(|(name, (hosts, budget, zones, flags, millis))| {
            let id: PoolId = name.parse().unwrap();
            let zones: Vec<ZoneId> = zones.iter().map(|zone| zone.parse().unwrap()).collect();
            let [zone_spare, spare, hold] = flags;
            let period = Duration::from_millis(millis);
            let budget = budget % hosts;
            (id.clone(), Pool { id, hosts, zones, budget, zone_spare, period, spare, hold })
        });
        each.collect()
    })
}

fn lists() -> impl Strategy<Value = Lists> {
    (plans(), pools()).prop_flat_map(|(plans, pools)| {
        let pool_ids: Vec<PoolId> = pools.keys().cloned().collect();
        let plan_ids: Vec<PlanId> = plans.keys().cloned().collect();
        let access = prop_oneof![
            select(plan_ids.clone()).prop_map(|plan| Access::Open { plan }),
            subsequence(plan_ids.clone(), 1..=plan_ids.len()).prop_map(Access::Plans),
        ];
        let class = select(vec![Class::Urgent, Class::Background]);
        let queue = (select(pool_ids), access, class, 1..10_000_000u64, any::<bool>(), 1..1000u32);
        btree_map(name(), queue, 0..5).prop_map(move |queues| {
            let each =
                queues.into_iter().map(|(name, (pool, access, class, ms, idempotent, bound))| {
                    let id: QueueId = name.parse().unwrap();
                    let deadline = Duration::from_millis(ms);
                    (id.clone(), Queue { id, pool, access, class, deadline, idempotent, bound })
                });
            Lists { plans: plans.clone(), pools: pools.clone(), queues: each.collect() }
        })
    })
}

proptest! {
    /// Any text may come from an operator's file. Parsing must not panic, and the number
    /// of its diagnostics must stay bounded. Accepted lists must survive rendering.
    #[test]
    fn any_text_is_accepted_or_gives_a_bounded_number_of_diagnostics(plans in text(), uses in text()) {
        match parse(&plans, &uses) {
            Ok(lists) => {
                let (plans, uses) = render(&lists);
                prop_assert_eq!(parse(&plans, &uses), Ok(lists));
            }
            Err(diagnostics) => prop_assert!((1..=MAX_DIAGNOSTICS).contains(&diagnostics.as_slice().len())),
        }
    }

    /// Any text may come from an operator's file or flag, and checking it must not panic. The
    /// random lines practically never contain all required settings, so that every text is
    /// rejected.
    #[test]
    fn random_settings_are_rejected_without_a_panic(text in text(), node in "\\PC{0,20}") {
        let mut raw = RawSettings::default();
        raw.add_file("file", &text);
        raw.add_flag("node", &node);
        prop_assert!(Settings::from_raw(raw).is_err());
    }

    /// Rendering must not lose or change a value, whatever the lists are.
    #[test]
    fn rendered_lists_parse_to_equal_lists_without_differences(lists in lists()) {
        let (plans, uses) = render(&lists);
        let read = parse(&plans, &uses).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert!(diff(&lists, &read).is_empty());
        prop_assert_eq!(read, lists);
    }

    /// A value that the comparison leaves out would be changed without being shown to
    /// the operator.
    #[test]
    fn lists_have_differences_exactly_if_they_are_not_equal(one in lists(), other in lists()) {
        prop_assert_eq!(diff(&one, &other).is_empty(), one == other);
    }

    /// Granting and withdrawing edit the text line by line, which must work for every
    /// layout that rendering gives and must not affect other plans.
    #[test]
    fn granting_a_key_makes_it_valid_and_withdrawing_restores_the_lists(lists in lists(), key in "[a-z]{12}") {
        let (plans, uses) = render(&lists);
        for team in lists.plans.values().map(|plan| plan.team.clone()) {
            let digest = KeyDigest::of(&key);
            let granted = grant_key(&plans, &team, digest).unwrap();
            let with: Lists = parse(&granted, &uses).unwrap();
            let owner: Option<&TeamId> = with.plan_of_key(&key).map(|plan| &plan.team);
            prop_assert_eq!(owner, Some(&team));
            let without = withdraw_key(&granted, &team, digest).unwrap();
            prop_assert_eq!(parse(&without, &uses), Ok(lists.clone()));
        }
    }
}
