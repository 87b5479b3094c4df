//! Workers that come, go and are looked at.

use vg_base::prelude::*;

use crate::doubt::LifeRecord;
use crate::flow::Removed;
use crate::run::Phase;
use crate::worker::{Worker, WorkerKey};
use crate::{Entry, Fence, Flow, Life};

/// What to ask of a worker next.
#[derive(Debug, Clone, PartialEq)]
pub struct Renewal {
    /// The life that is meant.
    pub life: Life,
    /// The leader's fence.
    pub fence: Fence,
    /// New end of its lease on its clock in ms; none before it was heard.
    pub deadline: Option<u64>,
    /// Number of the last end that is durable.
    pub seen: u64,
    /// Whether it runs anything.
    pub busy: bool,
    /// Number of the last end that it listed. It lists ends again until they
    /// are durable.
    pub read: u64,
}

impl Flow {
    /// Takes what a worker registered. Returns whether its life is new here and
    /// has to be recorded before it gets work.
    pub fn register(&mut self, entry: &Entry, now: Instant) -> bool {
        self.clear_earlier(&entry.life, entry.machine.as_ref());
        let Some(&key) = self.worker_ids.get(&entry.life.id) else {
            let key = self.workers.insert(Worker::new(entry, now));
            self.worker_ids.insert(entry.life.id.clone(), key);
            return true;
        };
        if self.workers[key].life.born != entry.life.born {
            if entry.life.born < self.workers[key].life.born {
                return false;
            }
            self.begin_life(key, entry.life.born, now);
        }
        let worker = &mut self.workers[key];
        let moved = worker.life != entry.life;
        worker.life = entry.life.clone();
        worker.listed = true;
        worker.draining = entry.draining;
        worker.capacity = entry.capacity;
        worker.machine = entry.machine.clone();
        worker.recorded &= !moved;
        !worker.recorded
    }

    /// Notes that a worker's registration is gone. What runs there is counted
    /// until its lease has ended.
    pub fn deregister(&mut self, id: &HostId) {
        if let Some(&key) = self.worker_ids.get(id) {
            self.workers[key].listed = false;
        }
    }

    /// Returns the lives that may have been given work, to be recorded.
    pub fn lives(&self, now: Instant, wall: SystemTime) -> Vec<LifeRecord> {
        let may_run = |worker: &&Worker| {
            let doubted = self.doubt.until(&worker.life.id).is_some();
            !doubted && (worker.silent.is_none() || now <= worker.lease_end)
        };
        let sure = self.workers.values().filter(may_run);
        let mut records: Vec<_> = sure.map(|worker| self.life_record(worker, now, wall)).collect();
        records.extend(self.doubt_records(now, wall));
        records
    }

    /// Whether the record of lives has to be written again.
    pub fn take_lives_changed(&mut self) -> bool {
        std::mem::take(&mut self.lives_changed)
    }

    /// Notes that these lives are recorded and can be given work.
    pub fn recorded(&mut self, records: &[LifeRecord]) {
        for record in records.iter().filter(|record| record.over.is_none()) {
            if let Some(&key) = self.worker_ids.get(&record.life.id)
                && self.workers[key].life == record.life
            {
                self.workers[key].recorded = true;
                self.workers[key].limited = false;
            }
        }
    }

    /// Returns the ids of all workers in memory.
    pub fn worker_ids(&self) -> Vec<HostId> {
        self.worker_ids.keys().cloned().collect()
    }

    /// Returns what to ask of a worker; `None` if it is to be forgotten. The
    /// lease counts from now.
    pub fn renewal(&mut self, id: &HostId, now: Instant) -> Option<Renewal> {
        let key = *self.worker_ids.get(id)?;
        let bound = self.rules.lease_bound();
        let lease = self.rules.lease.as_millis() as u64;
        let worker = &mut self.workers[key];
        // A look that fails may still renew the lease: what runs there would
        // count for ever if each one asked for that.
        let open = !worker.limited && !worker.closed && !self.frozen;
        let renewable = open && worker.silent.is_none();
        let clock = worker.clock.filter(|_| renewable);
        let deadline = clock.map(|clock| clock.reading(now) + lease);
        if deadline.is_some() {
            worker.lease_end = worker.lease_end.max(now + bound);
        }
        Some(Renewal {
            life: worker.life.clone(),
            fence: self.fence,
            deadline,
            seen: worker.seen,
            busy: !worker.runs.is_empty(),
            read: worker.read,
        })
    }

    /// Notes that a look at a worker failed.
    pub fn unreachable(&mut self, id: &HostId, now: Instant) {
        if let Some(&key) = self.worker_ids.get(id) {
            let worker = &mut self.workers[key];
            let again = worker.silent.is_some();
            worker.silent.get_or_insert(now);
            // Its record is to say what may run there.
            self.lives_changed |= again && !worker.closed;
        }
    }

    /// Starts another life of a worker: what ran in the last one is over.
    pub(crate) fn begin_life(&mut self, key: WorkerKey, born: u64, now: Instant) {
        let worker = &mut self.workers[key];
        worker.life.born = born;
        worker.recorded = false;
        worker.heard = false;
        worker.clock = None;
        worker.read = 0;
        worker.seen = 0;
        worker.unsettled.clear();
        worker.more_ends = false;
        worker.failures.clear();
        worker.cordoned = false;
        worker.leaving = false;
        let id = worker.life.id.clone();
        for run in worker.runs.clone() {
            match self.runs[run].phase {
                // The order may still come, and the new life would take it.
                Phase::Starting | Phase::Unsure => {
                    self.runs[run].needs_stop = true;
                    self.runs[run].stop_answered = None;
                }
                Phase::Running | Phase::Stopping => {
                    self.counts.lost += 1;
                    self.remove_run(run, Removed::Over, now);
                }
            }
        }
        self.clear_doubt(&id);
    }

    /// Settles what ran on workers whose lease has ended, and forgets workers
    /// that are gone.
    pub(crate) fn expire_workers(&mut self, now: Instant) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            let over = worker.silent.is_some() && now > worker.lease_end;
            if over && worker.recorded {
                // It is recorded again before it gets work again.
                self.workers[key].recorded = false;
                self.lives_changed = true;
            }
            let worker = &self.workers[key];
            if over && !worker.runs.is_empty() {
                for run in worker.runs.clone() {
                    self.counts.lost += 1;
                    self.remove_run(run, Removed::Over, now);
                }
            }
            let worker = &self.workers[key];
            let gone = !worker.listed && (worker.silent.is_some() || worker.runs.is_empty());
            if gone && now > worker.lease_end && worker.runs.is_empty() {
                let id = worker.life.id.clone();
                self.workers.remove(key);
                self.worker_ids.remove(&id);
            }
        }
    }
}
