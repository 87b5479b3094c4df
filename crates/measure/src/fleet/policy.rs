//! The interface of the maintenance policies.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{HostRecord, HostReport, ListedHost, Transition};

/// The input of a policy in a round.
pub(crate) struct RoundInput<'a> {
    pub(crate) pools: &'a [Pool],
    pub(crate) listed: &'a [ListedHost],
    pub(crate) reports: &'a [HostReport],
    pub(crate) now: SystemTime,
}

/// Decides when hosts are maintained and moved between pools.
pub(crate) trait Policy {
    /// Decides and applies the transitions of a round, and returns them.
    fn run_round(&mut self, input: &RoundInput<'_>) -> Vec<Transition>;

    /// Returns the records of all hosts.
    fn hosts(&self) -> &BTreeMap<HostId, HostRecord>;
}
