//! The kinds of values in the two lists.

use vg_base::prelude::*;

use crate::ini::{ValueParser, items, number, one_of, span, words};
use crate::lists::{Class, KeyDigest};

/// Largest accepted share, limit, bound or number of hosts.
const LARGEST: u32 = 1_000_000;

pub(crate) const TEAM: ValueParser<TeamId> =
    ValueParser { accepted: "the name of a team", parse: words };
pub(crate) const POOL: ValueParser<PoolId> =
    ValueParser { accepted: "the name of a pool", parse: words };
pub(crate) const OPEN: ValueParser<Option<PlanId>> =
    ValueParser { accepted: "the name of a plan", parse: |text| words(text).map(Some) };
pub(crate) const PLANS: ValueParser<Vec<PlanId>> =
    ValueParser { accepted: "names of plans, separated by commas", parse: some_plans };
pub(crate) const ZONES: ValueParser<Vec<ZoneId>> =
    ValueParser { accepted: "names of availability zones, separated by commas", parse: items };
pub(crate) const KEYS: ValueParser<Vec<KeyDigest>> = ValueParser {
    accepted: "digests `sha256:` and 64 hexadecimal digits, separated by commas or line breaks",
    parse: items,
};
pub(crate) const SHARE: ValueParser<Share> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| positive(text).map(Share),
};
pub(crate) const LIMIT: ValueParser<Permits> = ValueParser {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| positive(text).map(Permits),
};
pub(crate) const COUNT: ValueParser<u32> =
    ValueParser { accepted: "a whole number from 1 to 1000000", parse: positive };
pub(crate) const BUDGET: ValueParser<u32> = ValueParser {
    accepted: "a whole number below `hosts`",
    parse: |text| number(text, 0..=LARGEST),
};
pub(crate) const DURATION: ValueParser<Duration> = ValueParser {
    accepted: "a time of at least 1ms such as 3800ms, 30s, 36h, 42d or 6w",
    parse: span,
};
pub(crate) const FLAG: ValueParser<bool> = ValueParser {
    accepted: "yes or no",
    parse: |text| one_of(text, &[("yes", true), ("no", false)]),
};
pub(crate) const CLASS: ValueParser<Class> = ValueParser {
    accepted: "urgent or background",
    parse: |text| one_of(text, &[("urgent", Class::Urgent), ("background", Class::Background)]),
};

fn positive(text: &str) -> Result<u32, String> {
    number(text, 1..=LARGEST)
}

fn some_plans(text: &str) -> Result<Vec<PlanId>, String> {
    let plans = items(text)?;
    if plans.is_empty() { Err("no plan is named".to_owned()) } else { Ok(plans) }
}
