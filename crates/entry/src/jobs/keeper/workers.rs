//! The pool's workers: what they have, their leases and their words.

use vg_base::prelude::*;
use vg_jobs::{Heartbeat, Limits, Now, Shard, Usage, WorkerIncarnation, WorkerSpec};

use super::{DEBT_TIME, Done, KNOWN_TIME, Keeper, KnownWorker, RENEW_PERIOD, WATCH_PERIOD};
use crate::hosts::{Host, HostKind, HostList, HostState};
use crate::jobs::worker::{LeaseAnswer, WorkerClient};
use crate::platform::Platform;

impl<P: Platform> Keeper<P> {
    /// Takes in the pool's part of the host list.
    pub(super) fn list_workers(&mut self, now: Now) {
        let list = self.node.hosts.current();
        let ours = list.hosts.iter().filter(|host| host.kind == HostKind::Worker);
        let ours: Vec<_> =
            ours.filter(|host| host.pool.as_ref() == Some(self.jobs.pool())).collect();
        self.workers.retain(|id, _| ours.iter().any(|host| host.id == *id));
        for host in &ours {
            let fresh = KnownWorker { addr: host.addr, total: None, asked: None, busy: false };
            let known = self.workers.entry(host.id.clone()).or_insert(fresh);
            known.addr = host.addr;
        }
        let specs = self.specs(&list);
        let mut state = self.jobs.lock();
        state.complete = list.revision > 0 && specs.len() == ours.len();
        let waited = now.mono >= self.began + KNOWN_TIME;
        state.known = state.complete || (waited && !specs.is_empty());
        if let Some(shard) = &mut state.shard {
            shard.set_workers(&specs, now);
        }
    }

    /// Returns the pool's workers that have told what they have.
    fn specs(&self, list: &HostList) -> Vec<WorkerSpec> {
        let spec = |host: &Host| {
            let total = self.workers.get(&host.id).and_then(|known| known.total)?;
            Some(WorkerSpec {
                host: host.id.clone(),
                rack: host.rack.clone(),
                zone: host.zone.clone(),
                capacity: total,
                leaving: host.state == HostState::Leaving,
            })
        };
        list.hosts.iter().filter_map(spec).collect()
    }

    /// Renews leases that are due. With units still missing after a time, the
    /// leases are left to lapse, which stops the tasks that have none.
    pub(super) fn renew_leases(&mut self, now: Instant) {
        if self.node.membership.check_may_act().is_err() {
            return;
        }
        let state = self.jobs.lock();
        let overdue = !state.debt.is_empty() && now > self.began + DEBT_TIME;
        let Some(shard) = &state.shard else { return };
        let epoch = shard.journal().epoch();
        let period = if shard.permits().is_empty() { RENEW_PERIOD } else { WATCH_PERIOD };
        drop(state);
        if overdue {
            return;
        }
        for (host, known) in &mut self.workers {
            if known.busy || known.asked.is_some_and(|at| now < at + period) {
                continue;
            }
            (known.busy, known.asked) = (true, Some(now));
            let client =
                WorkerClient::new(self.node.client.clone(), self.node.metrics.clone(), known.addr);
            let (host, ttl) = (host.clone(), Limits::default().worker_lease);
            self.io.spawn(async move {
                let answer = client.lease(epoch, ttl).await;
                Done::Lease { host, sent: now, answer }
            });
        }
    }

    pub(super) fn take_lease(
        &mut self,
        shard: &mut Shard,
        host: HostId,
        sent: Instant,
        answer: Option<LeaseAnswer>,
        now: Now,
    ) {
        let Some(known) = self.workers.get_mut(&host) else { return };
        known.busy = false;
        let Some(answer) = answer else { return };
        if known.total.replace(answer.capacity.into()).is_none() {
            // A worker that the shard doesn't list can't take jobs.
            let specs = self.specs(&self.node.hosts.current());
            shard.set_workers(&specs, now);
        }
        let instance = WorkerIncarnation { worker: host.clone(), incarnation: answer.incarnation };
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
                // A word on an attempt that is over changes nothing.
                let _ = shard.report(&instance, task.job, task.attempt(), report, now);
            }
        }
    }
}
