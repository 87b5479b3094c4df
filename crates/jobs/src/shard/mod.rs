//! The jobs of one pool, decided in one place.
//!
//! Every change of a job goes through [`Shard::step`], which checks the step
//! and keeps lanes, workers and units in line with the state, and through
//! [`Shard::persist`], which stages the change for the journal.

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
    WorkerInstance,
};
use effect::Effect;

/// The jobs of one pool, as its owner decides them.
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
    /// Live attempts, by key.
    live: BTreeSet<JobKey>,
    /// Jobs that fit no host.
    parked: BTreeSet<JobKey>,
    /// Waiting jobs that fit no host of late, with the time that was seen.
    misfits: HashMap<JobKey, Instant>,
    /// What each team's live jobs hold.
    held: HashMap<TeamId, Resources>,
    /// Ended jobs, oldest first.
    ended: VecDeque<JobKey>,
    /// What waits for a change to become durable.
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

    /// Returns how many jobs wait for a worker.
    pub fn waiting_jobs(&self) -> usize {
        self.lanes.waiting()
    }

    /// Returns how many jobs are not ended.
    pub fn open_jobs(&self) -> usize {
        self.lanes.waiting() + self.live.len() + self.parked.len()
    }

    /// Returns the units that live attempts of each team hold.
    pub fn permits(&self) -> BTreeMap<TeamId, Units> {
        let mut units: BTreeMap<TeamId, Units> = BTreeMap::new();
        for job in self.live.iter().filter_map(|&key| self.jobs.get(key)) {
            *units.entry(job.spec.team.clone()).or_default() += Units(1);
        }
        units
    }

    /// Returns the learned sizes and run times.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Takes what is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a job a step further. Gives `false`, and changes nothing, when
    /// there is no such step.
    fn step(&mut self, key: JobKey, to: JobState, now: Now) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let Ok(transition) = job.state.transition(to) else { return false };
        self.leave(key, transition.from, to);
        let Some(job) = self.jobs.get_mut(key) else { return false };
        job.state = to;
        job.since = now.mono;
        job.changed = now.wall;
        let (id, attempt) = (job.id, job.attempt);
        self.actions.push(Action::Transitioned { job: id, attempt, transition });
        self.enter(key, to);
        true
    }

    fn leave(&mut self, key: JobKey, from: JobState, to: JobState) {
        if from.is_waiting() {
            self.lanes.remove(&self.jobs[key]);
            self.misfits.remove(&key);
        }
        if from.is_live() && !to.is_live() {
            self.free(key);
        }
        self.parked.remove(&key);
    }

    fn enter(&mut self, key: JobKey, to: JobState) {
        if to.is_waiting() {
            self.lanes.insert(key, &self.jobs[key]);
        }
        if to.is_live() {
            self.live.insert(key);
        }
        if to.is_final() {
            self.ended.push_back(key);
        }
        if to == JobState::CannotRun {
            self.parked.insert(key);
        }
    }

    /// Gives room on a worker to a job.
    fn assign(&mut self, key: JobKey, worker: WorkerKey, size: Resources) {
        let job = &mut self.jobs[key];
        job.worker = Some(worker);
        job.held = size;
        job.peak = Resources::ZERO;
        job.throttle = None;
        job.no_checkpoint = false;
        self.workers.hold(worker, key, &size, job.spec.class);
        let held = self.held.entry(job.spec.team.clone()).or_default();
        *held = held.plus(&size);
    }

    /// Takes back the room and the unit of a job's attempt, which is over.
    fn free(&mut self, key: JobKey) {
        self.live.remove(&key);
        let job = &mut self.jobs[key];
        let team = job.spec.team.clone();
        if let Some(worker) = job.worker.take() {
            self.workers.release(worker, key, &job.held, job.spec.class);
        }
        if let Some(held) = self.held.get_mut(&team) {
            *held = held.minus(&job.held);
        }
        job.held = Resources::ZERO;
        self.actions.push(Action::PermitReleased { team });
    }

    /// Stages a job's durable state; `effect` follows when it is durable.
    fn persist(&mut self, key: JobKey, effect: Option<Effect>, now: Now) {
        let job = &self.jobs[key];
        let record = Record::Changed { job: job.id, durable: job.durable() };
        let state = job.state;
        // A change that can't be encoded has no effect: nothing is sent or
        // shown on its account. Bounds on payload and checkpoint prevent it.
        let Ok(serial) = self.journal.stage(record, now.mono) else { return };
        self.effects.push_back((serial, Effect::Show(key, state)));
        self.effects.extend(effect.map(|effect| (serial, effect)));
    }

    /// Ends a job for good.
    fn end(&mut self, key: JobKey, state: JobState, now: Now) {
        let release = self.task(key).filter(|_| self.jobs[key].sent).map(Effect::Release);
        if self.step(key, state, now) {
            self.persist(key, release, now);
        }
    }

    /// Lets a job wait for another attempt, from its checkpoint if it has one.
    fn requeue(&mut self, key: JobKey, now: Now) {
        let release = self.task(key).filter(|_| self.jobs[key].sent).map(Effect::Release);
        let job = &self.jobs[key];
        let to = match job.checkpoint {
            Some(_) => JobState::Stopped,
            None => JobState::Queued,
        };
        if job.doubt && !job.spec.idempotent {
            return self.end(key, JobState::Unknown, now);
        }
        if job.cancel {
            return self.end(key, JobState::Cancelled, now);
        }
        if self.step(key, to, now) {
            self.jobs[key].sent = false;
            self.settle_doubt(key);
            self.persist(key, release, now);
        }
    }

    /// Takes in that an attempt is over and nobody can say how it ended.
    fn lose(&mut self, key: JobKey, now: Now) {
        let job = &mut self.jobs[key];
        if !job.sent {
            return self.requeue(key, now);
        }
        if !job.spec.idempotent {
            return self.end(key, JobState::Unknown, now);
        }
        // A job that takes its worker down each time must stop at some point.
        job.failures = job.failures.saturating_add(1);
        if job.failures >= self.limits.max_attempts.saturating_mul(2) {
            let cause = crate::FailureCause::Attempts;
            return self.end(key, JobState::Failed { cause }, now);
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

    /// Finds a job by its current attempt at a worker.
    fn current(&self, instance: &WorkerInstance, id: JobId, attempt: Attempt) -> Option<JobKey> {
        let key = *self.ids.get(&id)?;
        let job = &self.jobs[key];
        let same = job.attempt == attempt && job.instance.as_ref() == Some(instance);
        (same && job.state.is_live()).then_some(key)
    }
}
