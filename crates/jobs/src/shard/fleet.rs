//! The workers of a shard: the host list, heartbeats and lost attempts.

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::workers::WorkerKey;
use crate::{Heartbeat, JobState, Now, Usage, WorkerSpec};

impl Shard {
    /// Sets the workers of the pool. `specs` has to contain all of the pool's
    /// hosts, including those that are away for maintenance. Hosts that are not in
    /// it get no new jobs.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Now) {
        let listed: Vec<WorkerKey> =
            specs.iter().map(|spec| self.workers.add_listed(spec)).collect();
        for key in self.workers.keys() {
            if !listed.contains(&key) {
                self.workers.unlist(key);
            }
        }
        self.unpark(now);
    }

    /// Queues parked jobs again if a host can hold them now.
    fn unpark(&mut self, now: Now) {
        let parked: Vec<JobKey> = self.parked.iter().copied().collect();
        for key in parked {
            if self.workers.could_hold(&self.jobs[key].spec.size) {
                self.requeue(key, now);
            }
        }
    }

    /// Handles a worker's answer to a renewal of its lease. Answers of unknown
    /// workers and of earlier incarnations are ignored.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Now) {
        let Some(key) = self.workers.find(&heartbeat.host) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        if heartbeat.incarnation < worker.incarnation {
            return;
        }
        let restarted = heartbeat.incarnation > worker.incarnation;
        worker.incarnation = heartbeat.incarnation;
        let lease = heartbeat.sent + self.limits.worker_lease;
        worker.lease_end = if restarted { Some(lease) } else { worker.lease_end.max(Some(lease)) };
        if restarted {
            self.lose_outdated_attempts(key, now);
        }
        if let Some(usage) = heartbeat.usage {
            self.record_usage(key, usage);
        }
    }

    /// Treats all attempts of earlier incarnations of a worker as lost, because a new
    /// incarnation does not run them.
    pub(super) fn lose_outdated_attempts(&mut self, worker: WorkerKey, now: Now) {
        let Some(worker) = self.workers.get(worker) else { return };
        let is_outdated = |key: &JobKey| {
            let instance = self.jobs[*key].instance.as_ref();
            instance.is_none_or(|instance| instance.incarnation < worker.incarnation)
        };
        let jobs: Vec<JobKey> = worker.jobs.iter().copied().filter(is_outdated).collect();
        for key in jobs {
            self.handle_lost_attempt(key, now);
        }
    }

    /// Treats all attempts on a worker as lost, after its lease has expired and the
    /// margin has passed.
    pub(super) fn lose_all_attempts(&mut self, worker: WorkerKey, now: Now) {
        let Some(worker) = self.workers.get(worker) else { return };
        let jobs: Vec<JobKey> = worker.jobs.iter().copied().collect();
        for key in jobs {
            self.handle_lost_attempt(key, now);
        }
    }

    /// Records measured usage: the peak of each attempt, and the worker's latest
    /// measurement.
    fn record_usage(&mut self, key: WorkerKey, usage: Usage) {
        for (job, attempt, used) in &usage.tasks {
            let Some(&job) = self.ids.get(job) else { continue };
            let job = &mut self.jobs[job];
            if job.attempt == *attempt && job.worker == Some(key) {
                job.peak_usage.cores = job.peak_usage.cores.max(used.cores);
                job.peak_usage.memory = job.peak_usage.memory.max(used.memory);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let newer = worker.usage.as_ref().is_none_or(|held| usage.measured >= held.measured);
        if newer {
            worker.usage = Some(usage);
        }
    }

    /// Whether no job of this pool is assigned to a worker.
    pub fn is_worker_idle(&self, host: &HostId) -> bool {
        let worker = self.workers.find(host).and_then(|key| self.workers.get(key));
        worker.is_none_or(|worker| worker.jobs.is_empty())
    }

    /// Returns the workers that are quarantined or being probed.
    pub fn quarantined_workers(&self) -> Vec<HostId> {
        let found = self.workers.iter().filter(|(_, worker)| worker.health.is_quarantined());
        found.map(|(_, worker)| worker.host.clone()).collect()
    }

    /// Requests a checkpoint of each running idempotent job on workers that are
    /// leaving or not listed. Other jobs run there until they end.
    pub(super) fn drain_leaving(&mut self, now: Now) {
        let leaving: Vec<JobKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.leaving || !worker.listed)
            .flat_map(|(_, worker)| worker.jobs.iter().copied())
            .collect();
        for key in leaving {
            let job = &self.jobs[key];
            if job.state == JobState::Running && job.spec.idempotent && !job.no_checkpoint {
                self.request_checkpoint(key, now);
            }
        }
    }
}
