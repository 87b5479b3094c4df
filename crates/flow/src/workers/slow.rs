//! Detection of workers that are much slower than others, by comparing tasks of
//! a step.
//!
//! Load that this module handles: some workers are several times slower for
//! seconds. Tasks of a step are alike, so a task whose progress projects
//! several times the duration of the others is on such a worker, or it is a long one:
//! then the other tasks on its worker progress as expected, and it is left to end. A second
//! attempt is started where the step allows one. Otherwise the attempt is
//! stopped if another worker would complete the task sooner.

use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey};
use crate::jobs::occurrence::Task;
use crate::learned::step_durations::{ShortestDurations, StepDurations};
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, StopReason};

/// An attempt counts as slow from this multiple of the others' duration.
const SLOW_FACTOR: f64 = 2.5;
/// The other attempts on a worker progress normally up to this multiple of the
/// expected duration, by their median.
const NORMAL_RATIO: f64 = 1.5;
/// Progress in percent from which the duration of an attempt can be projected.
const MIN_PROGRESS_PERCENT: u8 = 10;
/// Progress in percent above which an attempt is left to end.
const MAX_PROGRESS_PERCENT: u8 = 60;
/// Time of observation from which the duration of an attempt with less progress
/// can be projected.
const MIN_OBSERVED_TIME: Duration = Duration::from_millis(400);
/// Time that starting a task again takes in addition to its work.
const RESTART_COST: Duration = Duration::from_millis(300);
/// Backoff of a slow worker.
const SLOW_WORKER_BACKOFF: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Gives tasks on slow workers to other workers.
    pub(crate) fn handle_slow_attempts(&mut self, now: Instant) {
        let slow = self.slow_attempts(now);
        for key in slow {
            let (task, worker) = (self.attempts[key].task, self.attempts[key].worker);
            self.avoid_worker(task, worker);
            self.back_off(worker, now + SLOW_WORKER_BACKOFF);
            self.attempts[key].slow = true;
            if let Some(ratio) = self.progress_ratio(&self.attempts[key]) {
                let started = self.attempts[key].started;
                self.workers[worker].health.record_duration(ratio, started, now);
            }
            if !self.spec_of(task).is_some_and(|spec| spec.speculative) {
                self.stop_attempt(key, StopReason::Slow, now);
            }
        }
    }

    /// Returns the attempts that are slow and can be replaced, in the order of their
    /// table. Attempts are first compared with the shortest duration of their step, which
    /// few exceed that much: to take the median for each of 30,000 attempts was the
    /// largest part of rounds of 50 ms and more.
    fn slow_attempts(&self, now: Instant) -> Vec<AttemptKey> {
        let shortest = self.shortest_durations();
        let mut suspects: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| self.may_be_slow(attempt, &shortest, now))
            .map(|(key, attempt)| (attempt.task.step, key))
            .collect();
        suspects.sort_unstable();
        let mut slow = Vec::new();
        for of_step in suspects.chunk_by(|(a, _), (b, _)| a == b) {
            let Some(durations) = self.step_durations(of_step[0].0) else { continue };
            let keys = of_step.iter().map(|&(_, key)| key);
            slow.extend(keys.filter(|&key| self.is_slow(key, &durations, now)));
        }
        slow.retain(|&key| self.has_alternative(key, now));
        slow.sort_unstable();
        slow
    }

    /// Returns the shortest duration of the tasks of each step, actual or projected.
    fn shortest_durations(&self) -> ShortestDurations {
        let mut shortest = ShortestDurations::new(&self.jobs);
        for attempt in self.attempts.values() {
            if let Some(projected) = projected_duration(attempt) {
                shortest.add(attempt, projected);
            }
        }
        shortest
    }

    /// Whether an attempt is so much slower than the fastest task of its step that it
    /// may be slow compared with the median, or is on a doubtful worker, where it may be
    /// compared with the learned duration.
    fn may_be_slow(&self, attempt: &Attempt, shortest: &ShortestDurations, now: Instant) -> bool {
        let Some(projected) = comparable_duration(attempt) else { return false };
        let Some(shortest) = shortest.of(attempt) else { return true };
        self.is_slower(attempt, projected, shortest, now) || self.is_under_suspicion(attempt.worker)
    }

    /// Whether an attempt takes several times the typical duration, and longer than
    /// another one that is started now.
    fn is_slower(
        &self,
        attempt: &Attempt,
        projected: Duration,
        typical: Duration,
        now: Instant,
    ) -> bool {
        let remaining = projected.saturating_sub(now.saturating_duration_since(attempt.started));
        let restart_time = typical + RESTART_COST + self.rules.stop_time;
        projected > typical.mul_f64(SLOW_FACTOR) && remaining > restart_time
    }

    /// Returns the known durations of the tasks of a step.
    fn step_durations(&self, id: StepId) -> Option<StepDurations> {
        let job = &self.jobs[*self.job_ids.get(&id.job)?];
        let step = job.step(id.occurrence, id.step)?;
        Some(StepDurations::new(step.tasks.iter().filter_map(|task| self.known_duration(task))))
    }

    /// Whether an attempt is several times slower than others of its step and
    /// another worker would complete the task earlier.
    fn is_slow(&self, key: AttemptKey, durations: &StepDurations, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        if !self.is_comparable(attempt) {
            return false;
        }
        let (Some(projected), Some(typical)) =
            (projected_duration(attempt), self.typical_duration(attempt, durations))
        else {
            return false;
        };
        self.is_slower(attempt, projected, typical, now) && !self.is_speed_normal(key)
    }

    /// Whether another attempt of a task takes less capacity than the first one would
    /// take to its end. `true` if that is not known.
    pub(crate) fn saves_capacity(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        if self.workers[attempt.worker].unreachable_since.is_some() {
            return true;
        }
        let (Some(projected), Some(typical)) =
            (projected_duration(attempt), self.learned_time(attempt))
        else {
            return true;
        };
        let remaining = projected.saturating_sub(now.saturating_duration_since(attempt.started));
        // Both attempts run until the second one ends.
        remaining > typical * 2 + RESTART_COST
    }

    /// Whether the other attempts on an attempt's worker progress at normal speed, or
    /// have done so since it started, so that it is the task that takes long. `false`
    /// if nothing is known of them.
    fn is_speed_normal(&self, key: AttemptKey) -> bool {
        let worker = &self.workers[self.attempts[key].worker];
        let others = worker.attempts.iter().filter(|&&other| other != key);
        let running = others.filter_map(|&other| self.progress_ratio(&self.attempts[other]));
        let completed = worker.health.ratios_since(self.attempts[key].started);
        let mut ratios: Vec<_> = running.chain(completed).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        ratios.get(ratios.len().saturating_sub(1) / 2).is_some_and(|&median| median <= NORMAL_RATIO)
    }

    /// Returns the duration that an attempt's progress projects relative to what is
    /// expected; `None` before enough tasks of its kind were observed.
    fn progress_ratio(&self, attempt: &Attempt) -> Option<f64> {
        if !attempt.is_running() || !self.is_sample(attempt, attempt.worker) {
            return None;
        }
        let expected = self.learned_time(attempt)?.as_secs_f64();
        let projected = projected_duration(attempt)?.as_secs_f64();
        (expected > 0.0).then(|| projected / expected)
    }

    /// Whether the progress of an attempt can be compared with others of its
    /// step.
    fn is_comparable(&self, attempt: &Attempt) -> bool {
        let Some(spec) = self.spec_of_attempt(attempt) else { return false };
        let comparable = !spec.continuous && !spec.gang && !spec.best_effort;
        // A task far from its data is slow on every worker that is far from the
        // data.
        let unaffected_by_rack = spec.data_rack.is_none() && !spec.same_rack;
        let task = self.job_of_attempt(attempt).and_then(|job| job.task(attempt.task));
        let is_first_attempt =
            task.is_some_and(|task| task.avoided.is_empty() && task.attempts.len() == 1);
        comparable
            && unaffected_by_rack
            && !self.began_cold(attempt)
            && is_first_attempt
            && self.workers[attempt.worker].unreachable_since.is_none()
    }

    /// Returns the median duration of tasks of the same step on other workers,
    /// actual or projected. If too few are known, returns the learned duration for an
    /// attempt on a doubtful worker, else `None`.
    fn typical_duration(&self, attempt: &Attempt, durations: &StepDurations) -> Option<Duration> {
        let learned = || {
            self.is_under_suspicion(attempt.worker).then(|| self.learned_time(attempt)).flatten()
        };
        durations.median_elsewhere(attempt.worker).or_else(learned)
    }

    fn is_under_suspicion(&self, worker: WorkerKey) -> bool {
        let health = &self.workers[worker].health;
        health.probation.is_some() || health.suspect
    }

    /// Returns how long a task took or is projected to take, and on which
    /// worker.
    fn known_duration(&self, task: &Task) -> Option<(WorkerKey, Duration)> {
        let projected = || {
            let attempt = &self.attempts[*task.attempts.first()?];
            Some((attempt.worker, projected_duration(attempt)?))
        };
        task.completion.or_else(projected)
    }
}

/// Returns the projected duration of an attempt that runs at full speed and is not left
/// to end.
fn comparable_duration(attempt: &Attempt) -> Option<Duration> {
    let is_progressing = attempt.is_running()
        && attempt.speed_percent == 100
        && attempt.percent <= MAX_PROGRESS_PERCENT;
    is_progressing.then(|| projected_duration(attempt)).flatten()
}

/// Returns the duration that an attempt's progress projects; `None` if the
/// progress and the time of observation are too small, or if the attempt is
/// complete.
fn projected_duration(attempt: &Attempt) -> Option<Duration> {
    let observed = attempt.last_progress.saturating_duration_since(attempt.started);
    let sufficient = attempt.percent >= MIN_PROGRESS_PERCENT || observed >= MIN_OBSERVED_TIME;
    let percent = f64::from(attempt.percent.max(1));
    (sufficient && attempt.percent < 100 && observed > Duration::ZERO)
        .then(|| observed.mul_f64(100.0 / percent))
}
