//! Attempts that an earlier leader may have started and whose outcome this
//! leader does not know.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::job::Job;
use crate::workers::proof::{Exchange, WorkerLife};
use crate::workers::releases::{Release, ReleaseCause, Releases};
use crate::workers::worker::{Worker, WorkerKey};
use crate::{Scheduler, StepSpec, TaskId, WorkerIncarnation};

/// Time for which a worker is unreachable before its record is sealed, so that
/// the record lists the tasks that may run there.
const SEAL_DELAY: Duration = Duration::from_millis(300);
/// Unit of the remaining time in a record. It is coarse, so that the record of a worker is
/// not written again each time that others change.
const REMAINING_UNIT: Duration = Duration::from_millis(500);

/// An incarnation that may have been given work, as recorded for the next
/// leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Time from when the record is read, on the reader's monotonic clock, after which
    /// nothing can run there; `None` while its lease may be renewed. The clocks of two
    /// hosts are not compared. Earlier versions recorded a wall time, which is ignored.
    #[serde(default)]
    pub remaining: Option<Duration>,
    /// All tasks that may run there or have an end there that is not durable;
    /// `None` if they are not known.
    #[serde(default)]
    pub tasks: Option<Vec<TaskId>>,
    /// The machine that the incarnation runs on.
    #[serde(default)]
    pub machine: Option<SmolStr>,
    /// Whether a late call to an earlier incarnation may have renewed its lease for longer
    /// than leaders ask for.
    #[serde(rename = "late", default, skip_serializing_if = "std::ops::Not::not")]
    pub lengthened: bool,
}

/// Incarnations that have not answered since this leader took over. Tasks of
/// jobs that were accepted before the takeover may be running on them.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnresolvedWork {
    incarnations: HashMap<HostId, UnresolvedIncarnation>,
    /// The tasks that are recorded on them.
    listed: HashSet<TaskId>,
    /// The jobs of these tasks.
    listed_jobs: HashSet<JobId>,
    /// Pools of the incarnations whose tasks are not recorded.
    unlisted_pools: HashSet<PoolId>,
    /// Until then any task may run on any worker, because the records could not
    /// be read.
    all_until: Option<Instant>,
    /// Whether some of it was resolved since the last round.
    has_shrunk: bool,
    releases: Releases,
}

/// An incarnation that has not answered.
#[derive(Debug, Clone)]
pub(crate) struct UnresolvedIncarnation {
    incarnation: WorkerIncarnation,
    until: Instant,
    /// All tasks that it may run; `None`: any task of its pool.
    tasks: Option<HashSet<TaskId>>,
    /// The machine that it runs on.
    machine: Option<SmolStr>,
    /// Whether its lease may be longer than leaders ask for.
    lengthened: bool,
}

impl UnresolvedIncarnation {
    /// Returns the id of its worker.
    pub(crate) fn id(&self) -> &HostId {
        &self.incarnation.id
    }

    /// Returns the life that is recorded.
    pub(crate) fn life(&self) -> WorkerLife {
        self.incarnation.life()
    }

    pub(crate) fn pool(&self) -> &PoolId {
        &self.incarnation.pool
    }

    /// Returns all tasks that it may run; `None`: any task of its pool.
    pub(crate) fn tasks(&self) -> Option<impl Iterator<Item = TaskId>> {
        self.tasks.as_ref().map(|tasks| tasks.iter().copied())
    }

    /// Returns the tasks that are recorded on it.
    pub(crate) fn recorded_tasks(&self) -> impl Iterator<Item = TaskId> {
        self.tasks.iter().flatten().copied()
    }
}

impl UnresolvedWork {
    /// Returns the incarnations that have not answered.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &UnresolvedIncarnation> {
        self.incarnations.values()
    }

    /// Whether any task of a pool may run on an unresolved incarnation, because
    /// the tasks that may run there are not recorded.
    pub(crate) fn affects_pool(&self, pool: &PoolId) -> bool {
        self.all_until.is_some() || self.unlisted_pools.contains(pool)
    }

    /// Whether a task is recorded on an unresolved incarnation.
    pub(crate) fn includes(&self, task: TaskId) -> bool {
        self.listed.contains(&task)
    }

    /// Whether tasks of a job are recorded on an unresolved incarnation.
    fn includes_job(&self, job: JobId) -> bool {
        self.listed_jobs.contains(&job)
    }

    /// Whether a worker has not answered, so that its own entry says nothing of its work.
    fn includes_worker(&self, worker: &Worker) -> bool {
        self.incarnations.contains_key(&worker.incarnation.id)
    }

    /// Returns the tasks that are recorded on unresolved incarnations.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.listed.iter().copied()
    }

    fn insert(&mut self, entry: UnresolvedIncarnation) {
        match &entry.tasks {
            Some(tasks) => {
                self.listed.extend(tasks);
                self.listed_jobs.extend(tasks.iter().map(|task| task.step.job));
            }
            None => _ = self.unlisted_pools.insert(entry.incarnation.pool.clone()),
        }
        self.incarnations.insert(entry.incarnation.id.clone(), entry);
    }

    /// Returns why a task that may have run in some pools is not unresolved any more; `None` if
    /// it never was.
    pub(crate) fn release<'a>(
        &self,
        task: TaskId,
        pools: impl Iterator<Item = &'a PoolId>,
    ) -> Option<&Release> {
        self.releases.of(task, pools)
    }

    /// Removes the incarnations for which `find` returns why, and what shows it.
    fn release_where(
        &mut self,
        find: impl Fn(&UnresolvedIncarnation) -> Option<(ReleaseCause, Exchange)>,
    ) {
        let before = self.incarnations.len();
        let releases = &mut self.releases;
        self.incarnations.retain(|_, entry| {
            let found = find(entry);
            let is_kept = found.is_none();
            if let Some((cause, seen)) = found {
                releases.note(entry, cause, seen);
            }
            is_kept
        });
        if self.incarnations.len() == before {
            return;
        }
        self.has_shrunk = true;
        let entries = self.incarnations.values();
        self.listed =
            entries.clone().filter_map(|entry| entry.tasks.as_ref()).flatten().copied().collect();
        self.listed_jobs = self.listed.iter().map(|task| task.step.job).collect();
        let unlisted = entries.filter(|entry| entry.tasks.is_none());
        self.unlisted_pools = unlisted.map(|entry| entry.incarnation.pool.clone()).collect();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.incarnations.is_empty() && self.all_until.is_none()
    }

    /// Returns the time after which nothing can run any more on an unresolved
    /// worker.
    pub(crate) fn expiry(&self, id: &HostId) -> Option<Instant> {
        self.incarnations.get(id).map(|entry| entry.until)
    }

    /// Whether the lease of a worker that has started at `start_ms` may be longer than
    /// leaders ask for: its record says so, or is that of an earlier incarnation. `None` if
    /// there is no record.
    pub(crate) fn is_lengthened(&self, id: &HostId, start_ms: u64) -> Option<bool> {
        let entry = self.incarnations.get(id)?;
        Some(entry.lengthened || entry.incarnation.start_ms != start_ms)
    }

    /// Returns the time after which nothing can run on any unresolved worker.
    pub(crate) fn last_expiry(&self) -> Option<Instant> {
        self.entries().map(|entry| entry.until).chain(self.all_until).max()
    }
}

impl Scheduler {
    /// Adds an incarnation to which an earlier leader may have given work, from a record
    /// that was read at `now` at the latest. Nothing that was started there can run after
    /// the recorded time, or after `until` if none is recorded, or as much later as the
    /// longest lease is longer than the one that leaders ask for.
    pub fn add_unresolved(&mut self, record: &IncarnationRecord, until: Instant, now: Instant) {
        let excess = match record.lengthened {
            true => self.rules.late_lease_bound().saturating_sub(self.rules.lease_bound()),
            false => Duration::ZERO,
        };
        self.note_predecessor(until);
        self.unresolved.insert(UnresolvedIncarnation {
            incarnation: record.incarnation.clone(),
            until: record.remaining.map_or(until + excess, |remaining| now + remaining),
            tasks: record.tasks.as_ref().map(|tasks| tasks.iter().copied().collect()),
            machine: record.machine.clone(),
            lengthened: record.lengthened,
        });
    }

    /// Treats every worker as one that may have been given work until `until`,
    /// because the records of incarnations cannot be read.
    pub fn mark_all_unresolved(&mut self, until: Instant) {
        self.note_predecessor(until);
        self.unresolved.all_until = Some(until);
    }

    /// Notes that an earlier leader may have called workers. The leases that it asked for have
    /// ended by `until`.
    fn note_predecessor(&mut self, until: Instant) {
        let last_call = until.checked_sub(self.rules.lease_bound()).unwrap_or(until);
        self.predecessor_until = Some(last_call);
    }

    /// Returns the incarnations that have not answered yet.
    pub fn unresolved_incarnations(&self) -> Vec<WorkerIncarnation> {
        self.unresolved.incarnations.values().map(|entry| entry.incarnation.clone()).collect()
    }

    /// Returns the number of unresolved incarnations that may run any task of
    /// their pool, and the number of tasks that are recorded on the others.
    pub fn unresolved_counts(&self) -> (usize, usize) {
        let incarnations = self.unresolved.incarnations.values();
        let unlisted = incarnations.filter(|entry| entry.tasks.is_none()).count();
        (unlisted, self.unresolved.tasks().count())
    }

    /// Returns the records of unresolved incarnations to be stored.
    pub(crate) fn unresolved_records(&self, now: Instant) -> Vec<IncarnationRecord> {
        let record = |entry: &UnresolvedIncarnation| IncarnationRecord {
            incarnation: entry.incarnation.clone(),
            remaining: Some(remaining_time(entry.until, now)),
            tasks: entry.tasks.as_ref().map(|tasks| tasks.iter().copied().collect()),
            machine: entry.machine.clone(),
            lengthened: entry.lengthened,
        };
        self.unresolved.incarnations.values().map(record).collect()
    }

    /// Seals the records of workers that have been unreachable for a while:
    /// these workers get no work before their record is unsealed. The next
    /// leader then knows which tasks may run there, and which cannot.
    pub fn seal_unreachable_workers(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            let unreachable_for =
                worker.unreachable_since.map(|since| now.saturating_duration_since(since));
            worker.sealed |=
                unreachable_for.is_some_and(|unreachable_for| unreachable_for >= SEAL_DELAY);
        }
    }

    /// Ends all decisions, so that the records of incarnations can state what
    /// each worker may run from now on.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Whether decisions have ended.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Whether a worker may run any task: the records could not be read, and it has not
    /// answered.
    pub(crate) fn may_run_any(&self, worker: &Worker) -> bool {
        self.unresolved.all_until.is_some() && !worker.polled
    }

    /// Returns the record of a worker. It lists the tasks that may run there if they are
    /// known, and the worker is sealed, decisions have ended, or its lease may be longer than
    /// leaders ask for.
    pub(crate) fn incarnation_record(&self, worker: &Worker, now: Instant) -> IncarnationRecord {
        let is_any = self.may_run_any(worker);
        let is_open = is_any || (!worker.sealed && !self.frozen);
        let remaining = (!is_open).then(|| remaining_time(self.last_run_end(worker), now));
        let is_listed = !is_open || (worker.names_tasks() && !is_any);
        let tasks = if is_listed { self.unsettled_tasks(worker) } else { None };
        IncarnationRecord {
            incarnation: worker.incarnation.clone(),
            remaining,
            tasks,
            machine: worker.known_machine().cloned(),
            lengthened: worker.late_lease.is_some(),
        }
    }

    /// Returns all tasks that may run on a worker or have an end there that is not
    /// durable; `None` if they are not known.
    fn unsettled_tasks<T: FromIterator<TaskId>>(&self, worker: &Worker) -> Option<T> {
        let running = worker.attempts.iter().map(|&attempt| self.attempts[attempt].task);
        let ended = worker.uncommitted_ends.iter().map(|&(_, task)| task);
        // An end that the truncated list omits may belong to any task.
        (!worker.ends_truncated).then(|| running.chain(ended).collect())
    }

    /// Returns the work of earlier leaders that is unresolved, and that of this one, which
    /// is unresolved for the next.
    pub(super) fn all_unresolved(&self) -> UnresolvedWork {
        let mut work = self.unresolved.clone();
        let resolved = self.workers.values().filter(|worker| !work.includes_worker(worker));
        let entries: Vec<_> = resolved
            .map(|worker| UnresolvedIncarnation {
                incarnation: worker.incarnation.clone(),
                until: self.last_run_end(worker),
                tasks: self.unsettled_tasks(worker),
                machine: worker.known_machine().cloned(),
                lengthened: worker.late_lease.is_some(),
            })
            .collect();
        entries.into_iter().for_each(|entry| work.insert(entry));
        work
    }

    /// Whether the record of a worker that answers may be unsealed: decisions
    /// have not ended, and no command to its machine is in progress or has
    /// taken the machine away.
    pub(crate) fn may_unseal(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let commands = &self.machines.commands;
        let commanded =
            worker.machine.as_ref().is_some_and(|machine| commands.contains_key(machine));
        worker.sealed && !self.frozen && !worker.leaving && !commanded
    }

    /// Removes the incarnations on a machine apart from that of `present`, which has answered
    /// this leader: they were recorded before, and a machine runs one at a time.
    pub(crate) fn clear_others(&mut self, present: &HostId, machine: &SmolStr, seen: Exchange) {
        self.unresolved.release_where(|entry| {
            let is_here = entry.machine.as_ref() == Some(machine);
            (is_here && entry.incarnation.id != *present)
                .then(|| (ReleaseCause::MachineTaken { by: present.clone() }, seen))
        });
    }

    /// Removes an incarnation that answered, or whose worker has a new
    /// incarnation.
    pub(crate) fn clear_unresolved(&mut self, id: &HostId, seen: Exchange) {
        self.unresolved.release_where(|entry| {
            (entry.incarnation.id == *id).then_some((ReleaseCause::Answered, seen))
        });
    }

    /// Removes incarnations on which nothing can run any more. One that answers and has ends left
    /// to report is none of them.
    pub(crate) fn expire_unresolved(&mut self, now: Instant) {
        let (workers, ids) = (&self.workers, &self.worker_ids);
        let lease = self.rules.lease_bound();
        let is_reporting = |id: &HostId| {
            let worker = ids.get(id).map(|&key| &workers[key]);
            let left = worker.filter(|worker| worker.ends_truncated);
            left.and_then(|worker| worker.last_poll).is_some_and(|at| now < at + lease)
        };
        let unresolved = &mut self.unresolved;
        let before = unresolved.incarnations.len();
        unresolved.release_where(|entry| {
            let seen = Exchange { sent: entry.until, read: now };
            let has_ended = now >= entry.until && !is_reporting(entry.id());
            has_ended.then_some((ReleaseCause::LeaseEnded, seen))
        });
        // The record counts from when it is read, so the next leader would wait once more.
        self.records_changed |= unresolved.incarnations.len() < before;
        let all_until = unresolved.all_until.filter(|until| now < *until);
        unresolved.has_shrunk |= all_until != unresolved.all_until;
        unresolved.all_until = all_until;
    }

    /// Whether an earlier leader may have started tasks of a job on workers that have not
    /// answered.
    pub(crate) fn may_be_unresolved(&self, job: &Job) -> bool {
        self.may_run_unseen(job) || self.unresolved.includes_job(job.id)
    }

    /// Drops the finished jobs that were kept only for unresolved work that is resolved now.
    pub(crate) fn forget_resolved_jobs(&mut self) {
        if !std::mem::take(&mut self.unresolved.has_shrunk) {
            return;
        }
        let finished = self.jobs.iter().filter(|(_, job)| job.ended_durably);
        let finished: Vec<_> = finished.map(|(key, _)| key).collect();
        finished.into_iter().for_each(|key| self.forget_if_finished(key));
    }

    /// Opens the due occurrences of jobs that an earlier leader may have started, so that
    /// their tasks count. Jobs that have ended are not ranked, which opens those of others.
    pub(crate) fn open_unresolved(&mut self, wall: SystemTime) {
        if self.unresolved.is_empty() {
            return;
        }
        let early = self.early_opening();
        let earlier = self.jobs.values_mut().filter(|job| job.is_earlier);
        earlier.for_each(|job| job.open_due(wall, early));
    }

    /// Returns the resources that each team may be using in attempts that an
    /// earlier leader started and that this leader does not know.
    pub(crate) fn measure_unresolved(&self) -> HashMap<TeamId, Resources> {
        let mut usage: HashMap<TeamId, Resources> = HashMap::new();
        self.for_each_unresolved(|job, spec| {
            if let Some(team) = &job.spec.team {
                let used = usage.entry(team.clone()).or_default();
                *used = used.plus(&spec.need);
            }
        });
        usage
    }

    /// Calls `add` for each task that an earlier leader may have started and that this
    /// leader does not know as started, be its job open or ended.
    pub(crate) fn for_each_unresolved(&self, mut add: impl FnMut(&Job, &StepSpec)) {
        if self.unresolved.is_empty() {
            return;
        }
        for task in self.unresolved.tasks() {
            if let (Some(job), Some(spec)) = (self.job_of(task), self.spec_of(task)) {
                add(job, spec);
            }
        }
        for job in self.jobs.values() {
            if !self.may_run_unseen(job) {
                continue;
            }
            for ready in job.ready_steps() {
                let recorded = |index| self.unresolved.includes(TaskId { step: ready.id, index });
                let unknown = ready.step.waiting.iter().filter(|&&index| !recorded(index));
                unknown.for_each(|_| add(job, ready.spec));
            }
        }
    }
}

/// Returns the time until `until`, as it is recorded.
fn remaining_time(until: Instant, now: Instant) -> Duration {
    let remaining = until.saturating_duration_since(now);
    let units = remaining.as_nanos().div_ceil(REMAINING_UNIT.as_nanos());
    REMAINING_UNIT * u32::try_from(units).unwrap_or(u32::MAX)
}
