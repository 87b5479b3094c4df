//! What a site consists of.

use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::examples::Example;
use vg_conf::{Lists, lists};
use vg_peer::Timing;

use crate::site::SiteError;
use crate::site::error::ListsSnafu;

/// What a site consists of.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// The list `plans`, without keys.
    pub plans: String,
    /// The list `uses`.
    pub uses: String,
    /// Entry hosts.
    pub nodes: u32,
    /// Endpoints of each pool.
    pub endpoints: u32,
    /// Workers of each pool.
    pub workers: u32,
    /// Availability zones.
    pub zones: u32,
    /// How long an endpoint takes for a call.
    pub service: Duration,
    /// Period in which entry hosts read the host list.
    pub host_period: Duration,
    /// Times of membership.
    pub timing: Timing,
}

impl SitePlan {
    /// Makes a plan with three entry hosts from a pair of example lists.
    pub fn of_example(example: &Example) -> SitePlan {
        SitePlan::of_lists(example.plans, example.uses)
    }

    /// Makes a plan with three entry hosts from a pair of lists.
    pub fn of_lists(plans: &str, uses: &str) -> SitePlan {
        SitePlan {
            plans: plans.to_owned(),
            uses: uses.to_owned(),
            nodes: 3,
            endpoints: 3,
            workers: 2,
            zones: 3,
            service: Duration::from_millis(20),
            host_period: Duration::from_millis(200),
            timing: Timing::default(),
        }
    }

    /// Parses the lists.
    ///
    /// # Errors
    ///
    /// [`SiteError::Lists`] with all faults.
    pub fn lists(&self) -> Result<Lists, SiteError> {
        lists::parse(&self.plans, &self.uses).context(ListsSnafu)
    }
}
