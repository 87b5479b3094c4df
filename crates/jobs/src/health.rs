//! Distinguishes failing workers from failing jobs, and quarantines failing
//! workers.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;

use crate::{Lane, Limits};

/// Number of successful probe jobs after which a quarantined worker is restored.
const PROBES_REQUIRED: u32 = 2;

/// Length of the first quarantine of a worker. Each further quarantine is twice as
/// long.
const QUARANTINE_FIRST: Duration = Duration::from_secs(60);

/// Upper bound on the length of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// Number of latest outcomes of a lane that are considered.
const LANE_OUTCOMES_MAX: usize = 16;

/// Number of different workers that a lane has to fail on before its failures are
/// attributed to its jobs and not to the workers.
const LANE_WORKERS_MIN: usize = 3;

/// Change of a worker's health that follows from the outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing that has to be reported.
    Unchanged,
    /// The worker is quarantined and gets no more jobs until `until`.
    Quarantined {
        /// Time from which the worker may get probe jobs.
        until: Instant,
    },
    /// The worker completed its probe jobs successfully and is healthy again.
    Restored,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    Healthy,
    /// Gets no jobs until `until`, and then its first probe job.
    Quarantined {
        until: Instant,
    },
    /// Has completed `succeeded` probe jobs successfully, but not yet enough of them.
    Probing {
        succeeded: u32,
    },
}

/// The health of one worker.
#[derive(Debug, Clone)]
pub struct Health {
    status: Status,
    /// The jobs that failed since the last success or quarantine, with their lanes.
    failures: Vec<(JobId, Lane)>,
    /// Number of quarantines since the worker last succeeded while it was healthy.
    quarantines: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health { status: Status::Healthy, failures: Vec::new(), quarantines: 0 }
    }
}

impl Health {
    /// Whether the worker may get another job while `running` jobs are assigned to
    /// it.
    ///
    /// A worker that has failed [`Limits::probation_failures`] jobs in a row, or
    /// that is being probed, gets only idempotent jobs, one at a time.
    pub fn admits(&self, limits: &Limits, idempotent: bool, running: usize, now: Instant) -> bool {
        match self.status {
            Status::Healthy if self.failures.len() < limits.probation_failures => true,
            Status::Healthy | Status::Probing { .. } => idempotent && running == 0,
            Status::Quarantined { until } => now >= until && idempotent && running == 0,
        }
    }

    /// Whether the worker is quarantined or being probed.
    pub fn is_quarantined(&self) -> bool {
        self.status != Status::Healthy
    }

    /// Records that a job succeeded on the worker.
    pub fn record_success(&mut self) -> HealthChange {
        self.failures.clear();
        match &mut self.status {
            Status::Healthy => {
                self.quarantines = 0;
                HealthChange::Unchanged
            }
            Status::Quarantined { .. } => {
                self.status = Status::Probing { succeeded: 1 };
                HealthChange::Unchanged
            }
            Status::Probing { succeeded } => {
                *succeeded += 1;
                if *succeeded < PROBES_REQUIRED {
                    return HealthChange::Unchanged;
                }
                self.status = Status::Healthy;
                HealthChange::Restored
            }
        }
    }

    /// Records that a job failed on the worker. The caller leaves out the jobs of a
    /// lane that fails wherever it runs.
    pub fn record_failure(
        &mut self,
        limits: &Limits,
        job: JobId,
        lane: &Lane,
        now: Instant,
    ) -> HealthChange {
        // The job was started before the quarantine, so its failure says nothing
        // new.
        if matches!(self.status, Status::Quarantined { until } if now < until) {
            return HealthChange::Unchanged;
        }
        if !self.failures.iter().any(|(each, _)| *each == job) {
            self.failures.push((job, lane.clone()));
        }
        let is_probe = self.is_quarantined();
        if !is_probe && !self.is_conclusive(limits) {
            return HealthChange::Unchanged;
        }
        let period = QUARANTINE_FIRST * 2_u32.saturating_pow(self.quarantines.min(16));
        let until = now + period.min(QUARANTINE_MAX);
        self.quarantines += 1;
        self.failures.clear();
        self.status = Status::Quarantined { until };
        HealthChange::Quarantined { until }
    }

    /// Whether enough jobs failed in a row, and not all of them from the same lane.
    /// Failures of a single lane may be caused by its jobs.
    fn is_conclusive(&self, limits: &Limits) -> bool {
        let first = self.failures.first().map(|(_, lane)| lane);
        let differ = self.failures.iter().any(|(_, lane)| Some(lane) != first);
        self.failures.len() >= limits.quarantine_failures && differ
    }
}

/// The latest outcomes of each lane, over all workers.
#[derive(Debug, Clone, Default)]
pub(crate) struct LaneHealth {
    /// For each outcome, the worker and whether the job succeeded, oldest first.
    outcomes: HashMap<Lane, VecDeque<(HostId, bool)>>,
}

impl LaneHealth {
    /// Records the outcome of a job of the lane on a worker.
    pub(crate) fn record(&mut self, lane: &Lane, worker: &HostId, succeeded: bool) {
        let outcomes = self.outcomes.entry(lane.clone()).or_default();
        outcomes.push_back((worker.clone(), succeeded));
        if outcomes.len() > LANE_OUTCOMES_MAX {
            outcomes.pop_front();
        }
    }

    /// Whether the jobs of the lane fail wherever they run: more than half of the
    /// latest outcomes are failures, on at least [`LANE_WORKERS_MIN`] workers.
    pub(crate) fn is_failing(&self, lane: &Lane) -> bool {
        let Some(outcomes) = self.outcomes.get(lane) else { return false };
        let mut workers: Vec<&HostId> =
            outcomes.iter().filter(|(_, succeeded)| !succeeded).map(|(worker, _)| worker).collect();
        let failed = workers.len();
        workers.sort_unstable();
        workers.dedup();
        workers.len() >= LANE_WORKERS_MIN && 2 * failed > outcomes.len()
    }
}
