//! An oracle for the properties that must hold, independent of the code under test.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{FailureCause, JobState, Start};

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Jobs that were acknowledged.
    pub(crate) accepted: BTreeSet<JobId>,
    /// Jobs whose submitters were told that they were rejected.
    pub(crate) rejected: BTreeSet<JobId>,
    /// All submitted jobs, and whether each is idempotent.
    pub(crate) idempotent: BTreeMap<JobId, bool>,
    /// Number of starts on workers, by job and the checkpoint that they resumed
    /// from.
    starts: BTreeMap<(JobId, Option<Bytes>), u32>,
    /// Checkpoints that tasks of each job wrote.
    checkpoints: BTreeMap<JobId, BTreeSet<Bytes>>,
    /// Codes with which tasks of each job exited.
    exits: BTreeMap<JobId, BTreeSet<i32>>,
    /// The final state of each job, as it was first shown.
    pub(crate) final_states: BTreeMap<JobId, JobState>,
}

impl Oracle {
    /// Records that a worker started a task, and checks that the job was submitted, was
    /// not rejected and has not finished, and that a job that is not idempotent starts
    /// only once from each checkpoint.
    pub(crate) fn started(&mut self, start: &Start) {
        let job = start.task.job;
        assert!(!self.rejected.contains(&job), "{job:?} was rejected and runs");
        assert!(self.accepted.contains(&job) || self.idempotent.contains_key(&job));
        assert!(
            !self.final_states.contains_key(&job),
            "{job:?} ended as {:?} and runs",
            self.final_states[&job]
        );
        if let Some(checkpoint) = &start.resume {
            let known = self
                .checkpoints
                .get(&job)
                .is_some_and(|checkpoints| checkpoints.contains(checkpoint));
            assert!(known, "{job:?} resumes from a checkpoint it never wrote");
        }
        let count = self.starts.entry((job, start.resume.clone())).or_default();
        *count += 1;
        let once = *count == 1 || self.idempotent[&job];
        assert!(once, "{job:?} is not idempotent and ran {count} times");
    }

    pub(crate) fn checkpointed(&mut self, job: JobId, checkpoint: Bytes) {
        self.checkpoints.entry(job).or_default().insert(checkpoint);
    }

    pub(crate) fn exited(&mut self, job: JobId, exit: i32) {
        self.exits.entry(job).or_default().insert(exit);
    }

    /// Checks a state that is shown to callers. A final state must never change, must
    /// match what the tasks did, and must not be shown while a task of the job runs.
    pub(crate) fn shown(&mut self, job: JobId, state: JobState, running: bool) {
        if let Some(end) = self.final_states.get(&job) {
            assert_eq!(*end, state, "the final state of {job:?} changed");
        }
        if !state.is_final() {
            return;
        }
        assert!(!running, "{job:?} is shown as {state} and runs");
        let exited = |exit: &i32| self.exits.get(&job).is_some_and(|exits| exits.contains(exit));
        match state {
            JobState::Done { exit } => assert!(exited(&exit), "{job:?} never exited with {exit}"),
            JobState::Failed { cause: FailureCause::Exit(exit) } => assert!(exited(&exit)),
            JobState::Unknown => assert!(!self.idempotent[&job], "{job:?} could run again"),
            _ => {}
        }
        self.final_states.insert(job, state);
    }
}
