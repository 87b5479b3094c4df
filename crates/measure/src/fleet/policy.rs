//! Ways to take hosts through maintenance.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{HostRecord, HostReport, ListedHost, Transition};

/// What a policy knows in a round.
pub(crate) struct Seen<'a> {
    pub(crate) pools: &'a [Pool],
    pub(crate) listed: &'a [ListedHost],
    pub(crate) reports: &'a [HostReport],
    pub(crate) now: SystemTime,
}

/// A way to take hosts through maintenance.
pub(crate) trait Policy {
    /// Decides and carries out a round.
    fn round(&mut self, seen: &Seen<'_>) -> Vec<Transition>;

    /// Returns the records of all hosts.
    fn hosts(&self) -> &BTreeMap<HostId, HostRecord>;
}
