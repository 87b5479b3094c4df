//! The planner as a policy.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_fleet::{Commit, HostRecord, Limits, Planner, Records, Stored, Transition, claim};

use super::policy::{Policy, Seen};
use super::site::name;

/// The planner with a store that always answers.
pub(crate) struct Planned {
    planner: Planner,
    records: Records,
    revision: i64,
}

impl Planned {
    pub(crate) fn new() -> Planned {
        let member = Member { node: name("e1"), incarnation: Incarnation(1) };
        let batch = claim(&member, None).expect("there is no head yet");
        let stored = |write: &vg_fleet::Write| Stored {
            key: write.key.clone(),
            value: write.value.clone(),
            revision: 1,
        };
        let values: Vec<Stored> = batch.writes.iter().map(stored).collect();
        let records = Records::recover(&member, &values).expect("the head was just written");
        Planned { planner: Planner::new(Limits::default()), records, revision: 1 }
    }
}

impl Policy for Planned {
    fn round(&mut self, seen: &Seen<'_>) -> Vec<Transition> {
        let records = &mut self.records;
        let steps = self.planner.plan(seen.pools, seen.listed, seen.reports, records, seen.now);
        if let Some(batch) = records.batch().expect("records can be encoded") {
            self.revision += 1;
            records.handle_commit(batch.id, Commit::Done { revision: self.revision });
        }
        steps
    }

    fn hosts(&self) -> &BTreeMap<HostId, HostRecord> {
        self.records.durable()
    }
}
