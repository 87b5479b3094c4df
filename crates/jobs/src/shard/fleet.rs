//! The workers: the host list, heartbeats and lapses.

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::workers::WorkerKey;
use crate::{Heartbeat, JobState, Now, Usage, WorkerSpec};

impl Shard {
    /// Takes in the pool's hosts, all of them, also those that are away for
    /// maintenance. Hosts that are not in it get nothing new.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Now) {
        let listed: Vec<WorkerKey> = specs.iter().map(|spec| self.workers.list(spec)).collect();
        for key in self.workers.keys() {
            if !listed.contains(&key) {
                self.workers.unlist(key);
            }
        }
        self.unpark(now);
    }

    /// Jobs that fitted no host wait again when one can hold them now.
    fn unpark(&mut self, now: Now) {
        let parked: Vec<JobKey> = self.parked.iter().copied().collect();
        for key in parked {
            if self.workers.could_hold(&self.jobs[key].spec.size) {
                self.requeue(key, now);
            }
        }
    }

    /// Takes in a worker's answer to a renewal of its lease.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat, now: Now) {
        let Some(key) = self.workers.find(&heartbeat.host) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        if heartbeat.incarnation < worker.incarnation {
            return;
        }
        let restarted = heartbeat.incarnation > worker.incarnation;
        worker.incarnation = heartbeat.incarnation;
        let lease = heartbeat.sent + self.limits.worker_lease;
        worker.lease = if restarted { Some(lease) } else { worker.lease.max(Some(lease)) };
        if restarted {
            self.lose_outdated(key, now);
        }
        if let Some(usage) = heartbeat.usage {
            self.measure(key, usage);
        }
    }

    /// A new incarnation ends what ran before it.
    pub(super) fn lose_outdated(&mut self, worker: WorkerKey, now: Now) {
        let Some(worker) = self.workers.get(worker) else { return };
        let before = |key: &JobKey| {
            let instance = self.jobs[*key].instance.as_ref();
            instance.is_none_or(|instance| instance.incarnation < worker.incarnation)
        };
        let jobs: Vec<JobKey> = worker.jobs.iter().copied().filter(before).collect();
        for key in jobs {
            self.lose(key, now);
        }
    }

    /// A lapsed lease with its margin ends what ran there.
    pub(super) fn lose_all(&mut self, worker: WorkerKey, now: Now) {
        let Some(worker) = self.workers.get(worker) else { return };
        let jobs: Vec<JobKey> = worker.jobs.iter().copied().collect();
        for key in jobs {
            self.lose(key, now);
        }
    }

    fn measure(&mut self, key: WorkerKey, usage: Usage) {
        for (job, attempt, used) in &usage.tasks {
            let Some(&job) = self.ids.get(job) else { continue };
            let job = &mut self.jobs[job];
            if job.attempt == *attempt && job.worker == Some(key) {
                job.peak.cores = job.peak.cores.max(used.cores);
                job.peak.memory = job.peak.memory.max(used.memory);
            }
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let newer = worker.usage.as_ref().is_none_or(|held| usage.measured >= held.measured);
        if newer {
            worker.usage = Some(usage);
        }
    }

    /// Whether a worker runs nothing of this pool.
    pub fn is_worker_idle(&self, host: &HostId) -> bool {
        let worker = self.workers.find(host).and_then(|key| self.workers.get(key));
        worker.is_none_or(|worker| worker.jobs.is_empty())
    }

    /// Returns the workers that are quarantined or being probed.
    pub fn quarantined_workers(&self) -> Vec<HostId> {
        let bad = self.workers.iter().filter(|(_, worker)| worker.health.is_quarantined());
        bad.map(|(_, worker)| worker.host.clone()).collect()
    }

    /// Asks for a checkpoint of each idempotent job on a leaving worker. Others
    /// run to their end there.
    pub(super) fn clear_leaving(&mut self, now: Now) {
        let leaving: Vec<JobKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.leaving || !worker.listed)
            .flat_map(|(_, worker)| worker.jobs.iter().copied())
            .collect();
        for key in leaving {
            let job = &self.jobs[key];
            if job.state == JobState::Running && job.spec.idempotent && !job.no_checkpoint {
                self.ask_checkpoint(key, now);
            }
        }
    }
}
