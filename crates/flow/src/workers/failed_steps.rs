//! Steps of which attempts have failed, and on which workers: whether a failure shows
//! something about a worker or about the job.
//!
//! Load that this module handles: jobs that can never be done fail on every worker
//! that they are tried on. If these failures counted as evidence about the
//! workers, the jobs would take healthy ones out of use.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::StepId;
use crate::workers::worker::WorkerKey;

/// Maximum number of steps.
const MAX_STEPS: usize = 1024;
/// Maximum number of workers that are noted for a step.
const MAX_WORKERS: usize = 16;
/// Time after the last failure for which a step is kept.
const LIFETIME: Duration = Duration::from_secs(60);
/// Number of workers on which a step has failed from which it may be the job.
const MANY_WORKERS: usize = 3;

/// Where attempts of a step have failed and succeeded.
#[derive(Debug, Clone)]
struct FailedStep {
    failed_on: Vec<WorkerKey>,
    succeeded_on: Vec<WorkerKey>,
    failed_at: Instant,
}

impl FailedStep {
    /// Whether the step fails on more than half of the workers that it was tried on.
    fn fails_widely(&self) -> bool {
        let only_succeeded =
            self.succeeded_on.iter().filter(|worker| !self.failed_on.contains(worker)).count();
        self.failed_on.len() >= MANY_WORKERS && self.failed_on.len() > only_succeeded
    }
}

/// Steps of which attempts have failed.
#[derive(Debug, Default)]
pub(crate) struct FailedSteps(HashMap<StepId, FailedStep>);

impl FailedSteps {
    /// Records a failed attempt. `succeeded_on` are workers on which tasks of the step
    /// have completed; they count with the first failure only.
    pub(crate) fn record_failure(
        &mut self,
        step: StepId,
        worker: WorkerKey,
        succeeded_on: Vec<WorkerKey>,
        now: Instant,
    ) {
        if !self.0.contains_key(&step) && self.0.len() >= MAX_STEPS {
            return;
        }
        let state = self.0.entry(step).or_insert_with(|| {
            let mut state =
                FailedStep { failed_on: Vec::new(), succeeded_on: Vec::new(), failed_at: now };
            succeeded_on.into_iter().for_each(|each| note(&mut state.succeeded_on, each));
            state
        });
        state.failed_at = now;
        note(&mut state.failed_on, worker);
    }

    /// Records an attempt that completed its task.
    pub(crate) fn record_success(&mut self, step: StepId, worker: WorkerKey) {
        if let Some(state) = self.0.get_mut(&step) {
            note(&mut state.succeeded_on, worker);
        }
    }

    /// Whether a failure in a step counts as evidence about a worker: another attempt of the
    /// step has succeeded, and the step doesn't fail on most workers.
    pub(crate) fn blames(&self, step: StepId, worker: WorkerKey) -> bool {
        self.0.get(&step).is_some_and(|state| {
            !state.succeeded_on.is_empty()
                && state.failed_on.contains(&worker)
                && !state.fails_widely()
        })
    }

    /// Drops steps that have not failed for a while.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.0.retain(|_, state| now.saturating_duration_since(state.failed_at) < LIFETIME);
    }
}

fn note(workers: &mut Vec<WorkerKey>, worker: WorkerKey) {
    if workers.len() < MAX_WORKERS && !workers.contains(&worker) {
        workers.push(worker);
    }
}
