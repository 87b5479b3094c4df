//! What a worker's attempts show about it: its speed and how often attempts fail.
//!
//! Load that this module handles: workers of a pool fail, hang or slow down by turns,
//! and their jobs are too small to compare tasks of one step, or fail on every second
//! attempt, so that a single success would clear three failures in a row.

use std::collections::VecDeque;

use vg_base::prelude::*;

use crate::StepId;
use crate::workers::failed_steps::FailedSteps;
use crate::workers::worker::WorkerKey;

/// Number of completed attempts whose durations are kept.
const MAX_COMPLETED: usize = 8;
/// Number of ended attempts that are kept.
const MAX_OUTCOMES: usize = 16;
/// Number of ended attempts by which a worker is judged.
const JUDGED_OUTCOMES: usize = 8;
/// Time after which an ended attempt does not count any more: workers fail by turns.
const OUTCOME_LIFETIME: Duration = Duration::from_secs(30);
/// Weight of the newest duration in the mean, once there are enough of them. With 1/8,
/// and 8 samples, chance put a healthy worker on probation about once a minute in a pool
/// of 12 whose durations had a spread of 0.5.
const SPEED_WEIGHT: f64 = 1.0 / 16.0;
/// Number of durations from which a worker's speed is judged.
pub(crate) const MIN_SPEED_SAMPLES: u32 = 12;
/// A duration counts as at most this multiple or fraction of what was expected, so
/// that one task of seven times the duration does not make a worker slow.
const MAX_RATIO: f64 = 4.0;
/// Attempts that a doubtful worker may have at once, from stage to stage. A stage is
/// passed after as many successes.
pub(crate) const PROBE_STAGES: [u32; 3] = [1, 2, 4];

/// A completed attempt whose duration was measured.
#[derive(Debug, Clone, Copy)]
struct Completed {
    at: Instant,
    /// Its duration relative to what was expected.
    ratio: f64,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    at: Instant,
    step: StepId,
    failed: bool,
}

/// Decayed mean of the logarithm of observed over expected durations.
#[derive(Debug, Clone, Copy, Default)]
struct Slowness {
    mean: f64,
    samples: u32,
    updated: Option<Instant>,
}

/// Ended attempts of a worker, as far as they show something about it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct FailureRate {
    /// Failed attempts over attempts.
    pub(crate) rate: f64,
    pub(crate) attempts: u32,
    pub(crate) failed: u32,
    /// Jobs of which attempts failed.
    pub(crate) jobs: u32,
}

/// The state of a worker that gets a few tasks at a time until it has proved itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probation {
    pub(crate) since: Instant,
    /// Position in [`PROBE_STAGES`], and when that stage began.
    pub(crate) stage: usize,
    pub(crate) stage_since: Instant,
    /// How often it began anew after a failure.
    pub(crate) relapses: u32,
}

/// What is known of one incarnation of a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerHealth {
    completed: VecDeque<Completed>,
    outcomes: VecDeque<Outcome>,
    slowness: Slowness,
    pub(crate) probation: Option<Probation>,
    /// Whether it is doubtful and gets work like others, because too many workers of
    /// its pool are on probation already. Others are preferred to it.
    pub(crate) suspect: bool,
}

impl WorkerHealth {
    /// Whether others are preferred to it.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.suspect || self.probation.is_some()
    }

    /// Returns the number of attempts that it may have at once; `None` if there is no
    /// such limit.
    pub(crate) fn allowance(&self) -> Option<u32> {
        self.probation.map(|probation| PROBE_STAGES[probation.stage])
    }

    /// Records an attempt that took `ratio` times the expected duration.
    pub(crate) fn record_duration(&mut self, ratio: f64, started: Instant, now: Instant) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(Completed { at: now, ratio });
        if self.counts(started) {
            self.slowness.record(ratio, now);
        }
    }

    /// Records an attempt that has ended.
    pub(crate) fn record_outcome(
        &mut self,
        step: StepId,
        failed: bool,
        started: Instant,
        now: Instant,
    ) {
        if !self.counts(started) {
            return;
        }
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome { at: now, step, failed });
    }

    /// Whether an attempt that started at `started` is judged: on probation only those
    /// that started in it.
    fn counts(&self, started: Instant) -> bool {
        self.probation.is_none_or(|probation| started >= probation.since)
    }

    /// Returns the durations, relative to what was expected, of attempts that have
    /// completed since `since`.
    pub(crate) fn ratios_since(&self, since: Instant) -> impl Iterator<Item = f64> {
        self.completed.iter().filter(move |each| each.at > since).map(|each| each.ratio)
    }

    /// Returns the mean logarithm of observed over expected durations, if there are
    /// at least `min_samples`.
    pub(crate) fn slowness(&self, min_samples: u32, now: Instant) -> Option<f64> {
        let updated = self.slowness.updated?;
        let is_recent = now.saturating_duration_since(updated) < OUTCOME_LIFETIME;
        (is_recent && self.slowness.samples >= min_samples).then_some(self.slowness.mean)
    }

    /// Returns how many of the last attempts failed. Failures in steps that show
    /// nothing about a worker do not count.
    pub(crate) fn failure_rate(
        &self,
        worker: WorkerKey,
        steps: &FailedSteps,
        now: Instant,
    ) -> FailureRate {
        let mut found = FailureRate::default();
        let mut jobs: Vec<JobId> = Vec::new();
        let recent = self.outcomes.iter().rev().filter(|each| {
            let is_recent = now.saturating_duration_since(each.at) < OUTCOME_LIFETIME;
            is_recent && (!each.failed || steps.blames(each.step, worker))
        });
        for outcome in recent.take(JUDGED_OUTCOMES) {
            found.attempts += 1;
            found.failed += u32::from(outcome.failed);
            if outcome.failed && !jobs.contains(&outcome.step.job) {
                jobs.push(outcome.step.job);
            }
        }
        found.jobs = jobs.len() as u32;
        found.rate = f64::from(found.failed) / f64::from(found.attempts.max(1));
        found
    }

    /// Puts the worker on probation, or back to its first stage.
    pub(crate) fn begin_probation(&mut self, relapses: u32, now: Instant) {
        self.forget();
        self.probation = Some(Probation { since: now, stage: 0, stage_since: now, relapses });
        self.suspect = false;
    }

    /// Enters the next stage of the probation; returns whether there was one. If not,
    /// the probation is over.
    pub(crate) fn advance(&mut self, now: Instant) -> bool {
        self.outcomes.clear();
        let Some(probation) = &mut self.probation else { return false };
        probation.stage += 1;
        probation.stage_since = now;
        if probation.stage < PROBE_STAGES.len() {
            return true;
        }
        self.end_probation();
        false
    }

    /// Ends the probation; what is known of the worker is forgotten.
    pub(crate) fn end_probation(&mut self) {
        self.forget();
        self.probation = None;
    }

    fn forget(&mut self) {
        self.outcomes.clear();
        self.slowness = Slowness::default();
    }
}

impl Slowness {
    fn record(&mut self, ratio: f64, now: Instant) {
        let is_old =
            self.updated.is_some_and(|at| now.saturating_duration_since(at) >= OUTCOME_LIFETIME);
        if is_old {
            *self = Slowness::default();
        }
        let log = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.samples += 1;
        let weight = SPEED_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (log - self.mean);
        self.updated = Some(now);
    }
}
