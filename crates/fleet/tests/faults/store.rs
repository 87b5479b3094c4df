//! A store that loses answers and delays writes.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use vg_fleet::{Batch, Commit, Stored};

use crate::op::Answer;

#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    values: BTreeMap<SmolStr, Stored>,
    revision: i64,
    late: Vec<Batch>,
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

    pub(crate) fn commit(&mut self, batch: &Batch, answer: Answer) -> Commit {
        match answer {
            Answer::Given => self.apply(batch),
            Answer::LostAfter => {
                self.apply(batch);
                Commit::Lost
            }
            Answer::LostBefore => Commit::Lost,
            Answer::Late => {
                self.late.push(batch.clone());
                Commit::Lost
            }
            Answer::Unreached => Commit::Unreached,
        }
    }

    /// Lets delayed writes take effect, twice.
    pub(crate) fn land(&mut self) {
        for batch in std::mem::take(&mut self.late) {
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
        Commit::Done { revision: self.revision }
    }
}
