//! The configuration of a site.

use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::examples::Example;
use vg_conf::{Lists, lists};
use vg_peer::Timing;

use crate::site::SiteError;
use crate::site::error::ListsSnafu;

/// The number of processes of each kind in a site, and its lists and timing.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// The list `plans`, without keys.
    pub plans: String,
    /// The list `uses`.
    pub uses: String,
    /// Number of entry hosts.
    pub nodes: u32,
    /// Number of endpoints per pool.
    pub endpoints: u32,
    /// Number of workers per pool.
    pub workers: u32,
    /// Number of availability zones that hosts are spread over.
    pub zones: u32,
    /// Time that an endpoint takes to answer a call.
    pub service_time: Duration,
    /// Period at which entry hosts read the host list.
    pub host_period: Duration,
    /// Timing of membership.
    pub timing: Timing,
}

impl SitePlan {
    /// Returns a plan with three entry hosts and the lists of an example.
    pub fn from_example(example: &Example) -> SitePlan {
        SitePlan::from_lists(example.plans, example.uses)
    }

    /// Returns a plan with three entry hosts and the given lists.
    pub fn from_lists(plans: &str, uses: &str) -> SitePlan {
        SitePlan {
            plans: plans.to_owned(),
            uses: uses.to_owned(),
            nodes: 3,
            endpoints: 3,
            workers: 2,
            zones: 3,
            service_time: Duration::from_millis(20),
            host_period: Duration::from_millis(200),
            timing: Timing::default(),
        }
    }

    /// Parses the lists.
    ///
    /// # Errors
    ///
    /// [`SiteError::Lists`] with all problems of the lists.
    pub fn lists(&self) -> Result<Lists, SiteError> {
        lists::parse(&self.plans, &self.uses).context(ListsSnafu)
    }
}
