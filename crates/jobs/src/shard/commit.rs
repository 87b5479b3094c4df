//! Commits the journal's batches, and carries out the effects that follow when they
//! are durable.

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::{
    Action, Attempt, Batch, BatchId, Commit, CommitOutcome, Durability, JobState, JournalError,
    Now, StageId, Start, Stored,
};

impl Shard {
    /// Returns a batch to commit now, or `None` if none is due or one is pending
    /// already.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal's head can't be encoded.
    pub fn next_batch(&mut self, now: Now) -> Result<Option<Batch>, JournalError> {
        self.journal.next_batch(&self.limits, now.mono)
    }

    /// Handles the store's answer to a batch.
    ///
    /// After [`CommitOutcome::ReadHead`], the head has to be read and passed to
    /// [`Shard::handle_head`].
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit, now: Now) -> CommitOutcome {
        let outcome = self.journal.handle_commit(id, commit, now.mono);
        self.apply_outcome(outcome, now);
        outcome
    }

    /// Handles the head of the journal, as read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the head can't be decoded. It should be read again
    /// later.
    pub fn handle_head(
        &mut self,
        found: Option<&Stored>,
        now: Now,
    ) -> Result<CommitOutcome, JournalError> {
        let outcome = self.journal.handle_head(found, now.mono)?;
        self.apply_outcome(outcome, now);
        Ok(outcome)
    }

    fn apply_outcome(&mut self, outcome: CommitOutcome, now: Now) {
        match outcome {
            CommitOutcome::Durable(through) => self.run_effects(through, now),
            CommitOutcome::Fenced(durability) => self.abandon_pool(durability),
            CommitOutcome::Retry | CommitOutcome::ReadHead | CommitOutcome::Stale => {}
        }
    }

    /// Carries out the effects of all changes up to `through`, in order.
    fn run_effects(&mut self, through: StageId, now: Now) {
        while let Some((serial, effect)) = self.effects.pop_front() {
            if serial > through {
                self.effects.push_front((serial, effect));
                return;
            }
            self.apply(effect, now);
        }
    }

    fn apply(&mut self, effect: Effect, now: Now) {
        match effect {
            Effect::Accept(key) => self.accept(key),
            Effect::Publish(key, state) => self.publish_state(key, state),
            Effect::Start(key, attempt) => self.send_start(key, attempt, now),
            Effect::Stop(key, attempt) => self.send_stop(key, attempt, now),
            Effect::Cancel(job) => self.actions.push(Action::CancelAccepted { job }),
            Effect::Forget(task) => self.actions.push(Action::Forget(task)),
        }
    }

    fn accept(&mut self, key: JobKey) {
        self.publish_state(key, JobState::Queued);
        if let Some(job) = self.jobs.get(key) {
            self.actions.push(Action::Accepted { job: job.id });
        }
    }

    fn publish_state(&mut self, key: JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.last_durable = Some(state);
        let id = job.id;
        self.actions.push(Action::StateDurable { job: id, state });
    }

    /// Sends the start of an attempt whose placement is durable now, if the job is
    /// still placed with this attempt.
    fn send_start(&mut self, key: JobKey, attempt: Attempt, now: Now) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.attempt != attempt || job.state != JobState::Placed {
            return;
        }
        // The store was slow, and a worker would reject the start by now.
        if now.wall >= job.expires {
            return self.requeue(key, now);
        }
        let (spec, planned, resume) = (job.spec.clone(), job.reserved, job.checkpoint.clone());
        let Some(task) = self.task(key) else { return };
        let start = Start { task, spec, planned, resume };
        self.transition(key, JobState::Starting, now);
        let job = &mut self.jobs[key];
        job.start_sent = true;
        job.last_message = now.mono;
        self.actions.push(Action::Start(start));
    }

    /// Sends the stop of an attempt, if it is still the job's live attempt.
    fn send_stop(&mut self, key: JobKey, attempt: Attempt, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.attempt != attempt || !job.state.is_live() {
            return;
        }
        job.last_message = now.mono;
        self.actions.extend(self.task(key).map(Action::Stop));
    }

    /// Abandons the pool: nothing more is sent, and the submitters of jobs that
    /// were not confirmed as durable are told what is known about them.
    fn abandon_pool(&mut self, durability: Durability) {
        let (in_batch, waiting) = self.journal.unconfirmed_jobs();
        let in_batch = in_batch.into_iter().map(|job| (job, durability));
        let waiting = waiting.into_iter().map(|job| (job, Durability::NotWritten));
        let jobs = in_batch.chain(waiting).collect();
        self.effects.clear();
        self.actions.push(Action::Unconfirmed { jobs });
        self.actions.push(Action::Fenced);
    }
}
