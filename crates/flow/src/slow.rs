//! Workers that are much slower than others, found by comparing tasks of a step.
//!
//! Load it answers: some workers run several times slower for seconds. Tasks of
//! a step are alike, so that one whose progress promises several times the time
//! of the others is on such a worker. A copy is started where the step allows
//! one; else the run is stopped if another worker would end the task sooner.

use vg_base::prelude::*;

use crate::attempt::{Attempt, AttemptKey};
use crate::job::Task;
use crate::worker::WorkerKey;
use crate::{Scheduler, StopReason};

/// Times the others' duration from which a run counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Tasks on other workers that a run is compared with, at the least.
const OTHERS_MIN: usize = 2;
/// Progress in percent from which a run tells its duration.
const TELLING: u8 = 10;
/// Progress in percent above which a run is left to end.
const NEARLY_DONE: u8 = 60;
/// Time that a run has to be observed.
const OBSERVED: Duration = Duration::from_millis(400);
/// Time that starting a task anew takes beside its work.
const START_ANEW: Duration = Duration::from_millis(300);
/// Time without new work for a slow worker.
const REST: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Gives tasks on slow workers to others.
    pub(crate) fn leave_slow(&mut self, now: Instant) {
        let slow: Vec<_> = self.attempts.keys().filter(|&key| self.is_slow(key, now)).collect();
        for key in slow {
            let (task, worker) = (self.attempts[key].task, self.attempts[key].worker);
            self.avoid(task, worker);
            self.rest(worker, now + REST);
            self.attempts[key].slow = true;
            if !self.spec_of(task).is_some_and(|spec| spec.speculative) {
                self.stop_attempt(key, StopReason::Slow, now);
            }
        }
    }

    /// Whether another worker would end the task of a run well before it.
    fn is_slow(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        if !self.is_comparable(attempt) {
            return false;
        }
        let (Some(whole), Some(usual)) = (duration_of(attempt), self.usual_duration(attempt))
        else {
            return false;
        };
        let left = whole.saturating_sub(now.saturating_duration_since(attempt.since));
        let anew = usual + START_ANEW + self.rules.stop_time;
        whole > usual.mul_f64(SLOW_FACTOR) && left > anew
    }

    /// Whether the progress of a run can be held against others of its step.
    fn is_comparable(&self, attempt: &Attempt) -> bool {
        let Some(spec) = self.spec_of(attempt.task) else { return false };
        let alike = !spec.continuous && !spec.gang && !spec.best_effort;
        // A task far from its data is slow on any worker there.
        let near = spec.data_rack.is_none() && !spec.same_rack;
        let task = self.job_of(attempt.task).and_then(|job| job.task(attempt.task));
        let first = task.is_some_and(|task| task.avoid.is_empty() && task.attempts.len() == 1);
        let going = attempt.is_running() && attempt.pace == 100 && attempt.percent <= NEARLY_DONE;
        alike && near && first && going && self.workers[attempt.worker].silent.is_none()
    }

    /// Returns the median duration of tasks of the same step on other workers,
    /// done or as their progress promises; `None` if too few tell.
    fn usual_duration(&self, attempt: &Attempt) -> Option<Duration> {
        let id = attempt.task.step;
        let step = self.job_of(attempt.task)?.step(id.occurrence, id.step)?;
        let mut durations: Vec<_> = step
            .tasks
            .iter()
            .filter_map(|task| self.known_duration(task))
            .filter(|(worker, _)| *worker != attempt.worker)
            .map(|(_, duration)| duration)
            .collect();
        if durations.len() < OTHERS_MIN {
            return None;
        }
        durations.sort_unstable();
        Some(durations[durations.len() / 2])
    }

    /// Returns how long a task took or will take, and where.
    fn known_duration(&self, task: &Task) -> Option<(WorkerKey, Duration)> {
        let going = || {
            let attempt = &self.attempts[*task.attempts.first()?];
            Some((attempt.worker, duration_of(attempt)?))
        };
        task.took.or_else(going)
    }
}

/// Returns the duration that a run's progress promises.
fn duration_of(attempt: &Attempt) -> Option<Duration> {
    let observed = attempt.moved.saturating_duration_since(attempt.since);
    let tells = attempt.percent >= TELLING || observed >= OBSERVED;
    let percent = f64::from(attempt.percent.max(1));
    (tells && attempt.percent < 100 && observed > Duration::ZERO)
        .then(|| observed.mul_f64(100.0 / percent))
}
