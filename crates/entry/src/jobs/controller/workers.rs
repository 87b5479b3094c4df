//! The pool's workers with their capacities, leases and reports.

use vg_base::prelude::*;
use vg_jobs::{Heartbeat, Limits, Now, Shard, Usage, WorkerIncarnation, WorkerSpec};

use super::{
    ACTIVE_RENEW_INTERVAL, Completion, IDLE_RENEW_INTERVAL, JobController, KnownWorker,
    MISSING_PERMITS_TIMEOUT, WORKER_WAIT,
};
use crate::hosts::{Host, HostKind, HostList, HostState};
use crate::jobs::worker::{LeaseAnswer, WorkerClient};
use crate::platform::Platform;

impl<P: Platform> JobController<P> {
    /// Applies the pool's part of the host list.
    pub(super) fn update_workers(&mut self, now: Now) {
        let list = self.node.hosts.current();
        let pool_workers = list.hosts.iter().filter(|host| host.kind == HostKind::Worker);
        let pool_workers: Vec<_> =
            pool_workers.filter(|host| host.pool.as_ref() == Some(self.jobs.pool())).collect();
        self.workers.retain(|id, _| pool_workers.iter().any(|host| host.id == *id));
        for host in &pool_workers {
            let new_worker =
                KnownWorker { addr: host.addr, capacity: None, renewed_at: None, renewing: false };
            let known = self.workers.entry(host.id.clone()).or_insert(new_worker);
            known.addr = host.addr;
        }
        let specs = self.worker_specs(&list);
        let mut state = self.jobs.lock();
        state.workers_complete = list.revision > 0 && specs.len() == pool_workers.len();
        let waited = now.mono >= self.started + WORKER_WAIT;
        state.workers_known = state.workers_complete || (waited && !specs.is_empty());
        if let Some(shard) = &mut state.shard {
            shard.set_workers(&specs, now);
        }
    }

    /// Returns the workers that have reported their capacity.
    fn worker_specs(&self, list: &HostList) -> Vec<WorkerSpec> {
        let spec = |host: &Host| {
            let capacity = self.workers.get(&host.id).and_then(|known| known.capacity)?;
            Some(WorkerSpec {
                host: host.id.clone(),
                rack: host.rack.clone(),
                zone: host.zone.clone(),
                capacity,
                leaving: host.state == HostState::Leaving,
            })
        };
        list.hosts.iter().filter_map(spec).collect()
    }

    /// Renews the leases that are due. If permits are still missing after
    /// [`MISSING_PERMITS_TIMEOUT`], the leases are left to expire, which stops the tasks
    /// that run without permits.
    pub(super) fn renew_leases(&mut self, now: Instant) {
        if self.node.membership.check_may_act().is_err() {
            return;
        }
        let state = self.jobs.lock();
        let overdue =
            !state.missing_permits.is_empty() && now > self.started + MISSING_PERMITS_TIMEOUT;
        let Some(shard) = &state.shard else { return };
        let epoch = shard.journal().epoch();
        let period =
            if shard.permits().is_empty() { IDLE_RENEW_INTERVAL } else { ACTIVE_RENEW_INTERVAL };
        drop(state);
        if overdue {
            return;
        }
        for (host, known) in &mut self.workers {
            if known.renewing || known.renewed_at.is_some_and(|at| now < at + period) {
                continue;
            }
            (known.renewing, known.renewed_at) = (true, Some(now));
            let client =
                WorkerClient::new(self.node.client.clone(), self.node.metrics.clone(), known.addr);
            let (host, ttl) = (host.clone(), Limits::default().worker_lease);
            self.pending.spawn(async move {
                let answer = client.renew_lease(epoch, ttl).await;
                Completion::Lease { host, sent: now, answer }
            });
        }
    }

    /// Applies a worker's answer to a lease renewal: its capacity, its usage and the
    /// reports on its tasks.
    pub(super) fn apply_lease_answer(
        &mut self,
        shard: &mut Shard,
        host: HostId,
        sent: Instant,
        answer: Option<LeaseAnswer>,
        now: Now,
    ) {
        let Some(known) = self.workers.get_mut(&host) else { return };
        known.renewing = false;
        let Some(answer) = answer else { return };
        if known.capacity.replace(answer.capacity.into()).is_none() {
            // The capacity is known now, so the shard can list the worker and place jobs on it.
            let specs = self.worker_specs(&self.node.hosts.current());
            shard.set_workers(&specs, now);
        }
        let reporter = WorkerIncarnation { worker: host.clone(), incarnation: answer.incarnation };
        let tasks = answer.tasks.iter();
        let usage = Usage {
            measured: sent,
            total: answer.usage.into(),
            tasks: tasks.map(|each| (each.job, each.attempt(), each.usage())).collect(),
        };
        let incarnation = answer.incarnation;
        shard.heartbeat(Heartbeat { host, incarnation, sent, usage: Some(usage) }, now);
        for task in &answer.tasks {
            if let Some(report) = task.report() {
                // A report on a finished attempt has no effect.
                let _ = shard.report(&reporter, task.job, task.attempt(), report, now);
            }
        }
    }
}
