//! A fake store that loses answers and delays writes.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use vg_fleet::{Batch, Commit, Stored};

use crate::op::StoreReply;

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    values: BTreeMap<SmolStr, Stored>,
    revision: i64,
    delayed: Vec<Batch>,
}

impl FakeStore {
    pub(crate) fn get(&self, key: &str) -> Option<&Stored> {
        self.values.get(key)
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn all(&self) -> Vec<Stored> {
        self.values.values().cloned().collect()
    }

    pub(crate) fn commit(&mut self, batch: &Batch, reply: StoreReply) -> Commit {
        match reply {
            StoreReply::Given => self.apply(batch),
            StoreReply::AnswerLost => {
                self.apply(batch);
                Commit::Lost
            }
            StoreReply::RequestLost => Commit::Lost,
            StoreReply::Delayed => {
                self.delayed.push(batch.clone());
                Commit::Lost
            }
            StoreReply::Unreached => Commit::Unreached,
        }
    }

    /// Executes each delayed commit twice, to show that the second has no effect.
    pub(crate) fn apply_delayed(&mut self) {
        for batch in std::mem::take(&mut self.delayed) {
            self.apply(&batch);
            self.apply(&batch);
        }
    }

    fn apply(&mut self, batch: &Batch) -> Commit {
        let holds = |expect: &vg_fleet::Expect| {
            self.values.get(&expect.key).map(|stored| stored.revision) == expect.revision
        };
        if !batch.expects.iter().all(holds) {
            return Commit::Conflict;
        }
        self.revision += 1;
        for write in &batch.writes {
            let (key, value, revision) = (write.key.clone(), write.value.clone(), self.revision);
            self.values.insert(key.clone(), Stored { key, value, revision });
        }
        Commit::Committed { revision: self.revision }
    }
}
