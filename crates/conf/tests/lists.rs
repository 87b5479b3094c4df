//! Parsing, rendering and comparing the two lists.

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

/// Returns the only diagnostic of both lists as text.
fn diagnostic(plans: &str, uses: &str) -> String {
    let diagnostics = parse(plans, uses).unwrap_err();
    assert_eq!(diagnostics.as_slice().len(), 1, "{diagnostics}");
    diagnostics.to_string()
}

fn plans_diagnostic(from: &str, to: &str) -> String {
    assert!(PLANS.contains(from));
    diagnostic(&PLANS.replacen(from, to, 1), USES)
}

fn uses_diagnostic(from: &str, to: &str) -> String {
    assert!(USES.contains(from));
    diagnostic(PLANS, &USES.replacen(from, to, 1))
}

/// A wrong default changes how queues and pools behave whose lists leave the key out.
#[test]
fn values_and_defaults_are_parsed() {
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

/// A key that rendering leaves out would get its default value when the text is parsed
/// again.
#[test]
fn rendered_lists_parse_to_equal_lists() {
    let mut lists = lists();
    let plan = lists.plans.values_mut().next().unwrap();
    plan.keys = vec![KeyDigest::of("one"), KeyDigest::of("two")];
    let (plans, uses) = render(&lists);
    assert_eq!(parse(&plans, &uses).unwrap(), lists);
    assert_eq!(lists.plan_of_key("two").unwrap().team.as_str(), "bakery");
    assert!(lists.plan_of_key("three").is_none());
}

/// Operators correct the lists by these messages alone, so that the whole texts are
/// compared.
#[test]
fn each_diagnostic_names_its_place_and_what_is_accepted() {
    let cases = [
        (
            plans_diagnostic("share = 2", "share = 0"),
            "plans:4: [plan bakery] share: `0` is out of range; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_diagnostic("limit = 40", "limit = 0"),
            "plans:5: [plan bakery] limit: `0` is out of range; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_diagnostic("share = 2", "shaer = 2\nshare = 2"),
            "plans:4: [plan bakery] the key `shaer` is not known, did you mean `share`?; accepted: team, keys, share, limit",
        ),
        (
            plans_diagnostic("share = 2", "share = 2\nshare = 3"),
            "plans:5: [plan bakery] share: the key is given twice, first in line 4; accepted: one value",
        ),
        (
            plans_diagnostic("team = dairy", "team = bakery"),
            "plans:8: [plan dairy] team: the team `bakery` already has the plan `bakery`; accepted: one plan for each team",
        ),
        (
            plans_diagnostic("share = 2", "share = 2\nkeys = sha256:12"),
            "plans:5: [plan bakery] keys: `sha256:12` is not valid: a key digest is `sha256:` and 64 hexadecimal digits; accepted: digests `sha256:` and 64 hexadecimal digits, separated by commas or line breaks",
        ),
        (
            plans_diagnostic("share = 2\n", ""),
            "plans:2: [plan bakery] share: the key `share` is missing; accepted: a whole number from 1 to 1000000",
        ),
        (
            plans_diagnostic("[plan dairy]", "[plan Dairy]\n[plan dairy]"),
            "plans:7: [plan Dairy] the name is not valid: `Dairy` has `D`: a name has a-z, 0-9, `.`, `_` and `-`, and starts with a letter or digit; accepted: [plan NAME]",
        ),
        (
            uses_diagnostic("budget = 2", "budget = 10"),
            "uses:4: [pool notices] budget: the budget 10 would allow all 10 hosts to be unavailable; accepted: a whole number below `hosts`",
        ),
        (
            uses_diagnostic("[pool notices]", "[pol spare]\nhosts = 1\n[pool notices]"),
            "uses:1: [pol spare] the section is not known, did you mean `pool`?; accepted: [pool NAME] or [queue NAME]",
        ),
        (
            uses_diagnostic("[queue public]", "[queue urgent]"),
            "uses:13: [queue urgent] the section is given twice, first in line 7; accepted: one section for each name",
        ),
        (
            uses_diagnostic("pool = notices", "pool = notice"),
            "uses:8: [queue urgent] pool: there is no pool `notice`, did you mean `notices`?; accepted: a pool of the list `uses`",
        ),
        (
            uses_diagnostic("bakery, dairy", "bakery, dary"),
            "uses:9: [queue urgent] plans: there is no plan `dary`, did you mean `dairy`?; accepted: a plan of the list `plans`",
        ),
        (
            uses_diagnostic("open = bakery", "open = bakery\nplans = dairy"),
            "uses:15: [queue public] open: the queue has both `open` and `plans`; accepted: either `plans = PLAN, PLAN` or `open = PLAN`",
        ),
        (
            uses_diagnostic("open = bakery\n", ""),
            "uses:13: [queue public] plans: no team may send to the queue; accepted: either `plans = PLAN, PLAN` or `open = PLAN`",
        ),
        (
            uses_diagnostic("class = urgent", "class = urgnt"),
            "uses:10: [queue urgent] class: `urgnt` is not known, did you mean `urgent`?; accepted: urgent or background",
        ),
        (
            uses_diagnostic("deadline = 3800ms", "deadline = 3800"),
            "uses:11: [queue urgent] deadline: `3800` is not a duration; accepted: a duration of at least 1ms such as 3800ms, 30s, 36h, 42d or 6w",
        ),
        (
            uses_diagnostic("bound = 7", "bound 7"),
            "uses:19: [queue public] `bound 7` can't be parsed; accepted: `[section]`, `key = value`, a comment after `;` or `#` at the start of a line, or an indented line that continues a value",
        ),
    ];
    for (found, expected) in cases {
        assert_eq!(found, expected);
    }
}

/// `rust-ini` parses each line alone and may read it as nothing or as several items.
/// Such a line must be an error, or an operator's typing error would be ignored.
#[test]
fn a_line_that_is_not_one_header_or_one_entry_is_an_error() {
    for line in ["[plan a", "plan a]", "[plan a] share = 1", "[plan a] ; text", "[a]b]", "= 1"] {
        let found = parse(line, "").unwrap_err();
        assert!(found.to_string().contains("can't be parsed"), "{line}: {found}");
    }
    // Each line is parsed alone, so a header without its bracket does not swallow the
    // next line.
    let found = parse("[plan a\nteam = a\n[plan b]\n", "").unwrap_err();
    assert_eq!(found.as_slice()[1].line, 2, "{found}");
}

/// If parsing stopped at the first error, operators would have to correct the lists one
/// error at a time.
#[test]
fn all_diagnostics_are_returned_at_once_in_the_order_of_lines() {
    let uses = USES.replace("hosts = 10", "hosts = many").replace("bound = 7", "bound = 0");
    let diagnostics = parse(&PLANS.replace("share = 1", "share = -1"), &uses).unwrap_err();
    let places: Vec<_> =
        diagnostics.as_slice().iter().map(|each| (each.source.as_str(), each.line)).collect();
    assert_eq!(places, [("plans", 9), ("uses", 2), ("uses", 19)]);
}

/// A key in two plans would belong to two teams, and its work would count for either of
/// them.
#[test]
fn a_key_in_two_plans_is_an_error() {
    let digest = KeyDigest::of("shared");
    let plans = PLANS.replace("share =", &format!("keys = {digest}\nshare ="));
    assert!(diagnostic(&plans, USES).contains("is also a key of the plan `bakery`"));
}

/// A list that does not fit into a stored value must give one diagnostic, without the
/// cost of parsing it.
#[test]
fn a_list_that_is_too_long_is_not_parsed() {
    let long = ";".repeat(vg_conf::lists::MAX_LIST_BYTES + 1);
    let found = parse(&long, "").unwrap_err();
    assert_eq!(found.as_slice().len(), 1);
    assert!(found.to_string().starts_with("plans: the list has 327681 bytes"));
}

/// Operators decide by the differences whether to apply a change. A missing effect
/// would hide that the work of a team will be refused.
#[test]
fn differences_name_the_teams_that_gain_lose_or_are_refused() {
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

/// A plan that changes its team takes the access from the old team and gives it to the
/// new one, and both must be shown.
#[test]
fn a_plan_that_changes_its_team_affects_both_teams() {
    let (old, new) = (lists(), parse(&PLANS.replace("= dairy", "= creamery"), USES).unwrap());
    let lines: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["plan dairy: team dairy -> creamery (work of dairy will be refused, creamery gains)"]
    );
}
