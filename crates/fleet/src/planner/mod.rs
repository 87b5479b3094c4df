//! The planner: what happens next to each host.

mod advance;
mod answer;
mod margin;
mod moves;
mod reconcile;
mod scene;
mod waves;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_conf::Pool;

use self::scene::Scene;
use crate::faults::{FleetFaults, NoFaults};
use crate::{
    Change, Discrepancy, HostReport, Limits, ListedHost, Measurements, Records, Transition,
    WaitReason, WallTime,
};

/// Decides the steps of all hosts.
///
/// All that must last stands in [`Records`]. What a planner keeps besides is
/// soft: a new one measures it again, and meanwhile waits longer rather than
/// shorter.
#[derive(Debug, Clone)]
pub struct Planner<F = NoFaults> {
    limits: Limits,
    rates: Measurements,
    away: BTreeMap<HostId, WallTime>,
    unlisted: BTreeMap<HostId, WallTime>,
    drained: BTreeMap<HostId, WallTime>,
    lacks: BTreeMap<PoolId, WallTime>,
    needs: BTreeMap<PoolId, WallTime>,
    plenty: BTreeMap<PoolId, WallTime>,
    waves: BTreeSet<PoolId>,
    waits: BTreeMap<PoolId, WaitReason>,
    notices: BTreeSet<Discrepancy>,
    steps: Vec<Transition>,
    faults: PhantomData<F>,
}

impl Planner {
    /// Makes a planner.
    pub fn new(limits: Limits) -> Planner {
        Planner::with_faults(limits)
    }
}

impl<F: FleetFaults> Planner<F> {
    /// Makes a planner with known faults, for tests.
    #[doc(hidden)]
    pub fn with_faults(limits: Limits) -> Planner<F> {
        Planner {
            rates: Measurements::new(&limits),
            limits,
            away: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            drained: BTreeMap::new(),
            lacks: BTreeMap::new(),
            needs: BTreeMap::new(),
            plenty: BTreeMap::new(),
            waves: BTreeSet::new(),
            waits: BTreeMap::new(),
            notices: BTreeSet::new(),
            steps: Vec::new(),
            faults: PhantomData,
        }
    }

    /// Stages the steps that follow from what is known now, and returns them.
    ///
    /// While a batch is under way nothing is staged: every decision stands on
    /// records that are known to hold. Without the store, that is none.
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
        let scene = Scene::new(pools, listed, reports);
        self.notices.clear();
        self.reconcile(&scene, records, now);
        self.advance(&scene, records, now);
        self.return_drains(&scene, records, now);
        self.plan_waves(&scene, records, now);
        self.plan_moves(&scene, records, now);
        std::mem::take(&mut self.steps)
    }

    /// Returns the disagreements that the last round saw.
    pub fn discrepancies(&self) -> impl Iterator<Item = &Discrepancy> {
        self.notices.iter()
    }

    /// Returns the failures and times measured.
    pub fn measurements(&self) -> &Measurements {
        &self.rates
    }

    fn stage(
        &mut self,
        records: &mut Records,
        host: &HostId,
        change: Change,
        now: WallTime,
    ) -> bool {
        let step = Transition::new(host, change);
        // A step that does not follow is left out; the next round sees why.
        if records.stage(&step, now).is_err() {
            return false;
        }
        match step.change {
            Change::Drain(_) => {
                self.drained.insert(host.clone(), now);
            }
            Change::CancelDrain | Change::MarkLost => {
                self.drained.remove(host);
            }
            _ => {}
        }
        self.steps.push(step);
        true
    }

    fn failures(&self, pool: &Pool, records: &Records) -> u32 {
        let fleet = records.hosts().len();
        self.rates.likely_failures(pool.hosts as usize, fleet, self.limits.failure_probability)
    }
}
