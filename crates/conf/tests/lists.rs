//! Reading, writing and comparing the two lists.

use vg_base::prelude::*;
use vg_conf::lists::{Lists, diff, parse, render};
use vg_conf::{Access, Class, KeyDigest};

const PLANS: &str = "; customers\n[plan bakery]\nteam = bakery\nshare = 2\nlimit = 40\n\n\
    [plan dairy]\nteam = dairy\nshare = 1\nlimit = 30\n";
const USES: &str = "[pool notices]\nhosts = 10\nzones = a, b\nbudget = 2\nzone-spare = yes\n\n\
    [queue urgent]\npool = notices\nplans = bakery, dairy\nclass = urgent\ndeadline = 3800ms\n\n\
    [queue public]\npool = notices\nopen = bakery\nclass = background\ndeadline = 30s\n\
    idempotent = yes\nbound = 7\n";

fn lists() -> Lists {
    parse(PLANS, USES).unwrap()
}

/// Returns the only fault of a pair of lists as text.
fn fault(plans: &str, uses: &str) -> String {
    let diagnostics = parse(plans, uses).unwrap_err();
    assert_eq!(diagnostics.as_slice().len(), 1, "{diagnostics}");
    diagnostics.to_string()
}

fn plans_fault(from: &str, to: &str) -> String {
    assert!(PLANS.contains(from));
    fault(&PLANS.replacen(from, to, 1), USES)
}

fn uses_fault(from: &str, to: &str) -> String {
    assert!(USES.contains(from));
    fault(PLANS, &USES.replacen(from, to, 1))
}

#[test]
fn values_and_defaults_are_read() {
    let lists = lists();
    let urgent = &lists.queues[&"urgent".parse().unwrap()];
    assert_eq!(urgent.deadline, Duration::from_millis(3800));
    assert_eq!((urgent.class, urgent.idempotent, urgent.bound), (Class::Urgent, false, 1000));
    let public = &lists.queues[&"public".parse().unwrap()];
    assert_eq!(public.access, Access::Open { plan: "bakery".parse().unwrap() });
    let pool = &lists.pools[&"notices".parse().unwrap()];
    assert_eq!(pool.period, Duration::from_secs(42 * 24 * 60 * 60));
    assert!(pool.zone_spare && !pool.spare && !pool.hold);
}

#[test]
fn rendered_lists_read_back_the_same() {
    let mut lists = lists();
    let plan = lists.plans.values_mut().next().unwrap();
    plan.keys = vec![KeyDigest::of("one"), KeyDigest::of("two")];
    let (plans, uses) = render(&lists);
    assert_eq!(parse(&plans, &uses).unwrap(), lists);
    assert_eq!(lists.plan_of_key("two").unwrap().team.as_str(), "bakery");
    assert!(lists.plan_of_key("three").is_none());
}

#[test]
fn each_fault_names_its_place_and_what_is_accepted() {
    let cases = [
        (
            plans_fault("share = 2", "share = 0"),
            "plans:4: [plan bakery] share: `0` is out of range; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_fault("limit = 40", "limit = 0"),
            "plans:5: [plan bakery] limit: `0` is out of range; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_fault("share = 2", "shaer = 2\nshare = 2"),
            "plans:4: [plan bakery] the key `shaer` is not known, did you mean `share`?; accepted: team, keys, share, limit",
        ),
        (
            plans_fault("share = 2", "share = 2\nshare = 3"),
            "plans:5: [plan bakery] share: the key is given twice, first in line 4; accepted: one value",
        ),
        (
            plans_fault("team = dairy", "team = bakery"),
            "plans:8: [plan dairy] team: the team `bakery` has the plan `bakery` already; accepted: one plan for each team",
        ),
        (
            plans_fault("share = 2", "share = 2\nkeys = sha256:12"),
            "plans:5: [plan bakery] keys: `sha256:12` is refused: a key digest is `sha256:` and 64 hexadecimal digits; accepted: digests `sha256:` and 64 hexadecimal digits, separated by commas or line breaks",
        ),
        (
            plans_fault("share = 2\n", ""),
            "plans:2: [plan bakery] share: the key `share` is missing; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_fault("[plan dairy]", "[plan Dairy]\n[plan dairy]"),
            "plans:7: [plan Dairy] the name is refused: `Dairy` has `D`: a name has a-z, 0-9, `.`, `_` and `-`, and starts with a letter or digit; accepted: [plan NAME]",
        ),
        (
            uses_fault("budget = 2", "budget = 10"),
            "uses:4: [pool notices] budget: the budget 10 would let all 10 hosts be away; accepted: a whole number below `hosts`",
        ),
        (
            uses_fault("[pool notices]", "[pol spare]\nhosts = 1\n[pool notices]"),
            "uses:1: [pol spare] the section is not known, did you mean `pool`?; accepted: [pool NAME] or [queue NAME]",
        ),
        (
            uses_fault("[queue public]", "[queue urgent]"),
            "uses:13: [queue urgent] the section is given twice, first in line 7; accepted: one section for each name",
        ),
        (
            uses_fault("pool = notices", "pool = notice"),
            "uses:8: [queue urgent] pool: there is no pool `notice`, did you mean `notices`?; accepted: a pool of the list `uses`",
        ),
        (
            uses_fault("bakery, dairy", "bakery, dary"),
            "uses:9: [queue urgent] plans: there is no plan `dary`, did you mean `dairy`?; accepted: a plan of the list `plans`",
        ),
        (
            uses_fault("open = bakery", "open = bakery\nplans = dairy"),
            "uses:15: [queue public] open: the queue is both open and for named plans; accepted: either `plans = PLAN, PLAN` or `open = PLAN`",
        ),
        (
            uses_fault("open = bakery\n", ""),
            "uses:13: [queue public] plans: nobody may send to the queue; accepted: either `plans = PLAN, PLAN` or `open = PLAN`",
        ),
        (
            uses_fault("class = urgent", "class = urgnt"),
            "uses:10: [queue urgent] class: `urgnt` is not known, did you mean `urgent`?; accepted: urgent or background",
        ),
        (
            uses_fault("deadline = 3800ms", "deadline = 3800"),
            "uses:11: [queue urgent] deadline: `3800` is no time; accepted: a time of at least 1ms such as 3800ms, 30s, 36h, 42d or 6w",
        ),
        (
            uses_fault("bound = 7", "bound 7"),
            "uses:19: [queue public] `bound 7` can't be read; accepted: `[section]`, `key = value`, a comment after `;` or `#` at the start of a line, or an indented line that goes on with a value",
        ),
    ];
    for (found, expected) in cases {
        assert_eq!(found, expected);
    }
}

#[test]
fn a_line_that_is_not_one_header_or_one_entry_is_refused() {
    for line in ["[plan a", "plan a]", "[plan a] share = 1", "[plan a] ; text", "[a]b]", "= 1"] {
        let found = parse(line, "").unwrap_err();
        assert!(found.to_string().contains("can't be read"), "{line}: {found}");
    }
    // The next line is read by itself: an open header takes nothing with it.
    let found = parse("[plan a\nteam = a\n[plan b]\n", "").unwrap_err();
    assert_eq!(found.as_slice()[1].line, 2, "{found}");
}

#[test]
fn all_faults_come_at_once_in_the_order_of_lines() {
    let uses = USES.replace("hosts = 10", "hosts = many").replace("bound = 7", "bound = 0");
    let diagnostics = parse(&PLANS.replace("share = 1", "share = -1"), &uses).unwrap_err();
    let places: Vec<_> =
        diagnostics.as_slice().iter().map(|each| (each.source.as_str(), each.line)).collect();
    assert_eq!(places, [("plans", 9), ("uses", 2), ("uses", 19)]);
}

#[test]
fn a_key_in_two_plans_is_refused() {
    let digest = KeyDigest::of("shared");
    let plans = PLANS.replace("share =", &format!("keys = {digest}\nshare ="));
    assert!(fault(&plans, USES).contains("is a key of the plan `bakery` too"));
}

#[test]
fn a_list_that_is_too_long_is_refused_unread() {
    let long = ";".repeat(vg_conf::lists::MAX_LIST_BYTES + 1);
    let found = parse(&long, "").unwrap_err();
    assert_eq!(found.as_slice().len(), 1);
    assert!(found.to_string().starts_with("plans: the list has 327681 bytes"));
}

#[test]
fn a_difference_says_who_gains_and_who_is_refused() {
    let uses = USES.replace("bakery, dairy", "bakery").replace("open = bakery", "plans = dairy");
    let plans = PLANS.replace("limit = 40", "limit = 20").replace("share = 1", "share = 3");
    let found = diff(&lists(), &parse(&plans, &uses).unwrap());
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "plan bakery: limit 40 -> 20 (bakery loses)",
            "plan dairy: share 1 -> 3 (dairy gains)",
            "queue public: access open as bakery -> dairy (work of bakery will be refused, work without a key will be refused)",
            "queue urgent: access bakery, dairy -> bakery (work of dairy will be refused)",
        ]
    );
    assert!(diff(&lists(), &lists()).is_empty());
}

#[test]
fn a_team_that_changes_plan_is_seen_on_its_queues() {
    let (old, new) = (lists(), parse(&PLANS.replace("= dairy", "= creamery"), USES).unwrap());
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["plan dairy: team dairy -> creamery (work of dairy will be refused, creamery gains)"]
    );
}
