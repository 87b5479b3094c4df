//! Applies the report that a worker returns to a poll.

use std::collections::HashSet;

use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey, Phase};
use crate::jobs::checkpoint::Checkpoint;
use crate::workers::proof::{Exchange, Proof};
use crate::workers::worker::{WorkerClock, WorkerKey};
use crate::{
    AttemptNumber, AttemptOutcome, EndedAttempt, Report, RunningAttempt, Scheduler, StopReason,
    TaskId,
};

/// Longest checkpoint that is kept, in bytes. Checkpoints are part of a job's record, and
/// the store refuses records that are too large.
const MAX_CHECKPOINT_BYTES: usize = 512;
/// Number of ends at which a worker's report is full.
const MAX_ENDS_PER_REPORT: usize = 500;

impl Scheduler {
    /// Applies a worker's report to a poll that was sent at `sent`. Returns
    /// whether its incarnation is not recorded and has to be recorded before
    /// the worker gets work.
    pub fn apply_report(
        &mut self,
        id: &HostId,
        report: &Report,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(&key) = self.worker_ids.get(id) else { return false };
        if let Some(start_ms) = report.start_ms
            && start_ms != self.workers[key].incarnation.start_ms
        {
            if !self.workers[key].is_later_start(start_ms, sent) {
                return false;
            }
            self.begin_incarnation(key, start_ms, Exchange { sent, read: now });
        }
        self.note_fence(key, sent, now);
        let is_full = report.ended.len() >= MAX_ENDS_PER_REPORT;
        if self.unresolved.expiry(id).is_some() {
            // The end of a task that an earlier leader has started may be in the next report.
            if !is_full {
                self.clear_unresolved(id, Exchange { sent, read: now });
            }
            self.workers[key].require_record();
        }
        if self.workers[key].has_lapsed(now) {
            // Records that were taken since its lease ended leave it out.
            self.workers[key].recorded = false;
        }
        self.end_others_on_machine(key, sent, now);
        // The worker still answers although it should be gone by now, so the
        // command to take its machine away had taken effect before.
        let worker = &mut self.workers[key];
        worker.gone = false;
        // It has answered a poll that was sent after the command was said to be done.
        worker.departure.take_if(|departure| sent > departure.seen.read);
        if worker.leaving && worker.backoff_until.is_none_or(|until| until <= now) {
            worker.leaving = false;
        }
        self.resolve_unanswered_move(key, sent);
        if self.may_unseal(key) {
            self.workers[key].sealed = false;
            self.workers[key].require_record();
        }
        let bound = self.rules.lease_bound();
        let worker = &mut self.workers[key];
        if !worker.polled {
            // An earlier leader may have renewed its lease just before.
            worker.lease_end = worker.lease_end.max(now + bound);
        }
        worker.polled = true;
        self.withdraw_crash(key);
        let worker = &mut self.workers[key];
        let was_unreachable = worker.unreachable_since.take().is_some();
        worker.last_poll = Some(now);
        worker.ends_truncated = is_full;
        worker.clock = Some(WorkerClock { reading_ms: report.clock_ms, asked: sent, at: now });
        let recorded = worker.recorded;
        let seen = Exchange { sent, read: now };
        for end in &report.ended {
            self.apply_end(key, end, seen);
        }
        let listed: HashSet<_> =
            report.running.iter().map(|running| (running.task, running.attempt)).collect();
        for reported in &report.running {
            self.apply_running(key, reported, now);
        }
        // A full list of ends continues in the next report, which may contain
        // the end of an absent attempt.
        if !self.workers[key].ends_truncated {
            self.resolve_absent(key, &listed, report.clock_ms, seen);
        }
        if was_unreachable {
            self.repeat_late_stops(key);
        }
        self.stop_late_starts(key, now);
        !recorded
    }

    /// Applies an end unless an earlier report has contained it.
    fn apply_end(&mut self, worker: WorkerKey, end: &EndedAttempt, seen: Exchange) {
        let now = seen.read;
        if end.number <= self.workers[worker].received {
            return;
        }
        self.workers[worker].received = end.number;
        self.workers[worker].uncommitted_ends.push((end.number, end.task));
        self.open_occurrence(end.task);
        self.withdraw_mark(end.task, end.attempt);
        self.late_starts.forget(&self.workers[worker].incarnation.id, end.task, end.attempt);
        let mut key = self.attempt_ids.get(&(end.task, end.attempt)).copied();
        if key.is_some_and(|key| self.attempts[key].worker != worker) {
            key = None;
        }
        if let Some(key) = key
            && is_usable(&end.checkpoint)
        {
            self.attempts[key].checkpoint.set(&end.checkpoint, now);
        }
        match end.outcome {
            AttemptOutcome::Done => self.apply_done(worker, end, key, seen),
            AttemptOutcome::Failed => self.apply_failed(worker, end, key, seen),
            AttemptOutcome::Stopped
            | AttemptOutcome::LeaseExpired
            | AttemptOutcome::GangBroken
            | AttemptOutcome::GangIncomplete => {
                self.keep_checkpoint(end, now);
                if let Some(key) = key {
                    self.counts.lost += u64::from(end.outcome == AttemptOutcome::LeaseExpired);
                    self.remove_ended(key, end, seen);
                }
            }
        }
    }

    /// Removes an attempt whose end a report lists.
    fn remove_ended(&mut self, key: AttemptKey, end: &EndedAttempt, seen: Exchange) {
        let attempt = &self.attempts[key];
        let proof = Proof::by_end(attempt, &self.workers[attempt.worker], end, seen);
        self.remove_proven(key, proof, seen.read);
    }

    /// Opens the occurrence of a task that runs or has ended on a worker. The
    /// occurrence was due, even if the clock here says otherwise.
    fn open_occurrence(&mut self, task: TaskId) {
        if let Some(&job) = self.job_ids.get(&task.step.job) {
            self.jobs[job].open_reported(task.step.occurrence);
        }
    }

    fn apply_done(
        &mut self,
        worker: WorkerKey,
        end: &EndedAttempt,
        key: Option<AttemptKey>,
        seen: Exchange,
    ) {
        let now = seen.read;
        self.counts.done += 1;
        self.record_success(worker);
        if let Some(key) = key {
            self.record_completion(key, now);
        }
        let Some(&job_key) = self.job_ids.get(&end.task.step.job) else {
            // The job has ended, so there is nothing to record.
            if let Some(key) = key {
                self.remove_ended(key, end, seen);
            }
            return;
        };
        let gang = self.spec_of(end.task).is_some_and(|spec| spec.gang);
        let job = &mut self.jobs[job_key];
        job.started = true;
        if let Some(step) = job.step_mut(end.task.step) {
            // The end of one member completes all members of a gang.
            if gang {
                (0..step.tasks.len() as u32).for_each(|index| _ = step.set_done(index));
            } else {
                step.set_done(end.task.index);
            }
        }
        self.mark_dirty(job_key);
        if let Some(key) = key {
            self.remove_ended(key, end, seen);
        }
        if !gang {
            self.stop_task_attempts(end.task, now);
        }
        if let Some(&job_key) = self.job_ids.get(&end.task.step.job) {
            self.finish_if_done(job_key);
        }
    }

    /// Records what an attempt that completed its task shows about its duration and its
    /// worker.
    fn record_completion(&mut self, key: AttemptKey, now: Instant) {
        let attempt = self.attempts[key].clone();
        // The duration of a slow attempt was recorded when it was found to be slow.
        if let Some(ratio) = self.observe_duration(&attempt, now)
            && !attempt.slow
        {
            let health = &mut self.workers[attempt.worker].health;
            health.record_duration(ratio, attempt.started, now);
        }
        self.record_evidence(&attempt, false, now);
        let took = now.saturating_duration_since(attempt.started);
        if let Some(&job) = self.job_ids.get(&attempt.task.step.job) {
            self.jobs[job].record_completion(attempt.task, attempt.worker, took);
        }
    }

    fn apply_failed(
        &mut self,
        worker: WorkerKey,
        end: &EndedAttempt,
        key: Option<AttemptKey>,
        seen: Exchange,
    ) {
        let now = seen.read;
        self.counts.failed += 1;
        self.keep_checkpoint(end, now);
        self.record_task_failure(end.task, end.attempt);
        self.record_worker_failure(worker, end.task.step.job, now);
        self.avoid_worker(end.task, worker);
        if let Some(key) = key {
            let attempt = self.attempts[key].clone();
            self.record_evidence(&attempt, true, now);
            self.remove_ended(key, end, seen);
        }
        if let Some(&job) = self.job_ids.get(&end.task.step.job)
            && !self.jobs[job].is_open()
        {
            self.stop_job_attempts(job, now);
        }
    }

    /// Keeps the last checkpoint of an ended attempt for the next attempt of
    /// its task, and has it written before the end is acknowledged.
    fn keep_checkpoint(&mut self, end: &EndedAttempt, now: Instant) {
        if !is_usable(&end.checkpoint) {
            return;
        }
        let Some(task) = self.task_mut(end.task).filter(|task| !task.done) else { return };
        task.checkpoint.set(&end.checkpoint, now);
        // The worker forgets it once the end is acknowledged.
        if let Some(&job) = self.job_ids.get(&end.task.step.job) {
            self.mark_dirty(job);
        }
    }

    fn apply_running(&mut self, worker: WorkerKey, reported: &RunningAttempt, now: Instant) {
        let id = &self.workers[worker].incarnation.id;
        self.late_starts.forget(id, reported.task, reported.attempt);
        let found = self.attempt_ids.get(&(reported.task, reported.attempt)).copied();
        let Some(key) = found.filter(|&key| self.attempts[key].worker == worker) else {
            self.adopt(worker, reported, now);
            return;
        };
        self.confirm(key, now);
        let life = self.workers[worker].incarnation.start_ms;
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.life = life;
        let is_first = !std::mem::replace(&mut attempt.reported, true);
        if attempt.percent != reported.percent {
            attempt.percent = reported.percent;
            attempt.last_progress = now;
        }
        if is_usable(&reported.checkpoint) {
            attempt.checkpoint.set(&reported.checkpoint, now);
        }
        attempt.gauge = reported.gauge;
        if attempt.phase == Phase::Stopping {
            // The stop command or its answer was lost.
            self.stop_attempt(key, StopReason::JobEnded, now);
        }
        if is_first {
            // A crash of an earlier incarnation was none under it.
            self.withdraw_mark(reported.task, reported.attempt);
        }
    }

    /// Adds an attempt that an earlier leader started. Stops it if its job is
    /// unknown or has ended, if its task is done, or if the task has another
    /// attempt and its step permits only one. Until it has ended it counts, even
    /// if what it takes is not known.
    fn adopt(&mut self, worker: WorkerKey, reported: &RunningAttempt, now: Instant) {
        self.open_occurrence(reported.task);
        self.withdraw_mark(reported.task, reported.attempt);
        self.withdraw_unsent(reported.task, now);
        let state = self.adopted_state(worker, reported, now);
        let wanted = self.job_of(reported.task).is_some_and(|job| {
            let speculative = self.spec_of(reported.task).is_some_and(|spec| spec.speculative);
            let task = job.task(reported.task);
            job.is_open()
                && task.is_some_and(|task| !task.done && (speculative || task.attempts.is_empty()))
        });
        let key = self.insert_attempt(state);
        self.confirm(key, now);
        if !wanted && self.attempts.contains_key(key) {
            self.stop_attempt(key, StopReason::JobEnded, now);
        }
    }

    fn adopted_state(&self, worker: WorkerKey, reported: &RunningAttempt, now: Instant) -> Attempt {
        let job = self.job_of(reported.task);
        let mut checkpoint = Checkpoint::default();
        if is_usable(&reported.checkpoint) {
            checkpoint.set(&reported.checkpoint, now);
        }
        Attempt {
            task: reported.task,
            job: self.job_ids.get(&reported.task.step.job).copied(),
            attempt: reported.attempt,
            worker,
            life: self.workers[worker].incarnation.start_ms,
            usage: job.and_then(|job| job.usage(reported.task.step.step)),
            phase: Phase::Running,
            started: now,
            adopted: true,
            expires_ms: 0,
            confirmed: Some(now),
            reported: true,
            matched: false,
            stop_sent: None,
            stop_answered: None,
            needs_stop: false,
            checkpoint,
            percent: reported.percent,
            complete_run: false,
            last_progress: now,
            slow: false,
            gauge: reported.gauge,
            speed_percent: 100,
            speed_changed: None,
        }
    }

    /// Resolves attempts that the worker does not report any more.
    fn resolve_absent(
        &mut self,
        worker: WorkerKey,
        listed: &HashSet<(TaskId, AttemptNumber)>,
        clock_ms: u64,
        seen: Exchange,
    ) {
        for key in self.workers[worker].attempts.clone() {
            let attempt = &self.attempts[key];
            if listed.contains(&(attempt.task, attempt.attempt)) {
                continue;
            }
            let on = &self.workers[worker];
            let may_arrive = self.may_arrive(attempt, seen.sent);
            let proof = Proof::by_absence(attempt, on, clock_ms, seen, may_arrive);
            self.remove_proven(key, proof, seen.read);
        }
    }
}

/// Whether a checkpoint is one, and is short enough to be kept. Without it the task starts
/// from the beginning.
fn is_usable(checkpoint: &SmolStr) -> bool {
    !checkpoint.is_empty() && checkpoint.len() <= MAX_CHECKPOINT_BYTES
}
