//! The journal's batches, and what follows when they are durable.

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::{
    Action, Attempt, Batch, BatchId, Commit, CommitOutcome, Durability, JobState, JournalError,
    Now, StageId, Start, Stored,
};

impl Shard {
    /// Returns a batch to commit now, if one is due and none is under way.
    ///
    /// # Errors
    ///
    /// When the journal's head can't be encoded.
    pub fn next_batch(&mut self, now: Now) -> Result<Option<Batch>, JournalError> {
        self.journal.next_batch(&self.limits, now.mono)
    }

    /// Takes in the store's answer to a batch.
    ///
    /// After [`CommitOutcome::ReadHead`], read the head and hand it to
    /// [`Shard::handle_head`].
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit, now: Now) -> CommitOutcome {
        let settlement = self.journal.handle_commit(id, commit, now.mono);
        self.settle(settlement, now);
        settlement
    }

    /// Takes in the head of the journal as read from the store.
    ///
    /// # Errors
    ///
    /// When it can't be read; read it again later.
    pub fn handle_head(
        &mut self,
        found: Option<&Stored>,
        now: Now,
    ) -> Result<CommitOutcome, JournalError> {
        let settlement = self.journal.handle_head(found, now.mono)?;
        self.settle(settlement, now);
        Ok(settlement)
    }

    fn settle(&mut self, settlement: CommitOutcome, now: Now) {
        match settlement {
            CommitOutcome::Durable(through) => self.release_effects(through, now),
            CommitOutcome::Fenced(fate) => self.withdraw(fate),
            CommitOutcome::Retry | CommitOutcome::ReadHead | CommitOutcome::Stale => {}
        }
    }

    fn release_effects(&mut self, through: StageId, now: Now) {
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
            Effect::Show(key, state) => self.show(key, state),
            Effect::Start(key, attempt) => self.send_start(key, attempt, now),
            Effect::Stop(key, attempt) => self.send_stop(key, attempt, now),
            Effect::Cancel(job) => self.actions.push(Action::CancelAccepted { job }),
            Effect::Release(task) => self.actions.push(Action::Forget(task)),
        }
    }

    fn accept(&mut self, key: JobKey) {
        self.show(key, JobState::Queued);
        if let Some(job) = self.jobs.get(key) {
            self.actions.push(Action::Accepted { job: job.id });
        }
    }

    fn show(&mut self, key: JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.shown = Some(state);
        let id = job.id;
        self.actions.push(Action::StateDurable { job: id, state });
    }

    /// Sends the start of an attempt that is durable now, if it still stands.
    fn send_start(&mut self, key: JobKey, attempt: Attempt, now: Now) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.attempt != attempt || job.state != JobState::Placed {
            return;
        }
        // The store was slow: a worker would refuse the start by now.
        if now.wall >= job.expires {
            return self.requeue(key, now);
        }
        let (spec, planned, resume) = (job.spec.clone(), job.held, job.checkpoint.clone());
        let Some(task) = self.task(key) else { return };
        let start = Start { task, spec, planned, resume };
        self.step(key, JobState::Starting, now);
        let job = &mut self.jobs[key];
        job.sent = true;
        job.heard = now.mono;
        self.actions.push(Action::Start(start));
    }

    fn send_stop(&mut self, key: JobKey, attempt: Attempt, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.attempt != attempt || !job.state.is_live() {
            return;
        }
        job.heard = now.mono;
        self.actions.extend(self.task(key).map(Action::Stop));
    }

    /// Gives up the pool: nothing more is sent, and what was not proved
    /// durable is answered by what is known.
    fn withdraw(&mut self, fate: Durability) {
        let (flown, waiting) = self.journal.unproved();
        let flown = flown.into_iter().map(|job| (job, fate));
        let waiting = waiting.into_iter().map(|job| (job, Durability::NotWritten));
        let jobs = flown.chain(waiting).collect();
        self.effects.clear();
        self.actions.push(Action::Unconfirmed { jobs });
        self.actions.push(Action::Fenced);
    }
}
