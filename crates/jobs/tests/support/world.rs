//! Owners, workers, the store and the messages between them.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_jobs::{
    Action, Attempt, Batch, CancelOutcome, Class, Commit, CommitOutcome, Durability, Heartbeat,
    Report, Resources, Shard, SubmitOutcome, WeightedPolicy, WorkerSpec, claim, recover,
};

use super::oracle::Oracle;
use super::store::FakeStore;
use super::worker::{FakeWorker, Sent, task_of};
use super::{Time, member, name, spec, tight_limits};

const WORKERS: usize = 4;

/// What becomes of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Unreached,
    /// It takes effect, its answer is lost.
    LostAfter,
    /// It never takes effect, and nobody can tell.
    LostBefore,
    /// It takes effect some time after its caller gave up.
    Late,
    /// It takes effect, and its caller dies.
    Crash,
}

/// An owner, or one that was and does not know it.
pub(crate) struct Owner {
    pub(crate) shard: Shard,
    pub(crate) number: u64,
    reading: bool,
    units: BTreeMap<TeamId, u32>,
}

pub(crate) struct World {
    pub(crate) time: Time,
    pub(crate) pool: PoolId,
    pub(crate) store: FakeStore,
    pub(crate) owner: Owner,
    pub(crate) paused: Option<Owner>,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) oracle: Oracle,
    late: Vec<Batch>,
    messages: Vec<Action>,
    reports: Vec<Sent>,
    order: WeightedPolicy,
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
            late: Vec::new(),
            messages: Vec::new(),
            reports: Vec::new(),
            order: WeightedPolicy::default(),
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
            Err(_) => assert!(self.oracle.refused.insert(id)),
        }
        self.act();
    }

    pub(crate) fn cancel(&mut self, numbers: &[u8]) {
        let ids: Vec<JobId> = numbers.iter().map(|&n| JobId::new(u128::from(n) + 1)).collect();
        let outcomes = self.owner.shard.cancel(&ids, self.time.now());
        for (id, outcome) in ids.iter().zip(outcomes) {
            let gone = outcome == CancelOutcome::UnknownJob;
            let open = self.oracle.accepted.contains(id) && !self.oracle.ends.contains_key(id);
            assert!(!(gone && open), "{id:?} is lost");
        }
        self.act();
    }

    pub(crate) fn place(&mut self) {
        place(&mut self.owner, &mut self.order, &self.time);
        self.act();
    }

    pub(crate) fn tick(&mut self, step: Duration) {
        self.time.advance(step);
        let now = self.time.now();
        self.workers.iter_mut().for_each(|worker| worker.lapse(now.mono));
        self.owner.shard.tick(now);
        self.act();
    }

    pub(crate) fn commit(&mut self, fault: Fault) {
        if self.owner.reading {
            return self.read_head(fault);
        }
        let now = self.time.now();
        let Some(batch) = self.owner.shard.next_batch(now).unwrap() else { return };
        let lost = match fault {
            Fault::Unreached => Commit::Unreached,
            Fault::LostBefore => Commit::Lost,
            Fault::Late => {
                self.late.push(batch.clone());
                Commit::Lost
            }
            Fault::None | Fault::LostAfter | Fault::Crash => {
                let done = self.store.commit(&batch);
                let said = done.map_or(Commit::Conflict, |revision| Commit::Done { revision });
                if fault == Fault::None { said } else { Commit::Lost }
            }
        };
        if fault == Fault::Crash {
            return self.crash(false);
        }
        let settlement = self.owner.shard.handle_commit(batch.id, lost, now);
        self.owner.reading = settlement == CommitOutcome::ReadHead;
        self.act();
    }

    fn read_head(&mut self, fault: Fault) {
        if fault == Fault::Unreached {
            return;
        }
        let head = self.store.head(&self.pool);
        let settlement = self.owner.shard.handle_head(head.as_ref(), self.time.now()).unwrap();
        assert!(!matches!(settlement, CommitOutcome::Fenced(_)), "the owner was fenced");
        self.owner.reading = false;
        self.act();
    }

    /// Lets a call that its caller gave up on take effect, if it still can.
    pub(crate) fn late_commit(&mut self) {
        if let Some(batch) = self.late.pop() {
            self.store.commit(&batch);
        }
    }

    /// Another member takes the pool over from an owner that is dead or paused.
    pub(crate) fn crash(&mut self, paused: bool) {
        let number = self.owner.number + 1;
        let next = take_over(&mut self.store, &self.pool, number, &self.time);
        let former = std::mem::replace(&mut self.owner, next);
        self.paused = paused.then_some(former);
        self.show_recovered();
        self.act();
    }

    fn show_recovered(&mut self) {
        let shown = |job: &vg_jobs::Job| Some((job.id(), job.visible_state()?));
        let shown: Vec<_> = self.owner.shard.jobs().filter_map(shown).collect();
        for (job, state) in shown {
            let running = self.is_running(job);
            self.oracle.shown(job, state, running);
        }
    }

    /// The owner before wakes up and goes on as if it were the owner.
    pub(crate) fn wake(&mut self) {
        let Some(mut former) = self.paused.take() else { return };
        let now = self.time.now();
        former.shard.tick(now);
        place(&mut former, &mut self.order, &self.time);
        if !former.reading
            && let Some(batch) = former.shard.next_batch(now).unwrap()
        {
            let done = self.store.commit(&batch);
            assert_eq!(done, None, "a fenced owner's batch took effect");
            former.shard.handle_commit(batch.id, Commit::Conflict, now);
        }
        let head = self.store.head(&self.pool);
        former.shard.handle_head(head.as_ref(), now).unwrap();
        for action in former.shard.take_actions() {
            match action {
                Action::Unconfirmed { jobs } => self.withdrawn(jobs),
                Action::Accepted { job } => panic!("a fenced owner acknowledged {job:?}"),
                Action::Start(start) => panic!("a fenced owner started {start:?}"),
                other if task_of(&other).is_some() => self.messages.push(other),
                _ => {}
            }
        }
    }

    fn withdrawn(&mut self, jobs: Vec<(JobId, Durability)>) {
        for (job, fate) in jobs {
            let known = self.owner.shard.job(job).is_some() || self.oracle.ends.contains_key(&job);
            match fate {
                Durability::Durable => assert!(known, "{job:?} was said to be durable"),
                Durability::NotWritten => {
                    assert!(!known, "{job:?} was said to be not written");
                    self.oracle.refused.insert(job);
                }
                Durability::Unknown => {}
            }
        }
    }

    pub(crate) fn heartbeat(&mut self, at: usize) {
        let now = self.time.now();
        let worker = &mut self.workers[at % WORKERS];
        worker.lapse(now.mono);
        worker.lease = Some(now.mono + tight_limits().worker_lease);
        let heartbeat = Heartbeat {
            host: worker.host.clone(),
            incarnation: worker.incarnation,
            sent: now.mono,
            usage: None,
        };
        self.owner.shard.heartbeat(heartbeat, now);
        self.act();
    }

    pub(crate) fn restart(&mut self, at: usize) {
        self.workers[at % WORKERS].restart();
    }

    /// Brings a message to its worker; a copy may stay under way.
    pub(crate) fn deliver(&mut self, at: usize, keep: bool, can: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = at % self.messages.len();
        let action = self.messages[at].clone();
        // A start is written to a connection once.
        if matches!(action, Action::Start(_)) || !keep {
            self.messages.remove(at);
        }
        let Some(task) = task_of(&action).cloned() else { return };
        let now = self.time.now();
        let worker = self.workers.iter_mut().find(|worker| worker.host == task.instance.worker);
        let Some(worker) = worker else { return };
        let answer = worker.receive(&action, can, now, &mut self.oracle);
        self.reports.extend(answer);
    }

    pub(crate) fn drop_message(&mut self, at: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(at % self.messages.len());
        }
    }

    /// Ends a task that runs on a worker.
    pub(crate) fn finish(&mut self, at: usize, exit: i32) {
        let worker = &mut self.workers[at % WORKERS];
        let running = worker.running();
        let Some(&key) = running.get(at / WORKERS % running.len().max(1)) else { return };
        self.oracle.exited(key.0, exit);
        worker.finish(key, Report::Exited { exit });
        self.reports.extend(worker.word(key));
    }

    /// Brings a report to the owner; a copy may stay under way.
    pub(crate) fn report(&mut self, at: usize, keep: bool) {
        if self.reports.is_empty() {
            return;
        }
        let at = at % self.reports.len();
        let (instance, job, attempt, report) = self.reports[at].clone();
        if !keep {
            self.reports.remove(at);
        }
        let now = self.time.now();
        let _ = self.owner.shard.report(&instance, job, attempt, report, now);
        self.act();
    }

    pub(crate) fn drop_report(&mut self, at: usize) {
        if !self.reports.is_empty() {
            self.reports.remove(at % self.reports.len());
        }
    }

    fn act(&mut self) {
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
                    assert_eq!(stored, Some(start.task.attempt), "a start came before its record");
                }
                Action::PermitReleased { team } => {
                    let units = self.owner.units.get_mut(team).expect("a unit came back twice");
                    *units = units.checked_sub(1).expect("a unit came back twice");
                }
                Action::Fenced => panic!("the owner was fenced"),
                _ => {}
            }
            if task_of(&action).is_some() {
                self.messages.push(action);
            }
        }
        self.check();
    }

    /// Reads the store as the next owner would.
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

    fn check(&self) {
        let mut running = self.running();
        for job in &running {
            let live = self.owner.shard.job(*job).is_some_and(|job| job.state().is_live());
            assert!(live, "{job:?} runs and its owner does not know");
        }
        running.sort_unstable();
        let all = running.len();
        running.dedup();
        assert_eq!(running.len(), all, "a job has two live attempts");
        let units = self.owner.shard.permits();
        for (team, &held) in &self.owner.units {
            assert_eq!(units.get(team).map_or(0, |units| units.get()), held, "units of {team}");
        }
    }

    /// Ends all faults, lets all work end, and checks that none is lost.
    pub(crate) fn settle(&mut self) {
        self.late.clear();
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
            assert!(self.oracle.ends.contains_key(job), "{job:?} never ended");
        }
        assert_eq!(self.owner.shard.open_jobs(), 0, "jobs stay open");
        let held: u32 = self.owner.units.values().sum();
        assert_eq!(held, 0, "units stay taken");
    }
}

fn place(owner: &mut Owner, order: &mut WeightedPolicy, time: &Time) {
    let units = &mut owner.units;
    let may_start = |team: &TeamId| {
        *units.entry(team.clone()).or_default() += 1;
        true
    };
    owner.shard.place(order, may_start, time.now());
}

fn take_over(store: &mut FakeStore, pool: &PoolId, number: u64, time: &Time) -> Owner {
    let batch = claim(pool, &member(number), store.head(pool).as_ref()).unwrap();
    store.commit(&batch).unwrap();
    let recovered = recover(pool, &member(number), &store.range()).unwrap();
    assert_eq!(recovered.events, []);
    let shard = Shard::restore(recovered, tight_limits(), time.now());
    let units = shard.permits().into_iter().map(|(team, units)| (team, units.get())).collect();
    let mut owner = Owner { shard, number, reading: false, units };
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
