//! One shard with a store that always answers and workers that run what they are
//! sent.

use vg_base::prelude::*;
use vg_jobs::{
    Action, Attempt, Commit, Heartbeat, Job, JobSpec, Limits, Report, Resources, RoundReport,
    Shard, Start, WeightedPolicy, WorkerSpec, claim, recover,
};

use super::store::FakeStore;
use super::{Time, member, name, tight_limits};

pub(crate) struct Bench {
    pub(crate) time: Time,
    pub(crate) store: FakeStore,
    pub(crate) shard: Shard,
    pub(crate) policy: WeightedPolicy,
    pub(crate) hosts: Vec<WorkerSpec>,
    pub(crate) actions: Vec<Action>,
    pool: PoolId,
    owner: u64,
    limits: Limits,
}

pub(crate) fn host(at: usize, total: Resources) -> WorkerSpec {
    WorkerSpec {
        host: name(&format!("w{at}")),
        rack: name(&format!("r{}", at / 4)),
        zone: name(&format!("z{}", at / 8)),
        capacity: total,
        leaving: false,
    }
}

pub(crate) fn job(number: u128) -> JobId {
    JobId::new(number)
}

impl Bench {
    pub(crate) fn new(hosts: Vec<WorkerSpec>) -> Bench {
        Bench::with_limits(hosts, tight_limits())
    }

    pub(crate) fn with_limits(hosts: Vec<WorkerSpec>, limits: Limits) -> Bench {
        let time = Time::new();
        let pool: PoolId = name("wards");
        let mut store = FakeStore::default();
        let shard = take_over(&mut store, &pool, 1, limits, &time);
        let policy = WeightedPolicy::default();
        let mut bench = Bench {
            time,
            store,
            shard,
            policy,
            hosts,
            actions: Vec::new(),
            pool,
            owner: 1,
            limits,
        };
        bench.list_hosts();
        bench
    }

    /// Sets the host list and renews the leases of all workers.
    pub(crate) fn list_hosts(&mut self) {
        self.shard.set_workers(&self.hosts, self.time.now());
        self.heartbeat_all();
    }

    pub(crate) fn heartbeat_all(&mut self) {
        let now = self.time.now();
        for host in &self.hosts {
            let (host, sent) = (host.host.clone(), now.mono);
            let heartbeat = Heartbeat { host, incarnation: Incarnation(1), sent, usage: None };
            self.shard.heartbeat(heartbeat, now);
        }
    }

    /// Lets another owner take over the pool.
    pub(crate) fn reopen(&mut self) {
        self.owner += 1;
        self.shard = take_over(&mut self.store, &self.pool, self.owner, self.limits, &self.time);
        self.list_hosts();
    }

    pub(crate) fn submit(&mut self, number: u128, spec: JobSpec) {
        self.shard.submit(job(number), spec, self.time.now()).unwrap();
    }

    pub(crate) fn place(&mut self) -> RoundReport {
        self.shard.place(&mut self.policy, |_| true, self.time.now())
    }

    /// Commits all staged changes. Returns the number of writes to the store.
    pub(crate) fn commit(&mut self) -> usize {
        let mut writes = 0;
        while let Some(batch) = self.shard.next_batch(self.time.now()).unwrap() {
            let revision = self.store.commit(&batch).unwrap();
            self.shard.handle_commit(batch.id, Commit::Done { revision }, self.time.now());
            writes += 1;
        }
        self.actions.extend(self.shard.take_actions());
        writes
    }

    /// Places jobs, commits, and reports all started jobs as running. Returns the
    /// starts.
    pub(crate) fn run(&mut self) -> Vec<Start> {
        self.actions.clear();
        self.place();
        self.commit();
        let started = |action: &Action| match action {
            Action::Start(start) => Some(start.clone()),
            _ => None,
        };
        let starts: Vec<Start> = self.actions.iter().filter_map(started).collect();
        for start in &starts {
            self.report(start.task.job, Report::Running);
        }
        starts
    }

    /// Sends a report about the current attempt of a job.
    pub(crate) fn report(&mut self, id: JobId, report: Report) {
        let (instance, attempt) = self.current(id);
        self.shard.report(&instance, id, attempt, report, self.time.now()).unwrap();
    }

    pub(crate) fn current(&self, id: JobId) -> (vg_jobs::WorkerIncarnation, Attempt) {
        let job = self.shard.job(id).unwrap();
        (job.instance().unwrap().clone(), job.attempt())
    }

    pub(crate) fn job(&self, number: u128) -> &Job {
        self.shard.job(job(number)).unwrap()
    }

    pub(crate) fn tick(&mut self, step: Duration) {
        self.time.advance(step);
        self.shard.tick(self.time.now());
        self.actions.extend(self.shard.take_actions());
    }
}

fn take_over(
    store: &mut FakeStore,
    pool: &PoolId,
    owner: u64,
    limits: Limits,
    time: &Time,
) -> Shard {
    let batch = claim(pool, &member(owner), store.head(pool).as_ref()).unwrap();
    store.commit(&batch).unwrap();
    let recovered = recover(pool, &member(owner), &store.range()).unwrap();
    Shard::restore(recovered, limits, time.now())
}
