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
use crate::faults::{FleetFaults, Sound};
use crate::{Change, HostReport, Limits, ListedHost, Notice, Rates, Records, Stamp, Step, Wait};

/// Decides the steps of all hosts.
///
/// All that must last stands in [`Records`]. What a planner keeps besides is
/// soft: a new one measures it again, and meanwhile waits longer rather than
/// shorter.
#[derive(Debug, Clone)]
pub struct Planner<F = Sound> {
    limits: Limits,
    rates: Rates,
    away: BTreeMap<HostId, Stamp>,
    unlisted: BTreeMap<HostId, Stamp>,
    drained: BTreeMap<HostId, Stamp>,
    lacks: BTreeMap<PoolId, Stamp>,
    needs: BTreeMap<PoolId, Stamp>,
    plenty: BTreeMap<PoolId, Stamp>,
    waves: BTreeSet<PoolId>,
    waits: BTreeMap<PoolId, Wait>,
    notices: BTreeSet<Notice>,
    steps: Vec<Step>,
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
            rates: Rates::new(&limits),
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
    pub fn round(
        &mut self,
        pools: &[Pool],
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &mut Records,
        now: SystemTime,
    ) -> Vec<Step> {
        if records.is_busy() {
            return Vec::new();
        }
        let now = Stamp::from(now);
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
    pub fn notices(&self) -> impl Iterator<Item = &Notice> {
        self.notices.iter()
    }

    /// Returns the failures and times measured.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    fn stage(&mut self, records: &mut Records, host: &HostId, change: Change, now: Stamp) -> bool {
        let step = Step::new(host, change);
        // A step that does not follow is left out; the next round sees why.
        if records.stage(&step, now).is_err() {
            return false;
        }
        match step.change {
            Change::Drain(_) => {
                self.drained.insert(host.clone(), now);
            }
            Change::CancelDrain | Change::Lose => {
                self.drained.remove(host);
            }
            _ => {}
        }
        self.steps.push(step);
        true
    }

    fn failures(&self, pool: &Pool, records: &Records) -> u32 {
        let fleet = records.hosts().len();
        self.rates.likely(pool.hosts as usize, fleet, self.limits.failure_chance)
    }
}
