//! Observed durations of tasks relative to their estimates, by queue, step position
//! and team.
//!
//! Load that this module handles: callers' estimates are off by up to half, some by
//! ten times, and 3% of tasks take seven times as long as others of their kind. Jobs
//! are then taken for on time when they are not, pools get too few or too many
//! machines, and long tasks count as stalled. Estimates are corrected by the median
//! of what was observed, which one long task does not move.
//!
//! Sketches are kept by the leader only and are bounded in number and size. An
//! estimate is used as it is until its sketch has [`MIN_SAMPLES`] samples.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::jobs::attempt::Attempt;
use crate::jobs::job::Job;
use crate::learned::sketch::{Learned, MIN_SAMPLES, Sketch, empty_histogram, quantile};
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepSpec};

/// Maximum number of sketches; each takes about 7 kB.
pub(crate) const MAX_SKETCHES: usize = 256;
/// Steps from this position on share one sketch.
const MAX_POSITION: usize = 31;
/// Time without a sample after which a sketch may be replaced by one of a team.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Progress in percent from which the duration of an attempt is projected.
const MIN_PROJECTED_PERCENT: u8 = 10;

/// Quantiles of observed over estimated duration of the tasks of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct DurationQuantiles {
    /// The queue.
    pub queue: QueueId,
    /// The median.
    pub median: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// Number of samples, which decays.
    pub samples: u64,
}

/// Sketches of the tasks at one step position of a queue.
#[derive(Debug, Default)]
struct StepSketches {
    all: Option<Sketch>,
    /// Sketches by team; `None` stands for the jobs without one.
    teams: HashMap<Option<TeamId>, Sketch>,
}

impl StepSketches {
    fn len(&self) -> usize {
        self.teams.len() + usize::from(self.all.is_some())
    }
}

/// Sketches of a queue, by step position.
#[derive(Debug, Default)]
pub(crate) struct QueueDurations {
    steps: Vec<StepSketches>,
    /// Number of changes of what was learned, of all teams and by team.
    common_changes: u64,
    team_changes: HashMap<Option<TeamId>, u64>,
}

impl QueueDurations {
    /// Whether a sketch has enough samples. One of a team has them only after the one
    /// of all teams.
    fn has_learned(&self) -> bool {
        self.steps.iter().any(|step| step.all.as_ref().is_some_and(|all| all.learned.is_some()))
    }

    /// Returns what was learned about a step's tasks: those of the team if enough of
    /// them were observed, else those of all teams.
    pub(crate) fn learned(&self, step: usize, team: &Option<TeamId>) -> Option<Learned> {
        let step = self.steps.get(step.min(MAX_POSITION))?;
        let of_team = step.teams.get(team).and_then(|sketch| sketch.learned);
        of_team.or_else(|| step.all.as_ref()?.learned)
    }

    /// Returns the version of the factors of a team; it increases when one changes.
    pub(crate) fn version(&self, team: &Option<TeamId>) -> u64 {
        self.common_changes + self.team_changes.get(team).copied().unwrap_or_default()
    }

    /// Returns the median of all teams' tasks of a step; 1 before there are enough.
    pub(crate) fn common_factor(&self, step: usize) -> f64 {
        let all = self.steps.get(step.min(MAX_POSITION)).and_then(|step| step.all.as_ref());
        all.and_then(|all| all.learned).map_or(1.0, |learned| learned.median)
    }

    /// Returns the factor by which the estimate of a step's tasks is corrected.
    pub(crate) fn factor(&self, step: usize, team: &Option<TeamId>) -> f64 {
        self.learned(step, team).map_or(1.0, |learned| learned.median)
    }
}

/// The sketches of all queues.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    queues: HashMap<QueueId, QueueDurations>,
}

impl Durations {
    /// Returns the sketches of a queue; `None` if none has enough samples.
    pub(crate) fn of(&self, queue: &QueueId) -> Option<&QueueDurations> {
        self.queues.get(queue).filter(|queue| queue.has_learned())
    }

    /// Records that a task took `ratio` times its estimate.
    fn record(&mut self, kind: &TaskKind<'_>, ratio: f64, now: Instant) {
        let common = self.sketch(kind, None, now);
        let common_changed = common.is_some_and(|sketch| sketch.record(ratio, now));
        let of_team = self.sketch(kind, Some(kind.team), now);
        let team_changed = of_team.is_some_and(|sketch| sketch.record(ratio, now));
        let Some(queue) = self.queues.get_mut(kind.queue) else { return };
        queue.common_changes += u64::from(common_changed);
        if team_changed {
            *queue.team_changes.entry(kind.team.clone()).or_default() += 1;
        }
    }

    /// Returns a sketch, which is added if there is space for it.
    fn sketch(
        &mut self,
        kind: &TaskKind<'_>,
        team: Option<&Option<TeamId>>,
        now: Instant,
    ) -> Option<&mut Sketch> {
        let at = kind.step.min(MAX_POSITION);
        if !self.contains(kind.queue, at, team) && !self.make_space(team.is_some(), now) {
            return None;
        }
        let steps = &mut self.queues.entry(kind.queue.clone()).or_default().steps;
        if steps.len() <= at {
            steps.resize_with(at + 1, StepSketches::default);
        }
        Some(match team {
            Some(team) => steps[at].teams.entry(team.clone()).or_insert_with(|| Sketch::new(now)),
            None => steps[at].all.get_or_insert_with(|| Sketch::new(now)),
        })
    }

    fn contains(&self, queue: &QueueId, at: usize, team: Option<&Option<TeamId>>) -> bool {
        let step = self.queues.get(queue).and_then(|queue| queue.steps.get(at));
        step.is_some_and(|step| match team {
            Some(team) => step.teams.contains_key(team),
            None => step.all.is_some(),
        })
    }

    /// Makes space for one more sketch; returns whether there is some. A sketch of a
    /// team replaces only an idle one: teams that take turns would otherwise
    /// replace each other's sketches before any has enough samples.
    fn make_space(&mut self, for_team: bool, now: Instant) -> bool {
        let steps = self.queues.values().flat_map(|queue| &queue.steps);
        if steps.map(StepSketches::len).sum::<usize>() < MAX_SKETCHES {
            return true;
        }
        let sketches = self.queues.iter().flat_map(|(id, queue)| {
            queue.steps.iter().enumerate().flat_map(move |(at, step)| {
                let all = step.all.iter().map(move |sketch| (sketch.updated, id, at, None));
                let teams = step.teams.iter();
                all.chain(teams.map(move |(team, sketch)| (sketch.updated, id, at, Some(team))))
            })
        });
        // Sketches of teams go first: those of all teams stand in for them.
        let oldest = sketches.min_by_key(|(updated, _, _, team)| (team.is_none(), *updated));
        let Some((updated, queue, at, team)) = oldest else { return true };
        if for_team && now.saturating_duration_since(updated) < IDLE_TIME {
            return false;
        }
        let (queue, team) = (queue.clone(), team.cloned());
        self.remove(&queue, at, team.as_ref());
        true
    }

    fn remove(&mut self, queue: &QueueId, at: usize, team: Option<&Option<TeamId>>) {
        let Some(queue) = self.queues.get_mut(queue) else { return };
        // The count of a team's changes is dropped, so that of all teams stands in.
        queue.common_changes += 1;
        if let Some(team) = team {
            let changes = queue.team_changes.remove(team);
            queue.common_changes += changes.unwrap_or_default();
        }
        let Some(step) = queue.steps.get_mut(at) else { return };
        match team {
            Some(team) => _ = step.teams.remove(team),
            None => step.all = None,
        }
    }

    /// Returns the quantiles of each queue, over all its steps and teams.
    fn quantiles(&self) -> Vec<DurationQuantiles> {
        let mut found = Vec::new();
        for (id, queue) in &self.queues {
            let mut ratios = empty_histogram();
            for sketch in queue.steps.iter().filter_map(|step| step.all.as_ref()) {
                ratios.add(&sketch.ratios).unwrap_or_else(|_| unreachable!("equal bounds"));
            }
            if ratios.len() >= MIN_SAMPLES {
                found.push(DurationQuantiles {
                    queue: id.clone(),
                    median: quantile(&ratios, 0.5),
                    p90: quantile(&ratios, 0.9),
                    p99: quantile(&ratios, 0.99),
                    samples: ratios.len(),
                });
            }
        }
        found
    }
}

/// What a sketch is chosen by.
#[derive(Debug, Clone, Copy)]
struct TaskKind<'a> {
    queue: &'a QueueId,
    step: usize,
    team: &'a Option<TeamId>,
}

impl Scheduler {
    /// Returns quantiles of observed over estimated duration of each queue with enough
    /// samples.
    pub fn duration_quantiles(&self) -> Vec<DurationQuantiles> {
        self.durations.quantiles()
    }

    /// Returns what was learned about the tasks of a job's step.
    pub(crate) fn learned(&self, job: &Job, step: usize) -> Option<Learned> {
        self.durations.of(&job.spec.queue)?.learned(step, &job.spec.team)
    }

    /// Returns the expected duration of a task of a job's step: the estimate, corrected
    /// by the median of what was observed.
    pub(crate) fn expected_time(&self, job: &Job, step: usize) -> Duration {
        let estimate = job.spec.steps[step].estimate;
        self.learned(job, step).map_or(estimate, |learned| estimate.mul_f64(learned.median))
    }

    /// Returns the expected duration of an attempt's task; `None` before enough tasks of
    /// its kind were observed.
    pub(crate) fn learned_time(&self, attempt: &Attempt) -> Option<Duration> {
        let (job, step) = (self.job_of_attempt(attempt)?, usize::from(attempt.task.step.step));
        let learned = self.learned(job, step)?;
        Some(job.spec.steps.get(step)?.estimate.mul_f64(learned.median))
    }

    /// Returns the duration that nearly all tasks of a step stay below: the estimate,
    /// or the 99th percentile once enough tasks were observed.
    pub(crate) fn longest_time(&self, attempt: &Attempt, spec: &StepSpec) -> Duration {
        let job = self.job_of_attempt(attempt);
        let learned = job.and_then(|job| self.learned(job, usize::from(attempt.task.step.step)));
        learned.map_or(spec.estimate, |learned| spec.estimate.mul_f64(learned.tail))
    }

    /// Records the duration of an attempt that completed its task. Returns it relative
    /// to what was expected, if enough tasks of its kind had been observed before.
    pub(crate) fn observe_duration(&mut self, attempt: &Attempt, now: Instant) -> Option<f64> {
        if !self.is_sample(attempt, attempt.worker) {
            return None;
        }
        let job = self.jobs.get(*self.job_ids.get(&attempt.task.step.job)?)?;
        let step = usize::from(attempt.task.step.step);
        let estimate = job.spec.steps.get(step)?.estimate.as_secs_f64();
        if estimate <= 0.0 {
            return None;
        }
        let took = measured_time(attempt, now).as_secs_f64();
        let kind = TaskKind { queue: &job.spec.queue, step, team: &job.spec.team };
        let known = self.durations.of(kind.queue).and_then(|queue| queue.learned(step, kind.team));
        self.durations.record(&kind, took / estimate, now);
        known.map(|learned| took / (estimate * learned.median))
    }

    /// Whether an attempt shows how long its task takes at full speed. Members of
    /// gangs, continuous, best-effort and throttled tasks do not, nor do tasks far
    /// from their data, and attempts that began elsewhere or from a checkpoint.
    pub(crate) fn is_sample(&self, attempt: &Attempt, worker: WorkerKey) -> bool {
        let Some(spec) = self.spec_of_attempt(attempt) else { return false };
        let is_near = spec.data_rack.is_none() || spec.data_rack == self.workers[worker].rack;
        is_near
            && !spec.same_rack
            && !spec.gang
            && !spec.continuous
            && !spec.best_effort
            && attempt.speed_changed.is_none()
            && attempt.complete_run
    }
}

/// Returns how long a completed attempt took, from its start command on.
///
/// The report of the end comes up to the time between two polls late. The progress
/// that was reported before projects the end with an error of half a percent of the
/// progress, relative to the time observed until then. The projection is used where
/// that error is smaller than the time since that report, and it never leaves that
/// time. Without it, the duration is too long by up to the time between two polls;
/// the time that the start command was under way is always included.
fn measured_time(attempt: &Attempt, now: Instant) -> Duration {
    let longest = now.saturating_duration_since(attempt.started);
    let shortest = attempt.last_progress.saturating_duration_since(attempt.started);
    let percent = attempt.percent;
    if !(MIN_PROJECTED_PERCENT..100).contains(&percent) {
        return longest;
    }
    let error = shortest.div_f64(2.0 * f64::from(percent));
    if error >= longest.saturating_sub(shortest) {
        return longest;
    }
    // Progress is reported in whole percents, rounded down.
    let projected = shortest.mul_f64(100.0 / (f64::from(percent) + 0.5));
    projected.clamp(shortest, longest)
}
