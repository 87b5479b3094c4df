//! Gauges of the time that new jobs wait in contended pools.

use prometheus::{Error, GaugeVec, Opts, Registry};
use vg_base::prelude::*;

use crate::team_gauges::team_label;

/// Maximum number of teams with a gauge; those with shorter waits are left out.
const MAX_WAITS: usize = 50;

/// Time that a large job of a team would wait in a contended pool.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ExpectedWait {
    pub(crate) pool: PoolId,
    pub(crate) team: Option<TeamId>,
    pub(crate) wait: Duration,
}

/// Expected waits in seconds by pool and team; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct WaitGauges(GaugeVec);

impl WaitGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<WaitGauges, Error> {
        let help = "Expected wait by contended pool and team.";
        let options = Opts::new("vg_expected_wait_seconds", help);
        let waits = GaugeVec::new(options, &["pool", "team"])?;
        registry.register(Box::new(waits.clone()))?;
        Ok(WaitGauges(waits))
    }

    /// Replaces all gauges by the longest ones of these waits.
    pub(crate) fn set(&self, waits: &[ExpectedWait]) {
        self.0.reset();
        let mut longest: Vec<_> = waits.iter().collect();
        longest.sort_by_key(|each| std::cmp::Reverse(each.wait));
        for each in longest.into_iter().take(MAX_WAITS) {
            let labels = [each.pool.as_str(), team_label(each.team.as_ref())];
            self.0.with_label_values(&labels).set(each.wait.as_secs_f64());
        }
    }
}
