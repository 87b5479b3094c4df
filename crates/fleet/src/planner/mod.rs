//! The planner, which decides the next transition of each host.

mod advance;
mod margin;
mod moves;
mod reconcile;
mod snapshot;
mod status;
mod waves;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_conf::Pool;

use self::snapshot::Snapshot;
use crate::faults::{FleetFaults, NoFaults};
use crate::{
    Change, Discrepancy, HostReport, Limits, ListedHost, Measurements, Records, Transition,
    WaitReason, WallTime,
};

/// Decides the transitions of all hosts.
///
/// All durable state is in [`Records`]. The planner's own state is lost with its
/// process. A new planner measures it again: all its waits start anew, so they are
/// longer than necessary, never shorter, and its failure count starts at zero.
#[derive(Debug, Clone)]
pub struct Planner<F = NoFaults> {
    limits: Limits,
    measurements: Measurements,
    /// Since when a host does not answer or is not in the host list.
    absent_since: BTreeMap<HostId, WallTime>,
    /// Since when a host is not in the host list.
    unlisted_since: BTreeMap<HostId, WallTime>,
    /// Start of the drains that this planner began.
    drained_at: BTreeMap<HostId, WallTime>,
    /// Since when fewer hosts belong to a pool than the lists ask for.
    shortage_since: BTreeMap<PoolId, WallTime>,
    /// Since when a pool needs a lent host.
    need_since: BTreeMap<PoolId, WallTime>,
    /// Since when a pool can spare a lent host.
    surplus_since: BTreeMap<PoolId, WallTime>,
    /// Pools whose maintenance wave is in progress.
    open_waves: BTreeSet<PoolId>,
    wait_reasons: BTreeMap<PoolId, WaitReason>,
    discrepancies: BTreeSet<Discrepancy>,
    transitions: Vec<Transition>,
    faults: PhantomData<F>,
}

impl Planner {
    /// Creates a planner.
    pub fn new(limits: Limits) -> Planner {
        Planner::with_faults(limits)
    }
}

impl<F: FleetFaults> Planner<F> {
    /// Creates a planner with injected faults, for tests.
    #[doc(hidden)]
    pub fn with_faults(limits: Limits) -> Planner<F> {
        Planner {
            measurements: Measurements::new(&limits),
            limits,
            absent_since: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
            drained_at: BTreeMap::new(),
            shortage_since: BTreeMap::new(),
            need_since: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            open_waves: BTreeSet::new(),
            wait_reasons: BTreeMap::new(),
            discrepancies: BTreeSet::new(),
            transitions: Vec::new(),
            faults: PhantomData,
        }
    }

    /// Stages the transitions that follow from the lists, the reports and the
    /// records, and returns them.
    ///
    /// Nothing is staged while a batch is pending, because every decision must be
    /// based on records whose state is known. So nothing is decided while the store
    /// does not answer.
    pub fn plan(
        &mut self,
        pools: &[Pool],
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &mut Records,
        now: SystemTime,
    ) -> Vec<Transition> {
        if records.has_pending() {
            return Vec::new();
        }
        let now = WallTime::from(now);
        let snapshot = Snapshot::new(pools, listed, reports);
        self.discrepancies.clear();
        self.reconcile(&snapshot, records, now);
        self.advance_hosts(&snapshot, records, now);
        self.cancel_drains(&snapshot, records, now);
        self.plan_waves(&snapshot, records, now);
        self.plan_moves(&snapshot, records, now);
        std::mem::take(&mut self.transitions)
    }

    /// Returns the discrepancies that the last call of [`Planner::plan`] found.
    pub fn discrepancies(&self) -> impl Iterator<Item = &Discrepancy> {
        self.discrepancies.iter()
    }

    /// Returns the measured failure rate and time away.
    pub fn measurements(&self) -> &Measurements {
        &self.measurements
    }

    /// Stages a change of a host and returns whether it was possible.
    fn stage(
        &mut self,
        records: &mut Records,
        host: &HostId,
        change: Change,
        now: WallTime,
    ) -> bool {
        let transition = Transition::new(host, change);
        // A transition that is not possible is skipped. The next call of `plan`
        // decides again from the current records.
        if records.stage(&transition, now).is_err() {
            return false;
        }
        match transition.change {
            Change::Drain(_) => {
                self.drained_at.insert(host.clone(), now);
            }
            Change::CancelDrain | Change::MarkLost => {
                self.drained_at.remove(host);
            }
            _ => {}
        }
        self.transitions.push(transition);
        true
    }

    /// Returns the number of host failures that `pool` has to expect during the
    /// maintenance of one host.
    fn failures(&self, pool: &Pool, records: &Records) -> u32 {
        let fleet = records.hosts().len();
        self.measurements.likely_failures(
            pool.hosts as usize,
            fleet,
            self.limits.failure_probability,
        )
    }
}
