//! The state of the leader and its elementary transitions.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use slotmap::SlotMap;
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::cadence::Cadence;
use crate::jobs::attempt::{Attempt, AttemptKey, Phase, Usage};
use crate::jobs::crash_series::CrashSeries;
use crate::jobs::intake::Overlap;
use crate::jobs::job::{Job, JobKey};
use crate::jobs::job_size::JobSizes;
use crate::jobs::occurrence::Task;
use crate::jobs::queue_work::QueueWork;
use crate::learned::durations::Durations;
use crate::order::turns::Turns;
use crate::placement::advise::Adviser;
use crate::placement::hold::Holds;
use crate::placement::start_window::StartWindow;
use crate::pools::machines::Machines;
use crate::pools::zone_drain::ZoneDrains;
use crate::shares::contention::ContendedPool;
use crate::shares::load_digest::EmptyPools;
use crate::shares::past_usage::PastUsage;
use crate::shares::share_changes::ReportedShares;
use crate::shares::teams::TeamTable;
use crate::workers::late_starts::LateStarts;
use crate::workers::proof::Proof;
use crate::workers::quarantine::Quarantine;
use crate::workers::unresolved::UnresolvedWork;
use crate::workers::worker::{Worker, WorkerKey};
use crate::{
    Action, AttemptNumber, Counts, DeadlyTask, FencingToken, JobOutcome, JobSpec, JobState,
    LostAttempt, OperatorConfig, SchedulingRules, StopReason, TaskId,
};

/// Minimum time between two stop commands for one attempt: the answer to the
/// first one may be lost.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Delay before a task is started again after an attempt that did not succeed.
const TASK_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before a continuous task is started again, multiplied by the number of
/// its failed attempts (at most four).
const CONTINUOUS_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of the leader, the host that decides for the whole fleet.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) rules: SchedulingRules,
    pub(crate) token: FencingToken,
    /// Highest token that calls to any worker carry. Workers that are registered for the
    /// first time get it: calls to no earlier life of theirs have carried a higher one.
    pub(crate) latest_token: FencingToken,
    /// Until when an earlier leader may have sent calls, if one has left records of workers.
    pub(crate) predecessor_until: Option<Instant>,
    pub(crate) leader_since: Instant,
    /// Jobs that were accepted in this time may have been started by the earlier leader,
    /// whatever their revision.
    pub(crate) overlap: Option<Overlap>,
    /// Time beyond which no renewal prolongs the lease of a worker.
    pub(crate) lease_limit: Option<Instant>,
    pub(crate) config: Arc<OperatorConfig>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_ids: HashMap<JobId, JobKey>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) worker_ids: HashMap<HostId, WorkerKey>,
    /// When the last call may arrive at each worker that was dropped, should it come back.
    pub(crate) dropped_workers: HashMap<HostId, Instant>,
    /// Start commands without an answer.
    pub(crate) late_starts: LateStarts,
    pub(crate) attempts: SlotMap<AttemptKey, Attempt>,
    pub(crate) attempt_ids: HashMap<(TaskId, AttemptNumber), AttemptKey>,
    /// Attempts that durable records name since the last round, and that are to be sent.
    pub(crate) named_starts: Vec<AttemptKey>,
    /// Resources that count against the limit of each team.
    pub(crate) team_usage: HashMap<TeamId, Resources>,
    pub(crate) teams: TeamTable,
    /// Pools that were contended in the last round.
    pub(crate) contended: Vec<ContendedPool>,
    pub(crate) past_usage: HashMap<PoolId, PastUsage>,
    pub(crate) turns: HashMap<PoolId, Turns>,
    pub(crate) holds: Holds,
    pub(crate) job_sizes: JobSizes,
    pub(crate) reported_shares: ReportedShares,
    pub(crate) unresolved: UnresolvedWork,
    /// What each team may be using in unresolved work, as of the current round.
    pub(crate) unresolved_usage: HashMap<TeamId, Resources>,
    /// What any team may be using in work whose team is not known, as of the current
    /// round.
    pub(crate) unknown_usage: Resources,
    /// Pools in which a continuous task has found no place since their sizes were
    /// last decided.
    pub(crate) unplaced_pools: HashSet<PoolId>,
    pub(crate) queue_work: QueueWork,
    pub(crate) durations: Durations,
    pub(crate) quarantine: Quarantine,
    /// Pools in which tasks found no place in the last round.
    pub(crate) full_pools: HashSet<PoolId>,
    pub(crate) empty_pools: EmptyPools,
    pub(crate) cadence: Cadence,
    pub(crate) start_window: StartWindow,
    pub(crate) adviser: Adviser,
    /// Jobs with changes that are not in a batch yet.
    pub(crate) dirty: Vec<JobKey>,
    /// Whether a job has an outcome that is not in a batch yet: callers wait
    /// for outcomes.
    pub(crate) urgent: bool,
    /// Whether the records of incarnations have to be written again.
    pub(crate) records_changed: bool,
    /// Whether decisions have ended because another host is to lead.
    pub(crate) frozen: bool,
    pub(crate) machines: Machines,
    pub(crate) zone_drains: ZoneDrains,
    pub(crate) actions: Vec<Action>,
    /// Start of the latest worker in each place ([`Worker::home`]), in milliseconds since
    /// 1970.
    pub(crate) latest_starts: HashMap<SmolStr, u64>,
    /// Crashes of workers under tasks, by pool.
    pub(crate) crash_series: HashMap<PoolId, CrashSeries>,
    /// Crashes of workers for other causes than tasks, by pool.
    pub(crate) chance_crashes: HashMap<PoolId, CrashSeries>,
    /// Tasks that were given up because workers crash under them, until they are
    /// reported.
    pub(crate) deadly: Vec<DeadlyTask>,
    /// Attempts that were lost with their worker, until they are reported.
    pub(crate) losses: Vec<LostAttempt>,
    pub(crate) counts: Counts,
}

impl Scheduler {
    /// Creates the state of a leader that has taken over at `now`.
    pub fn new(
        rules: SchedulingRules,
        token: FencingToken,
        config: Arc<OperatorConfig>,
        now: Instant,
    ) -> Scheduler {
        Scheduler {
            teams: TeamTable::default(),
            contended: Vec::new(),
            past_usage: HashMap::new(),
            turns: HashMap::new(),
            holds: Holds::default(),
            job_sizes: JobSizes::default(),
            reported_shares: ReportedShares::default(),
            unresolved: UnresolvedWork::default(),
            unresolved_usage: HashMap::new(),
            unknown_usage: Resources::ZERO,
            unplaced_pools: HashSet::new(),
            queue_work: QueueWork::default(),
            durations: Durations::default(),
            quarantine: Quarantine::default(),
            full_pools: HashSet::new(),
            empty_pools: EmptyPools::default(),
            cadence: Cadence::default(),
            start_window: StartWindow::default(),
            adviser: Adviser::default(),
            machines: Machines::new(now + rules.machine_hold),
            zone_drains: ZoneDrains::default(),
            rules,
            token,
            latest_token: token,
            predecessor_until: None,
            leader_since: now,
            overlap: None,
            lease_limit: None,
            config,
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            dropped_workers: HashMap::new(),
            late_starts: LateStarts::default(),
            attempts: SlotMap::with_key(),
            attempt_ids: HashMap::new(),
            named_starts: Vec::new(),
            team_usage: HashMap::new(),
            dirty: Vec::new(),
            urgent: false,
            records_changed: false,
            frozen: false,
            actions: Vec::new(),
            latest_starts: HashMap::new(),
            crash_series: HashMap::new(),
            chance_crashes: HashMap::new(),
            deadly: Vec::new(),
            losses: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the fencing token of the leadership. Calls to workers may carry higher ones.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the operators' configuration in force.
    pub fn config(&self) -> &Arc<OperatorConfig> {
        &self.config
    }

    /// Puts another version of the operators' configuration in force.
    pub fn set_config(&mut self, config: Arc<OperatorConfig>) {
        self.config = config;
    }

    /// Returns table sizes and totals.
    pub fn counts(&self) -> Counts {
        Counts {
            jobs: self.jobs.len(),
            attempts: self.attempts.len(),
            workers: self.workers.len(),
            start_window: self.start_window.size(),
            ..self.counts
        }
    }

    /// Returns the state of a job, or `None` if the job is not in memory.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        self.job_ids.get(&id).map(|&key| self.jobs[key].state())
    }

    /// Returns the team of a job, or `None` if the job is not in memory.
    pub fn job_team(&self, id: JobId) -> Option<Option<TeamId>> {
        self.job_ids.get(&id).map(|&key| self.jobs[key].spec.team.clone())
    }

    /// Returns the specification of a job, or `None` if the job is not in memory.
    pub fn job_spec(&self, id: JobId) -> Option<Arc<JobSpec>> {
        self.job_ids.get(&id).map(|&key| Arc::clone(&self.jobs[key].spec))
    }

    /// Returns the number of accepted jobs of a queue of which no task has
    /// started.
    pub fn pending_jobs(&self, queue: &QueueId) -> usize {
        let is_pending = |job: &&Job| job.spec.queue == *queue && !job.started && job.is_open();
        self.jobs.values().filter(is_pending).count()
    }

    pub(crate) fn job_of(&self, task: TaskId) -> Option<&Job> {
        self.job_ids.get(&task.step.job).map(|&key| &self.jobs[key])
    }

    /// Returns the job of an attempt, without a lookup by id if possible: lookups were a
    /// large part of a pass over all attempts. An attempt of an earlier leader may be
    /// added before its job.
    pub(crate) fn job_of_attempt(&self, attempt: &Attempt) -> Option<&Job> {
        let known = attempt.job.and_then(|key| self.jobs.get(key));
        known.or_else(|| self.job_of(attempt.task))
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let key = *self.job_ids.get(&id.step.job)?;
        self.jobs[key].task_mut(id)
    }

    /// Makes a task prefer other workers, because it failed, stalled or was
    /// slow on this one.
    pub(crate) fn avoid_worker(&mut self, task: TaskId, worker: WorkerKey) {
        if let Some(task) = self.task_mut(task)
            && !task.avoided.contains(&worker)
        {
            task.avoided.push(worker);
        }
    }

    /// Marks a job as changed, so that the next batch contains its record.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if !job.dirty {
            job.dirty = true;
            self.dirty.push(key);
        }
        self.urgent |= job.ended.is_some();
    }

    /// Adds an attempt to all tables: it reserves capacity on its worker and
    /// counts against its team's limit.
    pub(crate) fn insert_attempt(&mut self, state: Attempt) -> AttemptKey {
        let (task, attempt, worker) = (state.task, state.attempt, state.worker);
        self.workers[worker].used.add(state.usage.as_ref());
        self.charge_team(state.usage.as_ref());
        let key = self.attempts.insert(state);
        self.workers[worker].attempts.push(key);
        self.attempt_ids.insert((task, attempt), key);
        if let Some(&job) = self.job_ids.get(&task.step.job) {
            self.attach_attempt(job, key);
        }
        key
    }

    /// Adds an attempt to its job and its task.
    fn attach_attempt(&mut self, job: JobKey, key: AttemptKey) {
        let (task, attempt) = (self.attempts[key].task, self.attempts[key].attempt);
        let job = &mut self.jobs[job];
        job.attempt_count += 1;
        let Some(step) = job.step_mut(task.step) else { return };
        // A worker may report any number.
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.attempts.push(key);
        state.last_attempt = state.last_attempt.max(attempt);
        step.waiting.remove(&task.index);
    }

    /// Adds the attempts to a new job that workers have reported before it was read. They
    /// are being stopped, and its tasks wait for that.
    pub(crate) fn attach_reported(&mut self, job: JobKey) {
        let id = self.jobs[job].id;
        let unknown = self.workers.values().filter(|worker| worker.used.unknown() > 0);
        let unknown = unknown.flat_map(|worker| worker.attempts.iter().copied());
        let reported: Vec<_> =
            unknown.filter(|&key| self.attempts[key].task.step.job == id).collect();
        for key in reported {
            let attempt = &mut self.attempts[key];
            let (task, worker) = (attempt.task, attempt.worker);
            let usage = self.jobs[job].usage(task.step.step);
            attempt.job = Some(job);
            attempt.usage = usage.clone();
            self.workers[worker].used.remove(None);
            self.workers[worker].used.add(usage.as_ref());
            self.charge_team(usage.as_ref());
            self.jobs[job].open_reported(task.step.occurrence);
            self.attach_attempt(job, key);
        }
    }

    /// Removes an attempt from all tables and returns its task to the waiting
    /// tasks if necessary.
    pub(crate) fn remove_attempt(&mut self, key: AttemptKey, proof: Proof, now: Instant) {
        let Some(state) = self.attempts.remove(key) else { return };
        self.attempt_ids.remove(&(state.task, state.attempt));
        let worker = &mut self.workers[state.worker];
        worker.attempts.retain(|&each| each != key);
        worker.used.remove(state.usage.as_ref());
        self.release_team(state.usage.as_ref());
        let Some(&job_key) = self.job_ids.get(&state.task.step.job) else { return };
        self.jobs[job_key].attempt_count -= 1;
        self.forget_crashes(job_key, &state, now);
        self.detach_attempt(job_key, key, &state, proof, now);
        if self.jobs[job_key].ended_durably {
            self.forget_if_finished(job_key);
        }
    }

    /// Counts an attempt against its team's limit.
    fn charge_team(&mut self, usage: Option<&Usage>) {
        let Some(usage) = usage else { return };
        if let Some(team) = &usage.team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(&usage.need);
        }
    }

    /// Ends that an attempt counts against its team's limit.
    fn release_team(&mut self, usage: Option<&Usage>) {
        let Some(usage) = usage else { return };
        if let Some(used) = usage.team.as_ref().and_then(|team| self.team_usage.get_mut(team)) {
            *used = used.minus(&usage.need);
        }
    }

    /// Removes an attempt from its task and keeps the attempt's checkpoint for the
    /// next attempt. Then returns the task to the waiting tasks, unless the task is
    /// done or has other attempts. The next attempt waits for [`TASK_RETRY_DELAY`],
    /// or for the delay of continuous tasks ([`CONTINUOUS_RETRY_DELAY`]), and not
    /// at all if the removed attempt never ran.
    ///
    /// An attempt that is started here has a copy of its task's checkpoint until
    /// its worker reports another one. If a task had several attempts, the
    /// checkpoint of the attempt that is removed last replaces the others, even if
    /// it is such a copy or is older than they are. An attempt without a checkpoint
    /// leaves the task's checkpoint unchanged.
    fn detach_attempt(
        &mut self,
        job: JobKey,
        key: AttemptKey,
        state: &Attempt,
        proof: Proof,
        now: Instant,
    ) {
        let continuous = self.spec_of(state.task).is_some_and(|spec| spec.continuous);
        let Some(step) = self.jobs[job].step_mut(state.task.step) else { return };
        let Some(task) = step.tasks.get_mut(state.task.index as usize) else { return };
        task.attempts.retain(|&each| each != key);
        if !state.checkpoint.is_empty() {
            task.checkpoint = state.checkpoint.clone();
        }
        let is_unrun = proof.finding().is_unrun();
        if is_unrun {
            task.withdraw_crash(state.attempt);
        }
        task.last_proof = Some(proof);
        if task.done || !task.attempts.is_empty() {
            return;
        }
        let delay = match (is_unrun, continuous) {
            (true, _) => Duration::ZERO,
            (_, true) => CONTINUOUS_RETRY_DELAY * (task.failed_attempts.len() as u32).min(4),
            (_, false) => TASK_RETRY_DELAY,
        };
        task.not_before = Some(now + delay);
        step.waiting.insert(state.task.index);
    }

    /// Drops a job from memory once its outcome is durable, its last attempt is
    /// removed, and no earlier leader may have started others on workers that have
    /// not answered: these count, and the job tells what they take.
    pub(crate) fn forget_if_finished(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.ended_durably && job.attempt_count == 0 && !self.may_be_unresolved(job) {
            self.queue_work.remove(&job.spec.queue, job.work);
            self.job_ids.remove(&job.id);
            self.jobs.remove(key);
        }
    }

    /// Sends a stop command for an attempt. Does nothing if the last one was
    /// sent less than [`STOP_RETRY_DELAY`] ago, or was answered and the attempt
    /// needs no other one.
    pub(crate) fn stop_attempt(&mut self, key: AttemptKey, reason: StopReason, now: Instant) {
        let attempt = &mut self.attempts[key];
        if attempt
            .stop_sent
            .is_some_and(|sent| now.saturating_duration_since(sent) < STOP_RETRY_DELAY)
        {
            return;
        }
        if attempt.stop_answered.is_some() && !attempt.needs_stop && attempt.phase != Phase::Running
        {
            return;
        }
        attempt.stop_sent = Some(now);
        if attempt.phase == Phase::Listing {
            // It was not sent, and is removed in the next round.
            return;
        }
        if attempt.phase == Phase::Running {
            attempt.phase = Phase::Stopping;
        }
        self.counts.stops += 1;
        let (task, number) = (attempt.task, attempt.attempt);
        let worker = &self.workers[attempt.worker];
        let (incarnation, token) = (worker.incarnation.clone(), worker.token);
        self.actions.push(Action::Stop { incarnation, token, task, attempt: number, reason });
    }

    /// Stops all attempts of a task that is done.
    pub(crate) fn stop_task_attempts(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.job_of(task) else { return };
        let attempts = job.task(task).map(|task| task.attempts.clone()).unwrap_or_default();
        for key in attempts {
            self.stop_attempt(key, StopReason::Duplicate, now);
        }
    }

    /// Sets the outcome of a job that has none yet.
    pub(crate) fn end_job(&mut self, key: JobKey, outcome: JobOutcome) {
        let job = &mut self.jobs[key];
        if job.ended.is_none() {
            job.ended = Some(outcome);
            self.mark_dirty(key);
        }
    }
}
