//! Quarantine: which workers are doubtful and get only a few tasks at a time.
//!
//! Load that this module handles: a worker fails half of its tasks or runs at a third
//! of its speed, and the tasks are of many jobs. Doubtful workers are put on probation:
//! they get one probe task at a time, then two, then four, and then as many as fit.
//! Workers are compared with the others of their pool, so that an overload, a wrong
//! estimate or a failure of something that all depend on puts no worker on probation,
//! and at most a third of a pool's usable workers are on probation at once.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;

use crate::Scheduler;
use crate::jobs::attempt::Attempt;
use crate::workers::failed_steps::FailedSteps;
use crate::workers::health_report::HealthChange;
use crate::workers::worker::{Worker, WorkerKey};
use crate::workers::worker_health::{FailureRate, MIN_SPEED_SAMPLES, PROBE_STAGES};

/// Interval between two judgements of the workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A worker is doubtful from this failure rate on.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Minimum difference of that rate from the median of the pool, absolute and in standard
/// deviations of the rate of a worker that is like the median: with 0.25 alone, a pool
/// in which every second attempt fails had workers on probation by chance.
const MIN_RATE_DIFFERENCE: f64 = 0.25;
const MIN_RATE_DEVIATIONS: f64 = 3.0;
/// Minimum number of attempts, and of jobs with failures, for a failure rate.
const MIN_ATTEMPTS: u32 = 4;
const MIN_FAILED_JOBS: u32 = 2;
/// A worker is doubtful below this speed, relative to the median of its pool.
const MIN_SPEED: f64 = 0.5;
/// Minimum number of workers with a known speed for a median.
const MIN_COMPARED_WORKERS: usize = 3;
/// A pool's usable workers divided by this number may be on probation.
const PROBATION_DIVISOR: usize = 3;
/// Number of doubtful workers of a rack from which they are one fault.
const MIN_RACK_WORKERS: usize = 2;
/// First backoff after a failed probe, which doubles with each further one.
const RELAPSE_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of doublings of that backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time without a judged attempt after which a probation ends: what led to it is no
/// longer known, and there may be no task that can be a probe.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60);
/// A worker whose backoff ends within this time counts as usable in the limit: most
/// backoffs are after a refused start.
const SHORT_BACKOFF: Duration = Duration::from_millis(750);

/// State of the judgement of workers.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    pub(crate) steps: FailedSteps,
    checked: Option<Instant>,
    /// Medians by pool, as of the last check.
    medians: HashMap<PoolId, PoolMedians>,
    /// Racks of which several workers are doubtful.
    faulty_racks: HashSet<SmolStr>,
    /// Whether any worker is on probation.
    pub(crate) is_active: bool,
    pub(crate) changes: Vec<HealthChange>,
}

/// Medians of the workers of a pool; `None` if too few of them are known.
#[derive(Debug, Clone, Copy, Default)]
struct PoolMedians {
    /// Logarithm of observed over expected duration.
    slowness: Option<f64>,
    failure_rate: Option<f64>,
}

/// What a worker's last attempts show about it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerEvidence {
    /// Fraction of its last attempts that failed.
    pub failure_rate: f64,
    /// Number of these attempts.
    pub attempts: u32,
    /// Speed relative to the median of its pool; 1 if it is not known.
    pub speed: f64,
}

impl WorkerEvidence {
    /// Returns how bad it is: 0 is a worker without fault, 1 the worst.
    pub(crate) fn badness(&self) -> f64 {
        self.failure_rate.max(1.0 - self.speed)
    }
}

impl Scheduler {
    /// Records the end of an attempt as evidence about its worker. Tasks that end only
    /// with others, or when they are stopped, are none.
    pub(crate) fn record_evidence(&mut self, attempt: &Attempt, failed: bool, now: Instant) {
        let Some(spec) = self.spec_of(attempt.task) else { return };
        if spec.gang || spec.continuous {
            return;
        }
        let (step, worker) = (attempt.task.step, attempt.worker);
        if failed {
            let completed = |scheduler: &Scheduler| {
                let step = scheduler.job_of(attempt.task)?.step(step.occurrence, step.step)?;
                let done = step.tasks.iter().filter_map(|task| task.completion);
                Some(done.map(|(worker, _)| worker).collect())
            };
            let succeeded_on = completed(self).unwrap_or_default();
            self.quarantine.steps.record_failure(step, worker, succeeded_on, now);
        } else {
            self.quarantine.steps.record_success(step, worker);
        }
        self.workers[worker].health.record_outcome(step, failed, attempt.started, now);
    }

    /// Judges the workers of all pools.
    pub(crate) fn judge_workers(&mut self, now: Instant) {
        let checked = self.quarantine.checked;
        if checked.is_some_and(|at| now.saturating_duration_since(at) < CHECK_INTERVAL) {
            return;
        }
        self.quarantine.checked = Some(now);
        self.quarantine.steps.prune(now);
        let mut pools: HashMap<PoolId, Vec<WorkerKey>> = HashMap::new();
        for (key, worker) in &self.workers {
            pools.entry(worker.incarnation.pool.clone()).or_default().push(key);
        }
        self.measure_capacities(&pools);
        for (pool, workers) in &pools {
            let medians = self.pool_medians(workers, now);
            self.quarantine.medians.insert(pool.clone(), medians);
            self.review_probations(workers, now);
            self.judge_pool(workers, now);
        }
        self.quarantine.medians.retain(|pool, _| pools.contains_key(pool));
        self.quarantine.is_active =
            self.workers.values().any(|worker| worker.health.probation.is_some());
        self.report_racks();
    }

    fn pool_medians(&self, workers: &[WorkerKey], now: Instant) -> PoolMedians {
        let judged = workers.iter().filter(|&&key| self.workers[key].health.probation.is_none());
        let (mut slowness, mut rates) = (Vec::new(), Vec::new());
        for &key in judged {
            slowness.extend(self.workers[key].health.slowness(MIN_SPEED_SAMPLES, now));
            let rate = self.failure_rate(key, now);
            if rate.attempts >= MIN_ATTEMPTS {
                rates.push(rate.rate);
            }
        }
        PoolMedians {
            slowness: lower_median(slowness, MIN_COMPARED_WORKERS),
            failure_rate: lower_median(rates, MIN_COMPARED_WORKERS),
        }
    }

    fn failure_rate(&self, key: WorkerKey, now: Instant) -> FailureRate {
        self.workers[key].health.failure_rate(key, &self.quarantine.steps, now)
    }

    /// Returns what a worker's last attempts show about it.
    pub(crate) fn evidence(&self, key: WorkerKey, now: Instant) -> WorkerEvidence {
        let rate = self.failure_rate(key, now);
        WorkerEvidence {
            failure_rate: rate.rate,
            attempts: rate.attempts,
            speed: self.relative_speed(key, MIN_SPEED_SAMPLES, now).unwrap_or(1.0),
        }
    }

    /// Returns a worker's speed relative to the median of its pool.
    fn relative_speed(&self, key: WorkerKey, min_samples: u32, now: Instant) -> Option<f64> {
        let worker = &self.workers[key];
        let median = self.quarantine.medians.get(&worker.incarnation.pool)?.slowness?;
        Some((median - worker.health.slowness(min_samples, now)?).exp())
    }

    /// Whether what is known of a worker makes it doubtful.
    fn is_doubtful(&self, key: WorkerKey, now: Instant) -> bool {
        let speed = self.relative_speed(key, MIN_SPEED_SAMPLES, now);
        self.fails(key, now) || speed.is_some_and(|speed| speed < MIN_SPEED)
    }

    fn fails(&self, key: WorkerKey, now: Instant) -> bool {
        let rate = self.failure_rate(key, now);
        if rate.attempts < MIN_ATTEMPTS
            || rate.jobs < MIN_FAILED_JOBS
            || rate.rate <= MAX_FAILURE_RATE
        {
            return false;
        }
        let medians = self.quarantine.medians.get(&self.workers[key].incarnation.pool);
        let median = medians.and_then(|medians| medians.failure_rate);
        let common = median.or_else(|| self.failure_rate_of_others(key, now));
        common.is_some_and(|common| rate.rate >= common + min_difference(common, rate.attempts))
    }

    /// Returns the failure rate of the other workers of a pool together; `None` if it is
    /// not known. It stands in for the median while few workers have had attempts.
    fn failure_rate_of_others(&self, key: WorkerKey, now: Instant) -> Option<f64> {
        let pool = &self.workers[key].incarnation.pool;
        let is_other =
            |other: WorkerKey, worker: &Worker| other != key && worker.incarnation.pool == *pool;
        let others = self.workers.iter().filter(|(other, worker)| is_other(*other, worker));
        let (mut failed, mut attempts) = (0, 0);
        for (other, _) in others {
            let rate = self.failure_rate(other, now);
            failed += rate.failed;
            attempts += rate.attempts;
        }
        (attempts >= MIN_ATTEMPTS).then(|| f64::from(failed) / f64::from(attempts))
    }

    /// Puts doubtful workers of a pool on probation, the worst first and as many as its
    /// limit allows. Releases some if the pool has become too small for all of them.
    fn judge_pool(&mut self, workers: &[WorkerKey], now: Instant) {
        let on_probation = |key: &WorkerKey| self.workers[*key].health.probation.is_some();
        let is_usable = |key: WorkerKey| {
            let worker = &self.workers[key];
            worker.is_usable(now) || worker.is_usable(now + SHORT_BACKOFF)
        };
        let usable = workers.iter().filter(|key| on_probation(key) || is_usable(**key));
        let limit = usable.count() / PROBATION_DIVISOR;
        let mut quarantined: Vec<_> = workers.iter().copied().filter(on_probation).collect();
        quarantined.sort_by_key(|&key| self.workers[key].health.probation.map(|each| each.since));
        let excess = quarantined.len().saturating_sub(limit);
        for &key in &quarantined[..excess] {
            self.release(key, now);
        }
        let free = limit - (quarantined.len() - excess);
        for &key in workers {
            self.workers[key].health.suspect = false;
        }
        for (at, (evidence, key)) in self.new_doubtful(workers, now).into_iter().enumerate() {
            if at < free {
                self.workers[key].health.begin_probation(0, now);
                self.note_change(|id| HealthChange::Quarantined { worker: id, evidence }, key);
            } else {
                self.workers[key].health.suspect = true;
            }
        }
    }

    /// Returns the doubtful ones of `workers` that are not on probation, the worst first.
    fn new_doubtful(
        &self,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<(WorkerEvidence, WorkerKey)> {
        let others = workers.iter().filter(|&&key| self.workers[key].health.probation.is_none());
        let mut doubtful: Vec<_> = others
            .copied()
            .filter(|&key| self.workers[key].registered)
            .filter(|&key| self.is_doubtful(key, now))
            .map(|key| (self.evidence(key, now), key))
            .collect();
        doubtful.sort_by(|(a, _), (b, _)| b.badness().total_cmp(&a.badness()));
        doubtful
    }

    /// Moves workers on probation to their next stage, or back to the first one.
    fn review_probations(&mut self, workers: &[WorkerKey], now: Instant) {
        for &key in workers {
            let Some(probation) = self.workers[key].health.probation else { continue };
            let rate = self.failure_rate(key, now);
            if rate.failed > 0 {
                let doublings = probation.relapses.min(MAX_BACKOFF_DOUBLINGS);
                self.workers[key].health.begin_probation(probation.relapses + 1, now);
                self.back_off(key, now + RELAPSE_BACKOFF * 2u32.pow(doublings));
            } else if rate.attempts >= PROBE_STAGES[probation.stage] {
                self.pass_stage(key, probation.relapses, now);
            } else if now.saturating_duration_since(probation.stage_since) >= MAX_IDLE_TIME
                && rate.attempts == 0
                && self.has_only_continuous(key)
            {
                self.release(key, now);
            }
        }
    }

    /// Whether no attempt runs on a worker that ends by itself.
    fn has_only_continuous(&self, key: WorkerKey) -> bool {
        self.workers[key].attempts.iter().all(|&attempt| self.is_continuous(attempt))
    }

    fn pass_stage(&mut self, key: WorkerKey, relapses: u32, now: Instant) {
        let speed = self.relative_speed(key, 1, now);
        let evidence = WorkerEvidence { speed: speed.unwrap_or(1.0), ..self.evidence(key, now) };
        if evidence.speed < MIN_SPEED {
            self.workers[key].health.begin_probation(relapses, now);
        } else if !self.workers[key].health.advance(now) {
            self.note_change(|id| HealthChange::Returned { worker: id, evidence }, key);
        }
    }

    fn release(&mut self, key: WorkerKey, now: Instant) {
        let evidence = self.evidence(key, now);
        self.workers[key].health.end_probation();
        self.note_change(|id| HealthChange::Returned { worker: id, evidence }, key);
    }

    /// Notes racks of which several workers are doubtful: they are likely to have one
    /// cause.
    fn report_racks(&mut self) {
        let mut racks: HashMap<SmolStr, Vec<HostId>> = HashMap::new();
        for worker in self.workers.values() {
            if !worker.health.is_doubtful() {
                continue;
            }
            if let Some(rack) = &worker.rack {
                racks.entry(rack.clone()).or_default().push(worker.incarnation.id.clone());
            }
        }
        racks.retain(|_, workers| workers.len() >= MIN_RACK_WORKERS);
        let known = &mut self.quarantine.faulty_racks;
        known.retain(|rack| racks.contains_key(rack));
        for (rack, mut workers) in racks {
            if known.insert(rack.clone()) {
                workers.sort_unstable();
                self.quarantine.changes.push(HealthChange::RackFault { rack, workers });
            }
        }
    }

    /// Returns the workers of a pool that are on probation and can be given work.
    pub(crate) fn probation_workers(&self, pool: &PoolId, now: Instant) -> Vec<WorkerKey> {
        if !self.quarantine.is_active {
            return Vec::new();
        }
        let workers = self.workers.iter().filter(|(_, worker)| {
            worker.health.probation.is_some()
                && worker.incarnation.pool == *pool
                && worker.is_usable(now)
        });
        workers.map(|(key, _)| key).collect()
    }
}

/// Returns how much more of `attempts` than in the median of the pool must have failed.
fn min_difference(median: f64, attempts: u32) -> f64 {
    let deviation = (median * (1.0 - median) / f64::from(attempts.max(1))).sqrt();
    MIN_RATE_DIFFERENCE.max(MIN_RATE_DEVIATIONS * deviation)
}

/// Returns the median, the lower one of two; `None` if there are fewer than `min`.
fn lower_median(mut values: Vec<f64>, min: usize) -> Option<f64> {
    if values.len() < min {
        return None;
    }
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len() - 1) / 2).copied()
}
