//! The input of one planning round.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_conf::Pool;

use crate::faults::FleetFaults;
use crate::{Budget, HostRecord, HostReport, HostState, ListedHost, Location, Records};

/// The input of one planning round, indexed by pool and host.
#[derive(Debug)]
pub(crate) struct Snapshot<'a, F> {
    pub(crate) pools: BTreeMap<&'a PoolId, &'a Pool>,
    pub(crate) listed: BTreeMap<&'a HostId, &'a ListedHost>,
    pub(crate) reports: BTreeMap<&'a HostId, &'a HostReport>,
    faults: PhantomData<F>,
}

impl<'a, F: FleetFaults> Snapshot<'a, F> {
    pub(crate) fn new(
        pools: &'a [Pool],
        listed: &'a [ListedHost],
        reports: &'a [HostReport],
    ) -> Snapshot<'a, F> {
        Snapshot {
            pools: pools.iter().map(|each| (&each.id, each)).collect(),
            listed: listed.iter().map(|each| (&each.host, each)).collect(),
            reports: reports.iter().map(|each| (&each.host, each)).collect(),
            faults: PhantomData,
        }
    }

    /// Returns whether a host answers and is in the host list.
    pub(crate) fn is_present(&self, host: &HostId) -> bool {
        let up = self.reports.get(host).is_some_and(|report| report.up);
        up && self.listed.contains_key(host)
    }

    /// Returns whether a host counts as serving. A host that is away by plan,
    /// failed, unreachable, leaving or not verified does not.
    pub(crate) fn is_serving(&self, record: &HostRecord) -> bool {
        let verified = record.state == HostState::Active
            || (F::COUNT_UNVERIFIED && record.state == HostState::Probation);
        let leaving = self.listed.get(&record.host).is_some_and(|each| each.leaving);
        let present = F::COUNT_UNREACHABLE || self.is_present(&record.host);
        verified && present && !leaving
    }

    /// Returns the serving hosts of a pool.
    pub(crate) fn serving<'r>(&self, records: &'r Records, pool: &PoolId) -> Vec<&'r HostRecord> {
        let members = records.hosts().values().filter(|each| each.pool == *pool);
        members.filter(|each| self.is_serving(each)).collect()
    }

    /// Computes the budget of a pool that the hosts `serving` serve.
    pub(crate) fn budget(&self, pool: &Pool, serving: &[&HostRecord], failures: u32) -> Budget {
        let location =
            |each: &&HostRecord| Location { zone: each.zone.clone(), rack: each.rack.clone() };
        let locations: Vec<Location> = serving.iter().map(location).collect();
        let budget = Budget::new(pool, &locations, failures);
        if F::NO_RESERVE { Budget { reserve: 0, ..budget } } else { budget }
    }

    /// Returns the estimated time until a host could be empty, or the maximum if
    /// there is no report about the host.
    pub(crate) fn remaining(&self, host: &HostId) -> Duration {
        self.reports.get(host).map_or(Duration::MAX, |report| report.remaining)
    }
}
