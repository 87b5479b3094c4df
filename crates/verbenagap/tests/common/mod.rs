//! Small helpers for tests of the whole path.
#![allow(dead_code)] // Each test program uses a part of them.

use std::time::Duration;

use verbenagap::site::{Site, SitePlan};
use vg_base::prelude::*;

/// Longest wait for something that is to happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Two rival teams on one pool, and a queue open to all.
pub(crate) const PLANS: &str = "\
[plan bakery]
team = bakery
keys =
share = 1
limit = 6

[plan dairy]
team = dairy
keys =
share = 1
limit = 40

[plan public]
team = public
keys =
share = 1
limit = 4
";

/// See [`PLANS`].
pub(crate) const USES: &str = "\
[pool notices]
hosts = 3
budget = 1
period = 6w

[pool feeds]
hosts = 3
budget = 1
period = 6w

[queue urgent]
pool = notices
plans = bakery, dairy
class = urgent
deadline = 3800ms
idempotent = no
bound = 500

[queue feeds]
pool = feeds
plans = bakery, dairy
class = background
deadline = 20s
idempotent = yes
bound = 500

[queue lookup]
pool = notices
open = public
class = background
deadline = 5s
idempotent = yes
bound = 100
";

/// Starts a site and waits until it serves.
pub(crate) async fn site(plan: SitePlan) -> Site {
    let site = Site::start(plan).await.unwrap();
    assert!(site.ready(PATIENCE).await, "the site does not become ready");
    site
}

/// Starts the site of [`PLANS`] and [`USES`].
pub(crate) async fn small_site() -> Site {
    site(SitePlan::of_lists(PLANS, USES)).await
}

/// Parses a name.
pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Waits until `condition` holds.
pub(crate) async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
