//! What a look at a worker shows.

use std::collections::HashSet;

use vg_base::prelude::*;

use crate::attempt::{Attempt, AttemptKey, Phase};
use crate::scheduler::Removed;
use crate::worker::{WorkerClock, WorkerKey};
use crate::{
    AttemptNumber, AttemptOutcome, EndedAttempt, Report, RunningAttempt, Scheduler, StopReason,
    TaskId,
};

/// Ends that a worker lists at once.
const ENDS_PAGE: usize = 500;

impl Scheduler {
    /// Takes a worker's answer to a look that was sent at `sent`. Returns
    /// whether its life is new and has to be recorded before it gets work.
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
            if start_ms < self.workers[key].incarnation.start_ms {
                return false;
            }
            self.begin_incarnation(key, start_ms, now);
        }
        if self.unresolved.until(id).is_some() {
            self.clear_unresolved(id);
            self.workers[key].await_record();
        }
        // The order that was to take its machine had been carried out before.
        let worker = &mut self.workers[key];
        if worker.leaving && worker.rest_until.is_none_or(|until| until <= now) {
            worker.leaving = false;
        }
        if self.may_open(key) {
            self.workers[key].closed = false;
            self.workers[key].await_record();
        }
        let bound = self.rules.lease_bound();
        let worker = &mut self.workers[key];
        if !worker.heard {
            // An earlier leader may have renewed its lease just before.
            worker.lease_end = worker.lease_end.max(now + bound);
        }
        worker.heard = true;
        worker.silent = None;
        worker.answered = Some(now);
        worker.more_ends = report.ended.len() >= ENDS_PAGE;
        worker.clock = Some(WorkerClock { millis: report.clock_ms, at: now });
        let recorded = worker.recorded;
        for row in &report.ended {
            self.take_end(key, row, now);
        }
        let there: HashSet<_> = report.running.iter().map(|row| (row.task, row.attempt)).collect();
        for row in &report.running {
            self.take_row(key, row, now);
        }
        // A full list of ends goes on in the next look: what is absent may have
        // ended there.
        if !self.workers[key].more_ends {
            self.settle_absent(key, &there, report.clock_ms, sent, now);
        }
        !recorded
    }

    fn take_end(&mut self, worker: WorkerKey, row: &EndedAttempt, now: Instant) {
        if row.number <= self.workers[worker].read {
            return;
        }
        self.workers[worker].read = row.number;
        self.workers[worker].unsettled.push((row.number, row.task));
        self.open_occurrence(row.task);
        let mut key = self.attempt_ids.get(&(row.task, row.attempt)).copied();
        if key.is_some_and(|key| self.attempts[key].worker != worker) {
            key = None;
        }
        if let Some(key) = key
            && !row.checkpoint.is_empty()
        {
            self.attempts[key].checkpoint = row.checkpoint.clone();
        }
        match row.outcome {
            AttemptOutcome::Done => self.take_done(worker, row, key, now),
            AttemptOutcome::Failed => self.take_failed(worker, row, key, now),
            AttemptOutcome::Stopped
            | AttemptOutcome::LeaseExpired
            | AttemptOutcome::GangBroken
            | AttemptOutcome::GangIncomplete => {
                self.keep_checkpoint(row);
                if let Some(key) = key {
                    self.counts.lost += u64::from(row.outcome == AttemptOutcome::LeaseExpired);
                    self.remove_attempt(key, Removed::Over, now);
                }
            }
        }
    }

    /// Opens the occurrence of a task that runs or has ended on a worker: it was
    /// due, whatever the clock here says.
    fn open_occurrence(&mut self, task: TaskId) {
        if let Some(&job) = self.job_ids.get(&task.step.job) {
            self.jobs[job].open_through(task.step.occurrence);
        }
    }

    fn take_done(
        &mut self,
        worker: WorkerKey,
        row: &EndedAttempt,
        key: Option<AttemptKey>,
        now: Instant,
    ) {
        self.counts.done += 1;
        self.note_good(worker);
        if let Some(key) = key {
            let took = now.saturating_duration_since(self.attempts[key].since);
            if let Some(task) = self.task_mut(row.task) {
                task.took = Some((worker, took));
            }
        }
        let Some(&job_key) = self.job_ids.get(&row.task.step.job) else {
            // The job has ended: nothing is left to note.
            if let Some(key) = key {
                self.remove_attempt(key, Removed::Over, now);
            }
            return;
        };
        let gang = self.spec_of(row.task).is_some_and(|spec| spec.gang);
        let job = &mut self.jobs[job_key];
        job.began = true;
        if let Some(step) = job.step_mut(row.task.step) {
            // One end of a gang stands for all of its members.
            if gang {
                (0..step.tasks.len() as u32).for_each(|index| _ = step.set_done(index));
            } else {
                step.set_done(row.task.index);
            }
        }
        self.mark_dirty(job_key);
        if let Some(key) = key {
            self.remove_attempt(key, Removed::Over, now);
        }
        if !gang {
            self.stop_copies(row.task, now);
        }
        if let Some(&job_key) = self.job_ids.get(&row.task.step.job) {
            self.settle_job(job_key);
        }
    }

    fn take_failed(
        &mut self,
        worker: WorkerKey,
        row: &EndedAttempt,
        key: Option<AttemptKey>,
        now: Instant,
    ) {
        self.counts.failed += 1;
        self.keep_checkpoint(row);
        self.note_failure(row.task, row.attempt);
        self.note_bad(worker, row.task.step.job, now);
        self.avoid(row.task, worker);
        if let Some(key) = key {
            self.remove_attempt(key, Removed::Over, now);
        }
        if let Some(&job) = self.job_ids.get(&row.task.step.job)
            && !self.jobs[job].is_open()
        {
            self.stop_job(job, now);
        }
    }

    fn keep_checkpoint(&mut self, row: &EndedAttempt) {
        if row.checkpoint.is_empty() {
            return;
        }
        if let Some(task) = self.task_mut(row.task)
            && !task.done
        {
            task.checkpoint = row.checkpoint.clone();
        }
    }

    fn take_row(&mut self, worker: WorkerKey, row: &RunningAttempt, now: Instant) {
        let found = self.attempt_ids.get(&(row.task, row.attempt)).copied();
        let Some(key) = found.filter(|&key| self.attempts[key].worker == worker) else {
            self.adopt(worker, row, now);
            return;
        };
        self.confirm(key, now);
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.percent != row.percent {
            attempt.percent = row.percent;
            attempt.moved = now;
        }
        if !row.checkpoint.is_empty() {
            attempt.checkpoint = row.checkpoint.clone();
        }
        attempt.gauge = row.gauge;
        if attempt.phase == Phase::Stopping {
            // The answer to the stop, or the stop itself, was lost.
            self.stop_attempt(key, StopReason::JobEnded, now);
        }
    }

    /// Takes over a run of an earlier leader, or stops it if it isn't wanted.
    fn adopt(&mut self, worker: WorkerKey, row: &RunningAttempt, now: Instant) {
        self.open_occurrence(row.task);
        let state = self.adopted_state(worker, row, now);
        let wanted = self.job_of(row.task).is_some_and(|job| {
            let speculative = self.spec_of(row.task).is_some_and(|spec| spec.speculative);
            let task = job.task(row.task);
            job.is_open()
                && task.is_some_and(|task| !task.done && (speculative || task.attempts.is_empty()))
        });
        let key = self.insert_attempt(state);
        self.confirm(key, now);
        if !wanted && self.attempts.contains_key(key) {
            self.stop_attempt(key, StopReason::JobEnded, now);
        }
    }

    fn adopted_state(&self, worker: WorkerKey, row: &RunningAttempt, now: Instant) -> Attempt {
        let job = self.job_of(row.task);
        let step = self.spec_of(row.task);
        Attempt {
            task: row.task,
            attempt: row.attempt,
            worker,
            room: step.map(crate::StepSpec::room).unwrap_or_default(),
            need: step.map(|step| step.need).unwrap_or_default(),
            team: job.and_then(|job| job.spec.team.clone()),
            phase: Phase::Running,
            since: now,
            expires: 0,
            confirmed: Some(now),
            stop_sent: None,
            stop_answered: None,
            needs_stop: false,
            checkpoint: row.checkpoint.clone(),
            percent: row.percent,
            moved: now,
            slow: false,
            gauge: row.gauge,
            pace: 100,
            paced: None,
        }
    }

    /// Settles runs that the worker does not list any more.
    fn settle_absent(
        &mut self,
        worker: WorkerKey,
        there: &HashSet<(TaskId, AttemptNumber)>,
        clock: u64,
        sent: Instant,
        now: Instant,
    ) {
        for key in self.workers[worker].attempts.clone() {
            let attempt = &self.attempts[key];
            if there.contains(&(attempt.task, attempt.attempt)) {
                continue;
            }
            let stopped = attempt.stop_answered.is_some_and(|at| at < sent);
            let known = attempt.confirmed.is_some_and(|at| at < sent);
            let expired = !attempt.needs_stop && clock > attempt.expires;
            let outcome = match attempt.phase {
                Phase::Starting => continue,
                Phase::Unresolved if stopped || expired => Removed::NeverRan,
                Phase::Unresolved => continue,
                // Its end was listed before, or it never came to be.
                Phase::Running | Phase::Stopping if known || stopped => Removed::Over,
                Phase::Running | Phase::Stopping => continue,
            };
            self.remove_attempt(key, outcome, now);
        }
    }
}
