//! Scheduling passes, which assign waiting tasks to workers.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::{Attempt, AttemptKey, Phase};
use crate::jobs::checkpoint::Checkpoint;
use crate::jobs::crashes::CrashState;
use crate::jobs::job::{Job, JobKey};
use crate::order::rank::{Rank, RankInput, rank};
use crate::placement::place::PlacementRequest;
use crate::rules::{START_VALIDITY, WORKER_CLOCK_MARGIN, clock_bound};
use crate::workers::worker::WorkerKey;
use crate::{
    Action, AttemptNumber, Scheduler, StartCommand, StartGround, StepId, StepSpec, StopReason,
    TaskId,
};

/// A scheduling pass over one pool.
pub(crate) struct PoolPass {
    pub(crate) workers: Vec<WorkerKey>,
    /// Reservations that fit on no worker; larger ones are not tried.
    misfits: Vec<Resources>,
    /// Number of workers that are kept free.
    pub(crate) held: usize,
}

impl PoolPass {
    pub(crate) fn new(workers: Vec<WorkerKey>) -> PoolPass {
        PoolPass { workers, misfits: Vec::new(), held: 0 }
    }

    /// Whether a task has found no worker with enough free capacity.
    pub(crate) fn is_full(&self) -> bool {
        !self.misfits.is_empty()
    }

    /// Whether such a task fits on no worker.
    pub(crate) fn is_misfit(&self, reservation: &Resources) -> bool {
        self.misfits.iter().any(|each| each.fits(reservation))
    }

    /// Starts nothing more on a worker in this round.
    pub(crate) fn hold(&mut self, worker: WorkerKey) {
        self.workers.retain(|&each| each != worker);
        self.held += 1;
    }
}

impl Scheduler {
    /// Decides what to do now, at monotonic time `now` and wall time `wall`.
    pub fn plan(&mut self, now: Instant, wall: SystemTime) -> Vec<Action> {
        if self.frozen {
            return Vec::new();
        }
        self.expire_unresolved(now);
        self.forget_resolved_jobs();
        self.open_unresolved(wall);
        self.unresolved_usage = self.measure_unresolved();
        self.unknown_usage = self.measure_unknown();
        self.send_named_starts(now);
        if self.cadence.is_attempt_check(now) {
            self.resend_stops(now);
            self.stop_stalled(now);
            self.handle_slow_attempts(now);
            self.evacuate_draining(now);
            self.stop_broken_gangs(now);
            self.throttle_best_effort(now);
        }
        if self.cadence.is_fleet_check(now) {
            self.expire_workers(now);
            self.judge_workers(now);
            self.maintain(now);
            self.resize(now);
            self.start_speculative(now);
        }
        self.review_trials(now);
        self.adviser.begin_round(now);
        self.evict_from_drained_zones(now);
        let starting = |attempt: &&Attempt| attempt.phase == Phase::Starting;
        let unanswered = self.attempts.values().filter(starting).count();
        self.start_window.begin_round(unanswered, now);
        self.place_all(now, wall);
        self.ask_adviser(now);
        std::mem::take(&mut self.actions)
    }

    /// Stops continuous tasks on workers that are about to leave, so that they
    /// move. Other tasks may end there in time.
    fn evacuate_draining(&mut self, now: Instant) {
        let draining = self.workers.values().filter(|worker| worker.draining);
        let attempts: Vec<_> =
            draining.flat_map(|worker| worker.attempts.iter().copied()).collect();
        for attempt in attempts {
            let continuous =
                self.spec_of(self.attempts[attempt].task).is_some_and(|spec| spec.continuous);
            if continuous && self.attempts[attempt].is_running() {
                self.stop_attempt(attempt, StopReason::WorkerLeaves, now);
            }
        }
    }

    /// Sends stop commands again for attempts that are unresolved or stopping.
    fn resend_stops(&mut self, now: Instant) {
        let is_pending = |phase| matches!(phase, Phase::Unresolved | Phase::Stopping);
        let keys: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_pending(attempt.phase))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let attempt = &self.attempts[key];
            if attempt.stop_answered.is_none()
                && self.workers[attempt.worker].unreachable_since.is_none()
                && !self.may_go_on(key)
            {
                self.stop_attempt(key, StopReason::Unanswered, now);
            }
        }
    }

    /// Returns the workers of a pool that can be given work now and are not on probation.
    pub(crate) fn usable_workers(&self, pool: &PoolId, now: Instant) -> Vec<WorkerKey> {
        let usable = |worker: &crate::workers::worker::Worker| {
            worker.incarnation.pool == *pool
                && worker.health.probation.is_none()
                && worker.is_usable(now)
        };
        let workers = self.workers.iter().filter(|(_, worker)| usable(worker));
        workers.map(|(key, _)| key).collect()
    }

    /// Returns how long before it is due an occurrence opens.
    pub(crate) fn early_opening(&self) -> Duration {
        self.rules.early_start / 2
    }

    /// Opens the occurrences that are due, and returns the open jobs with
    /// waiting tasks in the order in which they are served.
    pub(crate) fn rank_jobs(&mut self, wall: SystemTime) -> Vec<(Rank, JobKey)> {
        let early = self.early_opening();
        let (mut ranked, mut moving) = (Vec::new(), Vec::new());
        for (key, job) in &mut self.jobs {
            if !job.is_open() {
                continue;
            }
            job.open_due(wall, early);
            if !has_waiting(job) {
                continue;
            }
            job.correct(self.durations.of(&job.spec.queue));
            let Some(accepted) = self.config.resolve_queue(&job.spec) else { continue };
            if accepted.target().is_some_and(|pool| job.pools.retarget(pool)) {
                moving.push(key);
            }
            let queue = accepted.queue();
            let mean_work = self.queue_work.mean(&job.spec.queue).unwrap_or(job.work);
            ranked.push((rank(&rank_input(job, queue, mean_work, wall)), key));
        }
        moving.into_iter().for_each(|key| self.mark_dirty(key));
        ranked.sort_unstable();
        ranked
    }

    /// Starts waiting tasks of the ready steps of a job.
    pub(crate) fn place_job(&mut self, key: JobKey, pass: &mut PoolPass, now: Instant) {
        let job = &self.jobs[key];
        if self.may_run_unseen(job) {
            return;
        }
        let waiting = job.ready_steps().filter(|ready| !ready.step.waiting.is_empty());
        let steps: Vec<_> = waiting.map(|ready| (ready.id, ready.spec.gang)).collect();
        for (step, gang) in steps {
            if gang {
                let job = &self.jobs[key];
                let spec = &job.spec.steps[usize::from(step.step)];
                let mut workers = self.workers_for_whole(job.pool(), spec, &pass.workers, now);
                // Its members are present together, so that none may wait to be named.
                workers.retain(|&each| !self.workers[each].listed);
                self.place_gang(key, step, &workers, now);
            } else {
                self.place_step(key, step, pass, now);
            }
        }
    }

    /// Whether an earlier leader may have started tasks of a job on workers
    /// that are unresolved and whose tasks are not recorded.
    pub(crate) fn may_run_unseen(&self, job: &Job) -> bool {
        job.is_earlier && job.pools.occupied().any(|pool| self.unresolved.affects_pool(pool))
    }

    /// Starts waiting tasks of a step until one finds no worker, the team's limit is
    /// reached, or too many starts are unanswered.
    fn place_step(&mut self, key: JobKey, id: StepId, pass: &mut PoolPass, now: Instant) {
        let spec = Arc::clone(&self.jobs[key].spec);
        let step = &spec.steps[usize::from(id.step)];
        let waiting: Vec<u32> = self.jobs[key]
            .step(id.occurrence, id.step)
            .map(|step| step.waiting.iter().copied().collect())
            .unwrap_or_default();
        let advised = self.needs_adviser(key);
        if advised {
            self.request_advice(key, id, now);
        }
        self.try_suspects(key, id, pass, now);
        if !self.jobs[key].is_open() {
            return;
        }
        // Only such a step fits on no worker solely for lack of capacity.
        let unrestricted =
            !advised && !step.continuous && step.label.is_none() && step.per_worker.is_none();
        for index in waiting {
            let task = TaskId { step: id, index };
            if !self.is_startable(key, task, step, now) {
                continue;
            }
            if (unrestricted && pass.is_misfit(&step.reservation()))
                || !self.team_allows(key, &step.need)
                || !self.start_window.allows(1)
            {
                return;
            }
            let found = self.find_worker(key, task, &pass.workers, now);
            let found = found.or_else(|| self.find_doubtful_worker(key, task, pass, now));
            let Some(worker) = found else {
                if unrestricted {
                    pass.misfits.push(step.reservation());
                }
                if step.continuous {
                    self.unplaced_pools.insert(self.jobs[key].pool().clone());
                    self.preempt_for(key, task, &pass.workers, now);
                }
                return;
            };
            let attempt = self.next_attempt(key, task);
            self.start(key, task, attempt, worker, now);
        }
    }

    /// Whether a waiting task is not paused, no worker is thought to have crashed for it,
    /// and it can't run already as an attempt of an earlier leader.
    pub(crate) fn is_startable(
        &self,
        key: JobKey,
        task: TaskId,
        step: &StepSpec,
        now: Instant,
    ) -> bool {
        self.may_start(key, task, step, now)
            && self.jobs[key]
                .task(task)
                .is_some_and(|state| self.crash_state(state, step, now) == CrashState::Clear)
    }

    /// The same for a task that may be a suspect.
    pub(crate) fn may_start(
        &self,
        key: JobKey,
        task: TaskId,
        step: &StepSpec,
        now: Instant,
    ) -> bool {
        let state = self.jobs[key].task(task);
        let paused = state.is_none_or(|task| task.not_before.is_some_and(|at| at > now));
        !paused && (step.speculative || !self.unresolved.includes(task))
    }

    /// Returns a worker for a continuous task that may be on probation, if the others
    /// could not hold the task's step.
    fn find_doubtful_worker(
        &self,
        key: JobKey,
        task: TaskId,
        pass: &PoolPass,
        now: Instant,
    ) -> Option<WorkerKey> {
        let step = self.spec_of(task).filter(|step| step.continuous)?;
        if !self.quarantine.is_active {
            return None;
        }
        let workers = self.workers_for_whole(self.jobs[key].pool(), step, &pass.workers, now);
        self.find_worker(key, task, &workers, now)
    }

    pub(crate) fn find_worker(
        &self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let request = self.placement_request(key, task, now)?;
        self.find_place(&request, workers, &[], now)
    }

    /// Returns the request of one task for a worker.
    pub(crate) fn placement_request(
        &self,
        key: JobKey,
        task: TaskId,
        now: Instant,
    ) -> Option<PlacementRequest<'_>> {
        let job = &self.jobs[key];
        Some(PlacementRequest {
            task,
            spec: job.spec.steps.get(usize::from(task.step.step))?,
            step: job.step(task.step.occurrence, task.step.step)?,
            advised: self.needs_adviser(key),
            at_risk: self.expects_crashes(job.pool(), now),
            rack: None,
        })
    }

    /// Whether the team of a job may use `need` in addition to what it uses and
    /// may be using. Attempts of an unknown team may be those of this one.
    pub(crate) fn team_allows(&self, key: JobKey, need: &Resources) -> bool {
        let Some(team) = &self.jobs[key].spec.team else { return true };
        let Some(limits) = self.limits_of(team) else { return true };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        let unresolved = self.unresolved_usage.get(team).copied().unwrap_or_default();
        limits.allows(&used.plus(&unresolved).plus(&self.unknown_usage), need)
    }

    pub(crate) fn next_attempt(&self, key: JobKey, task: TaskId) -> AttemptNumber {
        let last = self.jobs[key].task(task).map(|task| task.last_attempt).unwrap_or_default();
        self.token.attempt_after(last)
    }

    /// Starts an attempt of a task on a worker, as soon as the worker's record permits.
    pub(crate) fn start(
        &mut self,
        key: JobKey,
        task: TaskId,
        attempt: AttemptNumber,
        worker: WorkerKey,
        now: Instant,
    ) {
        let Some(state) = self.jobs[key].task(task) else { return };
        let checkpoint = state.checkpoint.clone();
        self.start_from(key, task, attempt, checkpoint, worker, now);
    }

    /// Starts an attempt that continues from a checkpoint.
    pub(crate) fn start_from(
        &mut self,
        key: JobKey,
        task: TaskId,
        attempt: AttemptNumber,
        checkpoint: Checkpoint,
        worker: WorkerKey,
        now: Instant,
    ) {
        let Some(usage) = self.jobs[key].usage(task.step.step) else { return };
        let attempt = self.insert_attempt(Attempt {
            task,
            job: Some(key),
            attempt,
            worker,
            life: self.workers[worker].incarnation.start_ms,
            usage: Some(usage),
            phase: Phase::Listing,
            started: now,
            adopted: false,
            expires_ms: 0,
            watched: false,
            confirmed: None,
            reported: false,
            stop_sent: None,
            stop_answered: None,
            needs_stop: false,
            checkpoint: checkpoint.clone(),
            percent: 0,
            complete_run: checkpoint.is_empty(),
            last_progress: now,
            slow: false,
            gauge: 0.0,
            speed_percent: 100,
            speed_changed: None,
        });
        if self.workers[worker].listed {
            self.records_changed = true;
        } else {
            self.send_start(attempt, now);
        }
    }

    /// Sends the start command of an attempt.
    pub(crate) fn send_start(&mut self, key: AttemptKey, now: Instant) {
        let Attempt { task, attempt: number, worker, .. } = self.attempts[key];
        let checkpoint = self.attempts[key].checkpoint.value.clone();
        let Some(job) = self.job_of(task) else { return self.remove_unsent(key, now) };
        let payload = Arc::clone(&job.spec.payload);
        let ground = self.start_ground(job, key);
        let step = job.step(task.step.occurrence, task.step.step);
        let ticket = step.and_then(|step| step.tickets.get(worker, now)).cloned();
        let Some(clock) = self.workers[worker].clock else { return self.remove_unsent(key, now) };
        let deadline_ms = clock.reading(now) + START_VALIDITY.as_millis() as u64;
        // The attempt may begin until the command has expired on the worker's
        // clock.
        let bound = clock_bound(START_VALIDITY);
        let chosen = &mut self.workers[worker];
        chosen.lease_end = chosen.lease_end.max(now + bound);
        chosen.call_sent = Some(now);
        let watched = chosen.poll_open;
        let (incarnation, token) = (chosen.incarnation.clone(), chosen.token);
        let sent = &mut self.attempts[key];
        sent.phase = Phase::Starting;
        sent.life = incarnation.start_ms;
        sent.started = now;
        sent.watched = watched;
        sent.last_progress = now;
        sent.expires_ms = deadline_ms + WORKER_CLOCK_MARGIN.as_millis() as u64;
        self.counts.starts += 1;
        self.start_window.add();
        let start = StartCommand {
            incarnation,
            token,
            task,
            attempt: number,
            payload,
            deadline_ms,
            checkpoint,
            ticket: ticket.unwrap_or_default(),
            ground,
        };
        self.actions.push(Action::Start(start));
    }

    /// Returns why an attempt of a job may start although others of its task were started.
    fn start_ground(&self, job: &Job, key: AttemptKey) -> StartGround {
        let id = self.attempts[key].task;
        let Some(task) = job.task(id) else { return StartGround::New };
        if task.attempts.iter().any(|&each| each != key) {
            return StartGround::Copy;
        }
        match &task.last_proof {
            Some(proof) => StartGround::After(proof.clone()),
            None if job.is_earlier => {
                let release = self.unresolved.release(id, job.pools.occupied());
                release.cloned().map_or(StartGround::Unrecorded, StartGround::Released)
            }
            None => StartGround::New,
        }
    }
}

fn has_waiting(job: &Job) -> bool {
    job.occurrences
        .iter()
        .any(|occurrence| occurrence.steps.iter().any(|step| !step.waiting.is_empty()))
}

/// Returns the input of a job's rank, by its first open occurrence.
pub(crate) fn rank_input(
    job: &Job,
    queue: &crate::Queue,
    mean_work: f64,
    wall: SystemTime,
) -> RankInput {
    let occurrence = job.occurrences.first();
    let due = match (job.spec.schedule, occurrence) {
        (Some(schedule), Some(occurrence)) => schedule.due(occurrence.number),
        _ => job.spec.accepted,
    };
    let left = job.remaining();
    let critical_path = job.critical_paths.iter().copied().max().unwrap_or_default();
    RankInput {
        continuous: job.spec.is_continuous(),
        priority: queue.priority,
        age: wall.duration_since(due).unwrap_or_default(),
        critical_path,
        remaining_path: left.path,
        stretch: queue.stretch,
        slack: queue.slack,
        work: job.work,
        remaining_work: left.work,
        mean_work,
    }
}
