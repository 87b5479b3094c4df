//! The planner of the product as a policy.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_fleet::{Commit, HostRecord, Limits, Planner, Records, Stored, Transition, claim};

use super::policy::{Policy, RoundInput};
use super::site::name;

/// The planner of the product, with a store that never fails.
pub(crate) struct PlannerPolicy {
    planner: Planner,
    records: Records,
    revision: i64,
}

impl PlannerPolicy {
    /// Returns a planner that has claimed an empty fleet.
    pub(crate) fn new() -> PlannerPolicy {
        let member = Member { node: name("e1"), incarnation: Incarnation(1) };
        let batch = claim(&member, None).expect("an empty store has no head to conflict with");
        let stored = |write: &vg_fleet::Write| Stored {
            key: write.key.clone(),
            value: write.value.clone(),
            revision: 1,
        };
        let values: Vec<Stored> = batch.writes.iter().map(stored).collect();
        let records = Records::recover(&member, &values).expect("the head was just written");
        PlannerPolicy { planner: Planner::new(Limits::default()), records, revision: 1 }
    }
}

impl Policy for PlannerPolicy {
    fn run_round(&mut self, input: &RoundInput<'_>) -> Vec<Transition> {
        let records = &mut self.records;
        let transitions =
            self.planner.plan(input.pools, input.listed, input.reports, records, input.now);
        if let Some(batch) = records.batch().expect("records can be encoded") {
            self.revision += 1;
            records.handle_commit(batch.id, Commit::Committed { revision: self.revision });
        }
        transitions
    }

    fn hosts(&self) -> &BTreeMap<HostId, HostRecord> {
        self.records.durable()
    }
}
