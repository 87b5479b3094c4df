//! Attempts that were lost with their worker, as told to operators.

use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::workers::proof::{Finding, Proof};
use crate::{Scheduler, TaskId};

/// An attempt that was lost with its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// Its task.
    pub task: TaskId,
    /// Time from its start command until polls of the worker failed, or until the loss
    /// was found if none had failed. An attempt of an earlier leader is older than that.
    pub age: Duration,
    /// What shows the loss.
    pub proof: Proof,
}

impl Scheduler {
    /// Returns the attempts that were lost since the last call.
    pub fn take_losses(&mut self) -> Vec<LostAttempt> {
        std::mem::take(&mut self.losses)
    }

    /// Removes an attempt if there is proof that it can't run.
    pub(crate) fn remove_proven(&mut self, key: AttemptKey, proof: Option<Proof>, now: Instant) {
        let Some(proof) = proof else { return };
        if proof.finding().is_loss() {
            self.note_loss(key, &proof, now);
        }
        self.remove_attempt(key, proof, now);
    }

    /// Notes that an attempt is lost with its worker.
    fn note_loss(&mut self, key: AttemptKey, proof: &Proof, now: Instant) {
        if self.attempts[key].phase == Phase::Starting {
            // Its answer may come late or never.
            self.remember_start(key, now);
        }
        let attempt = &self.attempts[key];
        let until = self.workers[attempt.worker].unreachable_since.unwrap_or(now);
        let age = until.saturating_duration_since(attempt.started);
        let is_planned = matches!(proof.finding(), Finding::MachineCommanded(_));
        self.counts.lost += u64::from(!is_planned);
        self.losses.push(LostAttempt { task: attempt.task, age, proof: proof.clone() });
    }
}
