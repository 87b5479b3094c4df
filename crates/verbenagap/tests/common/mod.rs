//! Helpers for end-to-end tests.
#![allow(dead_code)] // Each test program uses only some of the helpers.

use std::time::Duration;

use verbenagap::site::{Site, SitePlan};
use vg_base::prelude::*;

/// Time limit for a condition that the test waits for.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The list `plans`: two teams that compete for the same pools, and the plan for callers
/// without a key.
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

/// The list `uses` for [`PLANS`]: an urgent and a background queue for both teams, and a
/// queue that is open to callers without a key.
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
pub(crate) async fn start_site(plan: SitePlan) -> Site {
    let site = Site::start(plan).await.unwrap();
    assert!(site.wait_ready(WAIT_TIMEOUT).await, "the site does not become ready");
    site
}

/// Starts a site with the lists [`PLANS`] and [`USES`] and waits until it serves.
pub(crate) async fn small_site() -> Site {
    start_site(SitePlan::from_lists(PLANS, USES)).await
}

/// Parses a name that is known to be valid.
pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Waits until `condition` is true; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
