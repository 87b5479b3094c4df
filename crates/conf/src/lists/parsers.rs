//! Parsers of the values in the two lists.

use vg_base::prelude::*;

use crate::ini::{
    ValueParser, parse_duration, parse_from_str, parse_items, parse_keyword, parse_number,
};
use crate::lists::{Class, KeyDigest};

/// Largest accepted `share`, `limit`, `bound`, `budget` or number of hosts.
const MAX_NUMBER: u32 = 1_000_000;

pub(crate) const TEAM: ValueParser<TeamId> =
    ValueParser { accepted: "the name of a team", parse: parse_from_str };
pub(crate) const POOL: ValueParser<PoolId> =
    ValueParser { accepted: "the name of a pool", parse: parse_from_str };
pub(crate) const OPEN: ValueParser<Option<PlanId>> =
    ValueParser { accepted: "the name of a plan", parse: |text| parse_from_str(text).map(Some) };
pub(crate) const PLANS: ValueParser<Vec<PlanId>> =
    ValueParser { accepted: "names of plans, separated by commas", parse: parse_plans };
pub(crate) const ZONES: ValueParser<Vec<ZoneId>> = ValueParser {
    accepted: "names of availability zones, separated by commas",
    parse: parse_items,
};
pub(crate) const KEYS: ValueParser<Vec<KeyDigest>> = ValueParser {
    accepted: "digests `sha256:` and 64 hexadecimal digits, separated by commas or line breaks",
    parse: parse_items,
};
pub(crate) const SHARE: ValueParser<Share> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| parse_positive(text).map(Share),
};
pub(crate) const LIMIT: ValueParser<Permits> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| parse_positive(text).map(Permits),
};
pub(crate) const COUNT: ValueParser<u32> =
    ValueParser { accepted: "a whole number from 1 to 1000000", parse: parse_positive };
pub(crate) const BUDGET: ValueParser<u32> = ValueParser {
    accepted: "a whole number below `hosts`",
    parse: |text| parse_number(text, 0..=MAX_NUMBER),
};
pub(crate) const DURATION: ValueParser<Duration> = ValueParser {
    accepted: "a duration of at least 1ms such as 3800ms, 30s, 36h, 42d or 6w",
    parse: parse_duration,
};
pub(crate) const FLAG: ValueParser<bool> = ValueParser {
    accepted: "yes or no",
    parse: |text| parse_keyword(text, &[("yes", true), ("no", false)]),
};
pub(crate) const CLASS: ValueParser<Class> = ValueParser {
    accepted: "urgent or background",
    parse: |text| {
        parse_keyword(text, &[("urgent", Class::Urgent), ("background", Class::Background)])
    },
};

fn parse_positive(text: &str) -> Result<u32, String> {
    parse_number(text, 1..=MAX_NUMBER)
}

fn parse_plans(text: &str) -> Result<Vec<PlanId>, String> {
    let plans = parse_items(text)?;
    if plans.is_empty() { Err("no plan is named".to_owned()) } else { Ok(plans) }
}
