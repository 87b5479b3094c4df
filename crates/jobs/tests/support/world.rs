//! Simulated world: the owners of a pool, its workers, the store and the messages
//! between them.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::{
    Action, Attempt, Batch, CancelOutcome, Class, Commit, CommitOutcome, Durability, Heartbeat,
    Report, Resources, Shard, SubmitOutcome, WeightedPolicy, WorkerSpec, claim, recover,
};

use super::oracle::Oracle;
use super::store::FakeStore;
use super::worker::{FakeWorker, SentReport, task_in};
use super::{Time, member, name, spec, tight_limits};

const WORKERS: usize = 4;

/// Fault injected into a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Unreached,
    /// The call takes effect, and its answer is lost.
    AnswerLost,
    /// The call never takes effect, and its caller can't tell.
    RequestLost,
    /// The call takes effect some time after its caller gave up on it.
    DelayedEffect,
    /// The call takes effect, and its caller crashes.
    Crash,
}

/// The owner of the pool, or a previous owner that does not know that it lost the
/// pool.
pub(crate) struct Owner {
    pub(crate) shard: Shard,
    pub(crate) number: u64,
    /// Whether the head has to be read before the next batch.
    reading_head: bool,
    /// Permits that were taken and not released, by team.
    permits: BTreeMap<TeamId, u32>,
}

pub(crate) struct World {
    pub(crate) time: Time,
    pub(crate) pool: PoolId,
    pub(crate) store: FakeStore,
    pub(crate) owner: Owner,
    pub(crate) paused: Option<Owner>,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) oracle: Oracle,
    /// Batches that their owner gave up on and that may still take effect.
    delayed_batches: Vec<Batch>,
    /// Messages in transit to workers.
    messages: Vec<Action>,
    /// Reports in transit to the owner.
    reports: Vec<SentReport>,
    policy: WeightedPolicy,
}

impl World {
    pub(crate) fn new() -> World {
        let time = Time::new();
        let pool = name("wards");
        let mut store = FakeStore::default();
        let workers =
            (0..WORKERS).map(|at| FakeWorker::new(name(&format!("w{at}")), at % 2 == 0)).collect();
        let owner = take_over(&mut store, &pool, 1, &time);
        World {
            time,
            pool,
            store,
            owner,
            paused: None,
            workers,
            oracle: Oracle::default(),
            delayed_batches: Vec::new(),
            messages: Vec::new(),
            reports: Vec::new(),
            policy: WeightedPolicy::default(),
        }
    }

    pub(crate) fn submit(&mut self, number: u8, class: Class, idempotent: bool, millis: u32) {
        let id = JobId::new(u128::from(number) + 1);
        if self.oracle.idempotent.contains_key(&id) {
            return;
        }
        let now = self.time.now();
        let team = if number.is_multiple_of(2) { "dairy" } else { "bakery" };
        self.oracle.idempotent.insert(id, idempotent);
        match self.owner.shard.submit(id, spec(team, class, idempotent, millis), now) {
            Ok(submitted) => assert_eq!(submitted, SubmitOutcome::Staged),
            Err(_) => assert!(self.oracle.rejected.insert(id)),
        }
        self.handle_actions();
    }

    pub(crate) fn cancel(&mut self, numbers: &[u8]) {
        let ids: Vec<JobId> = numbers.iter().map(|&n| JobId::new(u128::from(n) + 1)).collect();
        let outcomes = self.owner.shard.cancel(&ids, self.time.now());
        for (id, outcome) in ids.iter().zip(outcomes) {
            let unknown = outcome == CancelOutcome::UnknownJob;
            let open =
                self.oracle.accepted.contains(id) && !self.oracle.final_states.contains_key(id);
            assert!(!(unknown && open), "{id:?} is lost");
        }
        self.handle_actions();
    }

    pub(crate) fn place(&mut self) {
        place(&mut self.owner, &mut self.policy, &self.time);
        self.handle_actions();
    }

    pub(crate) fn tick(&mut self, step: Duration) {
        self.time.advance(step);
        let now = self.time.now();
        self.workers.iter_mut().for_each(|worker| worker.expire_lease(now.mono));
        self.owner.shard.tick(now);
        self.handle_actions();
    }

    pub(crate) fn commit(&mut self, fault: Fault) {
        if self.owner.reading_head {
            return self.read_head(fault);
        }
        let now = self.time.now();
        let Some(batch) = self.owner.shard.next_batch(now).unwrap() else { return };
        let commit = match fault {
            Fault::Unreached => Commit::Unreached,
            Fault::RequestLost => Commit::Lost,
            Fault::DelayedEffect => {
                self.delayed_batches.push(batch.clone());
                Commit::Lost
            }
            Fault::None | Fault::AnswerLost | Fault::Crash => {
                let done = self.store.commit(&batch);
                let answer = done.map_or(Commit::Conflict, |revision| Commit::Done { revision });
                if fault == Fault::None { answer } else { Commit::Lost }
            }
        };
        if fault == Fault::Crash {
            return self.crash(false);
        }
        let outcome = self.owner.shard.handle_commit(batch.id, commit, now);
        self.owner.reading_head = outcome == CommitOutcome::ReadHead;
        self.handle_actions();
    }

    fn read_head(&mut self, fault: Fault) {
        if fault == Fault::Unreached {
            return;
        }
        let head = self.store.head(&self.pool);
        let outcome = self.owner.shard.handle_head(head.as_ref(), self.time.now()).unwrap();
        assert!(!matches!(outcome, CommitOutcome::Fenced(_)), "the owner was fenced");
        self.owner.reading_head = false;
        self.handle_actions();
    }

    /// Lets a call that its caller gave up on take effect, if its condition still
    /// holds.
    pub(crate) fn apply_delayed_batch(&mut self) {
        if let Some(batch) = self.delayed_batches.pop() {
            self.store.commit(&batch);
        }
    }

    /// Another member takes over the pool from an owner that has crashed or is
    /// paused.
    pub(crate) fn crash(&mut self, paused: bool) {
        let number = self.owner.number + 1;
        let next = take_over(&mut self.store, &self.pool, number, &self.time);
        let previous = std::mem::replace(&mut self.owner, next);
        self.paused = paused.then_some(previous);
        self.check_recovered();
        self.handle_actions();
    }

    /// Checks the states that the new owner shows right after its takeover.
    fn check_recovered(&mut self) {
        let shown = |job: &vg_jobs::Job| Some((job.id(), job.visible_state()?));
        let shown: Vec<_> = self.owner.shard.jobs().filter_map(shown).collect();
        for (job, state) in shown {
            let running = self.is_running(job);
            self.oracle.shown(job, state, running);
        }
    }

    /// The paused previous owner wakes up and continues as if it still owned the
    /// pool.
    pub(crate) fn wake_paused(&mut self) {
        let Some(mut previous) = self.paused.take() else { return };
        let now = self.time.now();
        previous.shard.tick(now);
        place(&mut previous, &mut self.policy, &self.time);
        if !previous.reading_head
            && let Some(batch) = previous.shard.next_batch(now).unwrap()
        {
            let done = self.store.commit(&batch);
            assert_eq!(done, None, "a fenced owner's batch took effect");
            previous.shard.handle_commit(batch.id, Commit::Conflict, now);
        }
        let head = self.store.head(&self.pool);
        previous.shard.handle_head(head.as_ref(), now).unwrap();
        for action in previous.shard.take_actions() {
            match action {
                Action::Unconfirmed { jobs } => self.check_unconfirmed(jobs),
                Action::Accepted { job } => panic!("a fenced owner acknowledged {job:?}"),
                Action::Start(start) => panic!("a fenced owner started {start:?}"),
                other if task_in(&other).is_some() => self.messages.push(other),
                _ => {}
            }
        }
    }

    /// Checks what a fenced owner says about its unconfirmed jobs against what the new
    /// owner recovered.
    fn check_unconfirmed(&mut self, jobs: Vec<(JobId, Durability)>) {
        for (job, durability) in jobs {
            let known =
                self.owner.shard.job(job).is_some() || self.oracle.final_states.contains_key(&job);
            match durability {
                Durability::Durable => assert!(known, "{job:?} was reported as durable"),
                Durability::NotWritten => {
                    assert!(!known, "{job:?} was reported as not written");
                    self.oracle.rejected.insert(job);
                }
                Durability::Unknown => {}
            }
        }
    }

    pub(crate) fn heartbeat(&mut self, at: usize) {
        let now = self.time.now();
        let worker = &mut self.workers[at % WORKERS];
        worker.expire_lease(now.mono);
        worker.lease_end = Some(now.mono + tight_limits().worker_lease);
        let heartbeat = Heartbeat {
            host: worker.host.clone(),
            incarnation: worker.incarnation,
            sent: now.mono,
            usage: None,
        };
        self.owner.shard.heartbeat(heartbeat, now);
        self.handle_actions();
    }

    pub(crate) fn restart(&mut self, at: usize) {
        self.workers[at % WORKERS].restart();
    }

    /// Delivers a message to its worker. With `duplicate` a copy stays in transit.
    pub(crate) fn deliver(&mut self, at: usize, duplicate: bool, has_capacity: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = at % self.messages.len();
        let action = self.messages[at].clone();
        // A start is written to a connection only once.
        if matches!(action, Action::Start(_)) || !duplicate {
            self.messages.remove(at);
        }
        let Some(task) = task_in(&action).cloned() else { return };
        let now = self.time.now();
        let worker = self.workers.iter_mut().find(|worker| worker.host == task.instance.worker);
        let Some(worker) = worker else { return };
        let answer = worker.receive(&action, has_capacity, now, &mut self.oracle);
        self.reports.extend(answer);
    }

    pub(crate) fn drop_message(&mut self, at: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(at % self.messages.len());
        }
    }

    /// Lets a task that runs on a worker exit.
    pub(crate) fn finish(&mut self, at: usize, exit: i32) {
        let worker = &mut self.workers[at % WORKERS];
        let running = worker.running();
        let Some(&key) = running.get(at / WORKERS % running.len().max(1)) else { return };
        self.oracle.exited(key.0, exit);
        worker.finish(key, Report::Exited { exit });
        self.reports.extend(worker.status_report(key));
    }

    /// Delivers a report to the owner. With `duplicate` a copy stays in transit.
    pub(crate) fn report(&mut self, at: usize, duplicate: bool) {
        if self.reports.is_empty() {
            return;
        }
        let at = at % self.reports.len();
        let (instance, job, attempt, report) = self.reports[at].clone();
        if !duplicate {
            self.reports.remove(at);
        }
        let now = self.time.now();
        let _ = self.owner.shard.report(&instance, job, attempt, report, now);
        self.handle_actions();
    }

    pub(crate) fn drop_report(&mut self, at: usize) {
        if !self.reports.is_empty() {
            self.reports.remove(at % self.reports.len());
        }
    }

    fn handle_actions(&mut self) {
        for action in self.owner.shard.take_actions() {
            match &action {
                Action::Accepted { job } => {
                    assert!(self.stored_attempt(*job).is_some(), "{job:?} is not durable");
                    self.oracle.accepted.insert(*job);
                }
                Action::StateDurable { job, state } => {
                    let running = self.is_running(*job);
                    self.oracle.shown(*job, *state, running);
                }
                Action::Start(start) => {
                    let stored = self.stored_attempt(start.task.job);
                    assert_eq!(
                        stored,
                        Some(start.task.attempt),
                        "a start was sent before its record was durable"
                    );
                }
                Action::PermitReleased { team } => {
                    let permits =
                        self.owner.permits.get_mut(team).expect("a permit was released twice");
                    *permits = permits.checked_sub(1).expect("a permit was released twice");
                }
                Action::Fenced => panic!("the owner was fenced"),
                _ => {}
            }
            if task_in(&action).is_some() {
                self.messages.push(action);
            }
        }
        self.check_invariants();
    }

    /// Returns the last attempt of a job that the next owner would read from the
    /// store.
    fn stored_attempt(&self, job: JobId) -> Option<Attempt> {
        let values = self.store.range();
        let recovered = recover(&self.pool, &member(self.owner.number), &values).unwrap();
        assert_eq!(recovered.events, []);
        let found = recovered.jobs.iter().find(|each| each.job == job);
        found.map(|found| found.durable.attempt)
    }

    fn is_running(&self, job: JobId) -> bool {
        self.running().contains(&job)
    }

    fn running(&self) -> Vec<JobId> {
        let now = self.time.now().mono;
        let leased = self.workers.iter().filter(|worker| worker.is_leased(now));
        leased.flat_map(|worker| worker.running()).map(|(job, _)| job).collect()
    }

    /// Checks that the owner knows every running task, that no job runs twice, and that
    /// each taken permit belongs to a live attempt.
    fn check_invariants(&self) {
        let mut running = self.running();
        for job in &running {
            let live = self.owner.shard.job(*job).is_some_and(|job| job.state().is_live());
            assert!(live, "{job:?} runs and its owner does not know it");
        }
        running.sort_unstable();
        let all = running.len();
        running.dedup();
        assert_eq!(running.len(), all, "a job has two live attempts");
        let permits = self.owner.shard.permits();
        for (team, &held) in &self.owner.permits {
            assert_eq!(
                permits.get(team).map_or(0, |permits| permits.get()),
                held,
                "permits of {team}"
            );
        }
    }

    /// Stops all faults, lets all jobs finish, and checks that none is lost.
    pub(crate) fn drain(&mut self) {
        self.delayed_batches.clear();
        for _ in 0..400 {
            (0..WORKERS).for_each(|at| self.heartbeat(at));
            self.tick(Duration::from_millis(700));
            self.place();
            self.commit(Fault::None);
            (0..self.messages.len()).for_each(|_| self.deliver(0, false, true));
            (0..WORKERS * 4).for_each(|at| self.finish(at, 0));
            (0..self.reports.len()).for_each(|_| self.report(0, false));
            if self.owner.shard.open_jobs() == 0 && self.owner.shard.journal().staged_bytes() == 0 {
                break;
            }
        }
        for job in &self.oracle.accepted {
            assert!(self.oracle.final_states.contains_key(job), "{job:?} never ended");
        }
        assert_eq!(self.owner.shard.open_jobs(), 0, "jobs stay open");
        let held: u32 = self.owner.permits.values().sum();
        assert_eq!(held, 0, "permits stay taken");
    }
}

fn place(owner: &mut Owner, policy: &mut WeightedPolicy, time: &Time) {
    let permits = &mut owner.permits;
    let may_start = |team: &TeamId| {
        *permits.entry(team.clone()).or_default() += 1;
        true
    };
    owner.shard.place(policy, may_start, time.now());
}

fn take_over(store: &mut FakeStore, pool: &PoolId, number: u64, time: &Time) -> Owner {
    let batch = claim(pool, &member(number), store.head(pool).as_ref()).unwrap();
    store.commit(&batch).unwrap();
    let recovered = recover(pool, &member(number), &store.range()).unwrap();
    assert_eq!(recovered.events, []);
    let shard = Shard::restore(recovered, tight_limits(), time.now());
    let permits =
        shard.permits().into_iter().map(|(team, permits)| (team, permits.get())).collect();
    let mut owner = Owner { shard, number, reading_head: false, permits };
    owner.shard.set_workers(&hosts(), time.now());
    owner
}

fn hosts() -> Vec<WorkerSpec> {
    let host = |at: usize| WorkerSpec {
        host: name(&format!("w{at}")),
        rack: name(&format!("r{}", at / 2)),
        zone: name("z1"),
        capacity: Resources::new(4000, 4000 << 20, 0),
        leaving: false,
    };
    (0..WORKERS).map(host).collect()
}
