//! The jobs of one pool, with all decisions about them.
//!
//! Every change of a job's state goes through [`Shard::transition`], which checks
//! the transition and keeps lanes, workers and permits consistent with the state.
//! [`Shard::persist`] stages the change for the journal.

mod cancel;
mod commit;
mod effect;
mod fleet;
mod preempt;
mod relief;
mod report;
mod restore;
mod round;
mod submit;
mod tick;

pub use cancel::CancelOutcome;
pub use round::RoundReport;
pub use submit::{SubmitError, SubmitOutcome};

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::health::LaneHealth;
use crate::job::JobKey;
use crate::journal::Record;
use crate::lane::Lanes;
use crate::workers::{WorkerKey, Workers};
use crate::{
    Action, Attempt, Estimates, Job, JobState, Journal, Limits, Now, Resources, StageId, Task,
    WorkerIncarnation,
};
use effect::Effect;

/// The jobs of one pool, as managed by the pool's owner.
#[derive(Debug)]
pub struct Shard {
    limits: Limits,
    journal: Journal,
    jobs: SlotMap<JobKey, Job>,
    ids: HashMap<JobId, JobKey>,
    lanes: Lanes,
    workers: Workers,
    estimates: Estimates,
    lane_health: LaneHealth,
    /// Jobs that have a live attempt.
    live: BTreeSet<JobKey>,
    /// Jobs that fit no host, in the state `CannotRun`.
    parked: BTreeSet<JobKey>,
    /// Waiting jobs that currently fit no host, with the time when this was first
    /// seen.
    unplaceable: HashMap<JobKey, Instant>,
    /// Resources that the live jobs of each team hold.
    team_usage: HashMap<TeamId, Resources>,
    /// Finished jobs, oldest first.
    finished: VecDeque<JobKey>,
    /// Effects that wait until a change is durable, in the order of the changes.
    effects: VecDeque<(StageId, Effect)>,
    actions: Vec<Action>,
}

impl Shard {
    /// Returns a job that is open or retained.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.ids.get(&id).and_then(|&key| self.jobs.get(key))
    }

    /// Returns all open and retained jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the number of jobs that wait for a worker.
    pub fn waiting_jobs(&self) -> usize {
        self.lanes.waiting()
    }

    /// Returns the number of jobs that have not finished.
    pub fn open_jobs(&self) -> usize {
        self.lanes.waiting() + self.live.len() + self.parked.len()
    }

    /// Returns the number of permits that the live attempts of each team hold.
    pub fn permits(&self) -> BTreeMap<TeamId, Permits> {
        let mut permits: BTreeMap<TeamId, Permits> = BTreeMap::new();
        for job in self.live.iter().filter_map(|&key| self.jobs.get(key)) {
            *permits.entry(job.spec.team.clone()).or_default() += Permits(1);
        }
        permits
    }

    /// Returns the learned sizes and run times.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Takes the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Changes the state of a job. Returns `false`, and changes nothing, if there
    /// is no such transition.
    fn transition(&mut self, key: JobKey, to: JobState, now: Now) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let Ok(transition) = job.state.transition(to) else { return false };
        self.leave_state(key, transition.from, to);
        let Some(job) = self.jobs.get_mut(key) else { return false };
        job.state = to;
        job.state_since = now.mono;
        job.changed = now.wall;
        let (id, attempt) = (job.id, job.attempt);
        self.actions.push(Action::Transitioned { job: id, attempt, transition });
        self.enter_state(key, to);
        true
    }

    /// Removes a job from the collections of its old state, and releases its
    /// attempt if it is no longer live.
    fn leave_state(&mut self, key: JobKey, from: JobState, to: JobState) {
        if from.is_waiting() {
            self.lanes.remove(&self.jobs[key]);
            self.unplaceable.remove(&key);
        }
        if from.is_live() && !to.is_live() {
            self.release_attempt(key);
        }
        self.parked.remove(&key);
    }

    /// Adds a job to the collections of its new state.
    fn enter_state(&mut self, key: JobKey, to: JobState) {
        if to.is_waiting() {
            self.lanes.insert(key, &self.jobs[key]);
        }
        if to.is_live() {
            self.live.insert(key);
        }
        if to.is_final() {
            self.finished.push_back(key);
        }
        if to == JobState::CannotRun {
            self.parked.insert(key);
        }
    }

    /// Assigns a job to a worker and reserves resources for it there.
    fn assign(&mut self, key: JobKey, worker: WorkerKey, size: Resources) {
        let job = &mut self.jobs[key];
        job.worker = Some(worker);
        job.reserved = size;
        job.peak_usage = Resources::ZERO;
        job.throttle = None;
        job.no_checkpoint = false;
        self.workers.reserve(worker, key, &size, job.spec.class);
        let held = self.team_usage.entry(job.spec.team.clone()).or_default();
        *held = held.plus(&size);
    }

    /// Releases the resources and the permit of a job's attempt, which has ended.
    fn release_attempt(&mut self, key: JobKey) {
        self.live.remove(&key);
        let job = &mut self.jobs[key];
        let team = job.spec.team.clone();
        if let Some(worker) = job.worker.take() {
            self.workers.release(worker, key, &job.reserved, job.spec.class);
        }
        if let Some(held) = self.team_usage.get_mut(&team) {
            *held = held.minus(&job.reserved);
        }
        job.reserved = Resources::ZERO;
        self.actions.push(Action::PermitReleased { team });
    }

    /// Stages the durable state of a job. `effect` is carried out when the state is
    /// durable.
    fn persist(&mut self, key: JobKey, effect: Option<Effect>, now: Now) {
        let job = &self.jobs[key];
        let record = Record::Changed { job: job.id, durable: job.to_durable() };
        let state = job.state;
        // A change that can't be encoded has no effect: nothing is sent or shown
        // because of it. The limits on payload and checkpoint prevent this case.
        let Ok(serial) = self.journal.stage(record, now.mono) else { return };
        self.effects.push_back((serial, Effect::Publish(key, state)));
        self.effects.extend(effect.map(|effect| (serial, effect)));
    }

    /// Moves a job to a final state.
    fn finish(&mut self, key: JobKey, state: JobState, now: Now) {
        let forget = self.task(key).filter(|_| self.jobs[key].start_sent).map(Effect::Forget);
        if self.transition(key, state, now) {
            self.persist(key, forget, now);
        }
    }

    /// Queues a job for another attempt, from its checkpoint if it has one.
    ///
    /// An unresolved job that is not idempotent becomes `Unknown` instead, and a
    /// cancelled one `Cancelled`.
    fn requeue(&mut self, key: JobKey, now: Now) {
        let forget = self.task(key).filter(|_| self.jobs[key].start_sent).map(Effect::Forget);
        let job = &self.jobs[key];
        let to = match job.checkpoint {
            Some(_) => JobState::Stopped,
            None => JobState::Queued,
        };
        if job.unresolved && !job.spec.idempotent {
            return self.finish(key, JobState::Unknown, now);
        }
        if job.cancel_requested {
            return self.finish(key, JobState::Cancelled, now);
        }
        if self.transition(key, to, now) {
            self.jobs[key].start_sent = false;
            self.skip_unresolved_attempts(key);
            self.persist(key, forget, now);
        }
    }

    /// Handles an attempt that has ended with an unknown outcome, for instance because
    /// its worker was lost. An attempt whose start was not sent is certain not to have
    /// run, and does not count as a failure.
    fn handle_lost_attempt(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        if !job.start_sent {
            return self.requeue(key, now);
        }
        if !job.spec.idempotent {
            return self.finish(key, JobState::Unknown, now);
        }
        // A job that takes down its worker on every attempt must not be retried
        // forever. Twice as many lost attempts as failed ones are allowed.
        job.failures = job.failures.saturating_add(1);
        if job.failures >= self.limits.max_attempts.saturating_mul(2) {
            let cause = crate::FailureCause::Attempts;
            return self.finish(key, JobState::Failed { cause }, now);
        }
        self.requeue(key, now);
    }

    /// Returns the current attempt of a job, if it has a worker.
    fn task(&self, key: JobKey) -> Option<Task> {
        let job = self.jobs.get(key)?;
        Some(Task {
            instance: job.instance.clone()?,
            epoch: self.journal.epoch(),
            job: job.id,
            attempt: job.attempt,
            expires: job.expires,
        })
    }

    /// Finds a job by its current, live attempt on a worker.
    fn current(&self, instance: &WorkerIncarnation, id: JobId, attempt: Attempt) -> Option<JobKey> {
        let key = *self.ids.get(&id)?;
        let job = &self.jobs[key];
        let same = job.attempt == attempt && job.instance.as_ref() == Some(instance);
        (same && job.state.is_live()).then_some(key)
    }
}
