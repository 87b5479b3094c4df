//! What an earlier leader may have left running out of sight.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::worker::{Worker, WorkerKey};
use crate::{Scheduler, TaskId, WorkerIncarnation};

/// Silence of a worker after which its record says what may run there.
const SEAL_DELAY: Duration = Duration::from_millis(300);
/// Most by which the clocks of two hosts differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// A life that may have been given work, as it is recorded for a next leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The life.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Wall time after which nothing can run there; none while its lease may
    /// be renewed.
    #[serde(rename = "over")]
    pub expires: Option<SystemTime>,
    /// All tasks that may run there, or have an end there that is not durable;
    /// none if that is not known.
    #[serde(default)]
    pub tasks: Option<Vec<TaskId>>,
    /// The machine that it is a life of.
    #[serde(default)]
    pub machine: Option<SmolStr>,
}

/// Lives that have not answered since this leader took over. Tasks of jobs that
/// were there before may be running on them.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedWork {
    incarnations: HashMap<HostId, UnresolvedIncarnation>,
    /// Until then any task may run on any worker: the record could not be read.
    all_until: Option<Instant>,
}

#[derive(Debug, Clone)]
struct UnresolvedIncarnation {
    incarnation: WorkerIncarnation,
    until: Instant,
    /// All tasks that it may hold; none: any task of its pool.
    tasks: Option<HashSet<TaskId>>,
    /// The machine that it is a life of.
    machine: Option<SmolStr>,
}

impl UnresolvedWork {
    /// Whether any task of a pool may be on such a life.
    pub(crate) fn covers(&self, pool: &PoolId) -> bool {
        let mut open = self.incarnations.values().filter(|entry| entry.tasks.is_none());
        self.all_until.is_some() || open.any(|entry| entry.incarnation.pool == *pool)
    }

    /// Whether this task is known to be on such a life.
    pub(crate) fn holds(&self, task: TaskId) -> bool {
        let mut known = self.incarnations.values().filter_map(|entry| entry.tasks.as_ref());
        known.any(|tasks| tasks.contains(&task))
    }

    /// Returns the tasks that are known to be on such lives.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.incarnations.values().filter_map(|entry| entry.tasks.as_ref()).flatten().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.incarnations.is_empty() && self.all_until.is_none()
    }

    /// Returns when nothing can run any more on a worker that is entry.
    pub(crate) fn until(&self, id: &HostId) -> Option<Instant> {
        self.incarnations.get(id).map(|entry| entry.until)
    }
}

impl Scheduler {
    /// Notes a life that an earlier leader may have given work. Nothing that it
    /// was given can run after `until`, or after the time on record.
    pub fn add_unresolved(
        &mut self,
        record: &IncarnationRecord,
        until: Instant,
        now: Instant,
        wall: SystemTime,
    ) {
        let left = record.expires.map(|expires| expires.duration_since(wall).unwrap_or_default());
        let until = left.map_or(until, |left| until.min(now + left + MAX_CLOCK_SKEW));
        let incarnation = record.incarnation.clone();
        let tasks = record.tasks.as_ref().map(|tasks| tasks.iter().copied().collect());
        let machine = record.machine.clone();
        self.unresolved.incarnations.insert(
            incarnation.id.clone(),
            UnresolvedIncarnation { incarnation, until, tasks, machine },
        );
    }

    /// Takes any worker for one that may have been given work: the record of lives
    /// can't be read.
    pub fn mark_all_unresolved(&mut self, until: Instant) {
        self.unresolved.all_until = Some(until);
    }

    /// Returns the lives that have not answered yet.
    pub fn unresolved_incarnations(&self) -> Vec<WorkerIncarnation> {
        self.unresolved.incarnations.values().map(|entry| entry.incarnation.clone()).collect()
    }

    /// Returns the number of workers on which any task may run out of sight, and
    /// of tasks that may run on others.
    pub fn unresolved_counts(&self) -> (usize, usize) {
        let incarnations = self.unresolved.incarnations.values();
        let open = incarnations.filter(|entry| entry.tasks.is_none()).count();
        (open, self.unresolved.tasks().count())
    }

    /// Returns suspected lives as they are to be kept on record.
    pub(crate) fn unresolved_records(
        &self,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<IncarnationRecord> {
        let record = |entry: &UnresolvedIncarnation| IncarnationRecord {
            incarnation: entry.incarnation.clone(),
            expires: Some(wall + entry.until.saturating_duration_since(now)),
            tasks: entry.tasks.as_ref().map(|tasks| tasks.iter().copied().collect()),
            machine: entry.machine.clone(),
        };
        self.unresolved.incarnations.values().map(record).collect()
    }

    /// Closes the record of workers that have been silent for a while: they get
    /// nothing before it is open again. A next leader then knows which tasks may
    /// run there, and which may not.
    pub fn seal_silent_workers(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            let silent = worker.unreachable_since.map(|since| now.saturating_duration_since(since));
            worker.sealed |= silent.is_some_and(|silent| silent >= SEAL_DELAY);
        }
    }

    /// Ends all decisions, so that the record of lives can say what each worker
    /// may run from now on.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Whether decisions have ended.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    pub(crate) fn incarnation_record(
        &self,
        worker: &Worker,
        now: Instant,
        wall: SystemTime,
    ) -> IncarnationRecord {
        let (incarnation, machine) = (worker.incarnation.clone(), worker.machine.clone());
        if !worker.sealed && !self.frozen {
            return IncarnationRecord { incarnation, expires: None, tasks: None, machine };
        }
        let expires = wall + worker.lease_end.saturating_duration_since(now);
        let held = worker.attempts.iter().map(|&attempt| self.attempts[attempt].task);
        let ended = worker.uncommitted_ends.iter().map(|&(_, task)| task);
        // Ends that the worker has not listed yet may be of any task.
        let tasks = (!worker.ends_truncated).then(|| held.chain(ended).collect());
        IncarnationRecord { incarnation, expires: Some(expires), tasks, machine }
    }

    /// Whether a worker that answers can be given work once its record is open.
    pub(crate) fn may_unseal(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let commands = &self.machines.commands;
        let commanded =
            worker.machine.as_ref().is_some_and(|machine| commands.contains_key(machine));
        worker.sealed && !self.frozen && !worker.leaving && !commanded
    }

    /// Clears earlier lives of a machine, of which a later one has registered.
    pub(crate) fn clear_earlier(&mut self, later: &WorkerIncarnation, machine: Option<&SmolStr>) {
        let Some(machine) = machine else { return };
        self.unresolved.incarnations.retain(|_, entry| {
            let same = entry.machine.as_ref() == Some(machine);
            !same
                || entry.incarnation.id == later.id
                || entry.incarnation.start_ms >= later.start_ms
        });
    }

    /// Clears a life that was heard, or whose id has a new life.
    pub(crate) fn clear_unresolved(&mut self, id: &HostId) {
        self.unresolved.incarnations.remove(id);
    }

    pub(crate) fn expire_unresolved(&mut self, now: Instant) {
        self.unresolved.incarnations.retain(|_, entry| now < entry.until);
        self.unresolved.all_until = self.unresolved.all_until.filter(|until| now < *until);
    }
}
