//! The kinds of values in the two lists.

use vg_base::prelude::*;

use crate::ini::{Kind, items, number, one_of, span, words};
use crate::lists::{Class, KeyDigest};

/// Largest accepted share, limit, bound or number of hosts.
const LARGEST: u32 = 1_000_000;

pub(crate) const TEAM: Kind<TeamId> = Kind { accepted: "the name of a team", parse: words };
pub(crate) const POOL: Kind<PoolId> = Kind { accepted: "the name of a pool", parse: words };
pub(crate) const OPEN: Kind<Option<PlanId>> =
    Kind { accepted: "the name of a plan", parse: |text| words(text).map(Some) };
pub(crate) const PLANS: Kind<Vec<PlanId>> =
    Kind { accepted: "names of plans, separated by commas", parse: some_plans };
pub(crate) const ZONES: Kind<Vec<ZoneId>> =
    Kind { accepted: "names of availability zones, separated by commas", parse: items };
pub(crate) const KEYS: Kind<Vec<KeyDigest>> = Kind {
    accepted: "digests `sha256:` and 64 hexadecimal digits, separated by commas or line breaks",
    parse: items,
};
pub(crate) const SHARE: Kind<Share> =
    Kind { accepted: "a whole number from 1 to 1000000", parse: |text| positive(text).map(Share) };
pub(crate) const LIMIT: Kind<Permits> = Kind {
    accepted: "a whole number from 1 to 1000000",
    parse: |text| positive(text).map(Permits),
};
pub(crate) const COUNT: Kind<u32> =
    Kind { accepted: "a whole number from 1 to 1000000", parse: positive };
pub(crate) const BUDGET: Kind<u32> =
    Kind { accepted: "a whole number below `hosts`", parse: |text| number(text, 0..=LARGEST) };
pub(crate) const SPAN: Kind<Duration> =
    Kind { accepted: "a time of at least 1ms such as 3800ms, 30s, 36h, 42d or 6w", parse: span };
pub(crate) const FLAG: Kind<bool> =
    Kind { accepted: "yes or no", parse: |text| one_of(text, &[("yes", true), ("no", false)]) };
pub(crate) const CLASS: Kind<Class> = Kind {
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
